#include <LibNode/TargetListener.h>

#include <LibBase/LastReason.h>
#include <LibBase/Logger.h>
#include <LibNode/HeartbeatCodec.h>
#include <LibSchema/EmbeddedSchema.h>

#include <boost/beast/http/status.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <chrono>
#include <string>
#include <utility>

namespace radishcross::embedded {
extern const std::string_view AnnouncementText;
} // namespace radishcross::embedded

namespace radishcross::node {

namespace {

namespace beast_http = boost::beast::http;

constexpr schema::DocumentLimits AnnouncementLimits{16UL << 10, 4};

uint64_t numberAt(const boost::json::object &object, std::string_view key,
                  uint64_t fallback) {
  const auto *it = object.if_contains(key);
  return it ? it->to_number<uint64_t>() : fallback;
}

std::string textAt(const boost::json::object &object, std::string_view key) {
  const auto *it = object.if_contains(key);
  return it ? std::string(it->as_string()) : std::string();
}

std::optional<admission::Announcement> decode(std::string_view body,
                                              base::LastReason &reason) {
  static const schema::EmbeddedSchema announcementSchema(
      embedded::AnnouncementText);
  auto document = announcementSchema.parse(body, AnnouncementLimits, reason);
  if (!document)
    return std::nullopt;
  const auto &object = document->as_object();
  auto address = base::parseRemoteAddress(textAt(object, "address"), reason);
  if (!address)
    return std::nullopt;
  auto state = base::fromName(fleet::TargetStateNames, textAt(object, "state"));
  if (!state)
    return reason.fail(base::ResultCode::BadValue, "state: unknown value");
  admission::Announcement out;
  out.Target.Service = textAt(object, "service");
  out.Target.TargetId = textAt(object, "target");
  out.Target.Where = *address;
  out.Target.State = *state;
  out.Target.Slots = static_cast<uint32_t>(numberAt(object, "slots", 1));
  out.Target.Connections =
      static_cast<uint32_t>(numberAt(object, "connections", 1));
  out.Target.LoadPermille =
      static_cast<uint32_t>(numberAt(object, "load_permille", 0));
  out.Target.Epoch = numberAt(object, "epoch", 0);
  return out;
}

http::Response jsonResponse(beast_http::status status,
                            const boost::json::object &body) {
  http::Response out(status, 11);
  out.set(beast_http::field::content_type, "application/json");
  out.body() = boost::json::serialize(body);
  out.prepare_payload();
  return out;
}

http::Response errorResponse(const base::LastReason &reason) {
  const auto &row = base::describe(reason.code());
  return jsonResponse(static_cast<beast_http::status>(row.HttpStatus),
                      {{"code", static_cast<int>(reason.code())},
                       {"name", row.Name},
                       {"reason", reason.text()}});
}

} // namespace

LocalTarget localTargetOf(const admin::NodeSettings &settings) {
  LocalTarget out;
  out.Where = settings.TargetAddress;
  // Without the address any service may be announced here.
  if (out.Where && !settings.Service.empty())
    out.Service = fullServiceName(settings.Service);
  return out;
}

bool isFromLocalTarget(const admission::Heartbeat &heartbeat,
                       const LocalTarget &local, base::LastReason &reason) {
  const auto &target = heartbeat.Target;
  if (local.Where && target.Where != *local.Where) {
    reason.fail(base::ResultCode::BadValue,
                "address: found " + target.Where.text() + ", expected " +
                    local.Where->text() +
                    ", the address of the target on this VM");
    return false;
  }
  if (!local.Service.empty() && target.Service != local.Service) {
    reason.fail(base::ResultCode::BadValue,
                "service: found \"" + target.Service + "\", expected \"" +
                    local.Service + "\", the service of the target on this VM");
    return false;
  }
  return true;
}

TargetListener::TargetListener(admission::TargetLeases &leases,
                               const base::Clock &clock, LocalTarget local,
                               std::function<void()> onChanged,
                               AwaitKept awaitKept)
    : Leases(&leases), Time(&clock), Local(std::move(local)),
      OnChanged(std::move(onChanged)), Kept(std::move(awaitKept)) {}

boost::asio::awaitable<http::Response>
TargetListener::handle(http::IncomingRequest request) {
  constexpr std::string_view Root = "/v1/targets";
  constexpr std::string_view HeartbeatSuffix = "/heartbeat";
  constexpr std::string_view LeaveSuffix = "/leave";
  std::string_view target(request.Message.target().data(),
                          request.Message.target().size());
  base::LastReason reason;
  bool isPost = request.Message.method() == beast_http::verb::post;
  if (isPost && target == Root)
    co_return announce(request.Message.body());
  if (isPost && target.starts_with(Root) && target.size() > Root.size() + 1) {
    auto rest = target.substr(Root.size() + 1);
    std::optional<http::Response> out;
    bool isLeaving = rest.ends_with(LeaveSuffix);
    if (isLeaving)
      out = leave(rest.substr(0, rest.size() - LeaveSuffix.size()));
    else if (rest.ends_with(HeartbeatSuffix))
      out = heartbeat(rest.substr(0, rest.size() - HeartbeatSuffix.size()),
                      request.Message.body(), isLeaving);
    // The node may be gone after the wait.
    if (isLeaving && Kept && !co_await Kept()) {
      reason.fail(base::ResultCode::PlatformUnavailable,
                  "neither the store nor a peer holds that the target leaves");
      base::log(base::LogLevel::Warning, "departure not acknowledged",
                {{"target", std::string(rest)}, {"reason", reason.line()}});
      co_return errorResponse(reason);
    }
    if (out)
      co_return std::move(*out);
  }
  reason.fail(base::ResultCode::NotFound,
              "expected POST /v1/targets, /v1/targets/ID/heartbeat or "
              "/v1/targets/ID/leave");
  co_return errorResponse(reason);
}

http::Response TargetListener::announce(std::string_view body) {
  base::LastReason reason;
  auto announcement = decode(body, reason);
  if (!announcement)
    return errorResponse(reason);
  auto lease = Leases->announce(*announcement, Time->now(), reason);
  if (!lease)
    return errorResponse(reason);
  OnChanged();
  auto ms =
      std::chrono::duration_cast<std::chrono::milliseconds>(lease->Lifetime);
  return jsonResponse(beast_http::status::ok,
                      {{"epoch", lease->Epoch}, {"lease_ms", ms.count()}});
}

/// Sets \p isLeaving if the heartbeat is accepted and its target is leaving.
http::Response TargetListener::heartbeat(std::string_view id,
                                         std::string_view body,
                                         bool &isLeaving) {
  base::LastReason reason;
  auto heartbeat = decodeHeartbeat(id, body, reason);
  bool isAccepted = heartbeat && isFromLocalTarget(*heartbeat, Local, reason) &&
                    Leases->heartbeat(*heartbeat, Time->now(), reason);
  if (!isAccepted) {
    base::log(base::LogLevel::Warning, "heartbeat refused",
              {{"target", std::string(id)}, {"reason", reason.line()}});
    return errorResponse(reason);
  }
  OnChanged();
  isLeaving = heartbeat->Target.State >= fleet::TargetState::Draining;
  return jsonResponse(beast_http::status::ok, {});
}

/// Succeeds for an unknown target too: it has nothing to leave.
http::Response TargetListener::leave(std::string_view id) {
  auto now = std::chrono::system_clock::now().time_since_epoch();
  auto unixMs = std::chrono::duration_cast<std::chrono::milliseconds>(now);
  bool isKnown =
      Leases->leave(id, Time->now(), static_cast<uint64_t>(unixMs.count()));
  base::log(base::LogLevel::Info, "target left",
            {{"target", std::string(id)}, {"known", isKnown ? "yes" : "no"}});
  OnChanged();
  return jsonResponse(beast_http::status::ok, {});
}

} // namespace radishcross::node
