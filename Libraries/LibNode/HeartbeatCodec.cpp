#include <LibNode/HeartbeatCodec.h>

#include <LibConfig/ExternalConfiguration.h>
#include <LibSchema/EmbeddedSchema.h>

#include <boost/json/object.hpp>
#include <string>

namespace radishcross::embedded {
extern const std::string_view HeartbeatText;
} // namespace radishcross::embedded

namespace radishcross::node {

namespace {

constexpr schema::DocumentLimits HeartbeatLimits{16UL << 10, 4};
constexpr size_t MaxTargetIdLength = 64;

uint64_t numberAt(const boost::json::object &object, std::string_view key) {
  const auto *it = object.if_contains(key);
  return it ? it->to_number<uint64_t>() : 0;
}

} // namespace

std::string fullServiceName(std::string_view name) {
  if (name.find('/') != std::string_view::npos)
    return std::string(name);
  return std::string(config::ExternalConfigurationName) + "/" +
         std::string(name);
}

std::optional<admission::Heartbeat> decodeHeartbeat(std::string_view id,
                                                    std::string_view body,
                                                    base::LastReason &reason) {
  if (id.empty() || id.size() > MaxTargetIdLength ||
      id.find('/') != std::string_view::npos)
    return reason.fail(
        base::ResultCode::BadValue,
        "the target's id must be 1 to 64 characters without '/'");
  static const schema::EmbeddedSchema heartbeatSchema(embedded::HeartbeatText);
  auto document = heartbeatSchema.parse(body, HeartbeatLimits, reason);
  if (!document)
    return std::nullopt;
  const auto &object = document->as_object();
  auto address =
      base::parseRemoteAddress(object.at("address").as_string(), reason);
  if (!address)
    return std::nullopt;
  admission::Heartbeat out;
  out.Target.Service = fullServiceName(object.at("service").as_string());
  out.Target.TargetId = std::string(id);
  out.Target.Where = *address;
  out.Target.State =
      *base::fromName(fleet::TargetStateNames, object.at("state").as_string());
  out.Target.Slots = static_cast<uint32_t>(numberAt(object, "slots"));
  out.Target.Connections = out.Target.Slots;
  if (object.contains("warm_up_ms"))
    out.Target.WarmUpMs = static_cast<uint32_t>(numberAt(object, "warm_up_ms"));
  if (const auto *version = object.if_contains("version"))
    out.Target.SoftwareVersion = std::string(version->as_string());
  out.Incarnation = numberAt(object, "started_unix_ms");
  out.Sequence = numberAt(object, "sequence");
  return out;
}

} // namespace radishcross::node
