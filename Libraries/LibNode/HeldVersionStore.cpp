#include <LibNode/HeldVersionStore.h>

#include <LibBase/Logger.h>

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <utility>

namespace radishcross::node {

namespace json = boost::json;

namespace {

/// The minimum time between a failed write and the next one.
constexpr base::Duration RetryInterval = std::chrono::seconds(1);

/// Versions are counted by records of the log, and no log has as many. A node
/// would wait for a version above it for ever.
constexpr uint64_t MaximumVersion = uint64_t{1} << 48U;

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
    : Store(&store), Node(std::move(node)), OnStored(std::move(onStored)) {}

void HeldVersionStore::load(std::function<void(const VersionNumbers &)> done) {
  Store->list(log::Topic::Holdings, [weak = std::weak_ptr<bool>(LifetimeToken),
                                     this, done = std::move(done)](
                                        const log::TopicAnswer &answer) {
    if (weak.expired())
      return;
    base::LastReason reason = answer.Reason;
    VersionNumbers found;
    for (const auto &it : answer.Records) {
      if (it.Key != Node || it.Value.empty())
        continue;
      if (auto versions = decodeHoldings(it.Value, reason))
        found = std::move(*versions);
    }
    Stored = Desired = found;
    base::log(answer.Reached ? base::LogLevel::Info : base::LogLevel::Warning,
              "holdings recalled",
              {{"reached", answer.Reached ? "yes" : "no"},
               {"versions", encodeHoldings(found)},
               {"reason", reason.text()}});
    done(found);
  });
}

void HeldVersionStore::tick(base::TimePoint now) {
  if (IsWriting || Desired == Stored || now < NextWrite)
    return;
  IsWriting = true;
  NextWrite = now + RetryInterval;
  Store->put(log::Topic::Holdings, Node, encodeHoldings(Desired),
             [weak = std::weak_ptr<bool>(LifetimeToken), this,
              versions = Desired](const log::PutAnswer &answer) {
               if (!weak.expired())
                 writeEnded(versions, answer);
             });
}

void HeldVersionStore::writeEnded(const VersionNumbers &versions,
                                  const log::PutAnswer &answer) {
  IsWriting = false;
  if (answer.Outcome == log::PutAnswer::Kind::Accepted) {
    Stored = versions;
    NextWrite = {};
    OnStored();
    return;
  }
  base::log(base::LogLevel::Warning, "holdings were not written",
            {{"versions", encodeHoldings(versions)},
             {"reason", answer.Reason.text()}});
}

} // namespace radishcross::node
