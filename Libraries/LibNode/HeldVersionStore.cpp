#include <LibNode/HeldVersionStore.h>

#include <LibBase/Logger.h>

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <utility>

namespace radishcross::node {

namespace json = boost::json;

namespace {

/// Versions are counted by records of the log, and no log has as many. A node
/// would wait for a version above it for ever.
constexpr uint64_t MaximumVersion = uint64_t{1} << 48U;

/// Returns the record of a node; one that holds no versions has none.
std::string textOf(const VersionNumbers &versions) {
  return versions.empty() ? std::string() : encodeHoldings(versions);
}

} // namespace

std::string encodeHoldings(const VersionNumbers &versions) {
  json::object out;
  for (const auto &[name, version] : versions)
    out[name] = version;
  return json::serialize(out);
}

std::optional<VersionNumbers> decodeHoldings(std::string_view text,
                                             base::LastReason &reason) {
  boost::system::error_code ec;
  json::value document = json::parse(text, ec);
  if (ec || !document.is_object())
    return reason.fail(base::ResultCode::RecordMalformed,
                       "the holdings record is not a JSON object");
  VersionNumbers out;
  for (const auto &it : document.get_object()) {
    const auto &number = it.value();
    auto version = number.is_number() ? number.to_number<uint64_t>(ec) : 0;
    if (!number.is_number() || ec || version > MaximumVersion)
      return reason.fail(base::ResultCode::RecordMalformed,
                         "the holdings record has an invalid version number");
    out.emplace(it.key(), version);
  }
  return out;
}

HeldVersionStore::HeldVersionStore(log::KeyedStore &store, std::string node,
                                   std::function<void()> onStored)
    : Record(store, log::Topic::Holdings, std::move(node),
             std::move(onStored)) {}

void HeldVersionStore::load(std::function<void(const VersionNumbers &)> done) {
  Record.load([done = std::move(done)](const auto &recalled) {
    base::LastReason reason = recalled.Reason;
    VersionNumbers found;
    if (!recalled.Text.empty())
      if (auto versions = decodeHoldings(recalled.Text, reason))
        found = std::move(*versions);
    base::log(recalled.Reached ? base::LogLevel::Info : base::LogLevel::Warning,
              "holdings recalled",
              {{"reached", recalled.Reached ? "yes" : "no"},
               {"versions", encodeHoldings(found)},
               {"reason", reason.text()}});
    done(found);
  });
}

void HeldVersionStore::setDesired(const VersionNumbers &versions) {
  Record.setDesired(textOf(versions));
}

bool HeldVersionStore::isStored(const VersionNumbers &versions) const {
  return Record.isStored(textOf(versions));
}

} // namespace radishcross::node
