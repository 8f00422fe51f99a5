#include <LibNode/QuarantineStore.h>

#include <LibBase/Hash.h>
#include <LibBase/Logger.h>

#include <array>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <charconv>
#include <optional>
#include <utility>

namespace radishcross::node {

namespace {

namespace json = boost::json;

/// No node has a name with a slash.
constexpr std::string_view KeyPrefix = "quarantine/";

struct Entry {
  StoredQuarantine Content;
  std::string Node;
  int64_t UntilUnixMs = 0;
};

/// A request may be quarantined at several services.
std::string keyOf(uint64_t fingerprint, std::string_view service) {
  return std::string(KeyPrefix) + encodeFingerprint(fingerprint) + "/" +
         encodeFingerprint(base::hash64(service));
}

std::optional<Entry> decode(const log::KeyedRecord &record) {
  Entry out;
  auto digits = std::string_view(record.Key).substr(KeyPrefix.size());
  digits = digits.substr(0, digits.find('/'));
  const auto [end, error] =
      std::from_chars(digits.data(), digits.data() + digits.size(),
                      out.Content.Fingerprint, 16);
  boost::system::error_code ec;
  const auto document = json::parse(record.Value, ec);
  if (ec || error != std::errc() || end != digits.data() + digits.size() ||
      !document.is_object())
    return std::nullopt;
  const auto &object = document.get_object();
  const auto *service = object.if_contains("service");
  const auto *node = object.if_contains("node");
  const auto *until = object.if_contains("until_unix_ms");
  if (!service || !service->is_string() || !node || !node->is_string() ||
      !until || !until->is_int64())
    return std::nullopt;
  out.Content.ServiceName = std::string(service->get_string());
  out.Node = std::string(node->get_string());
  out.UntilUnixMs = until->get_int64();
  return out;
}

} // namespace

std::string encodeFingerprint(uint64_t fingerprint) {
  std::array<char, 16> buf{};
  const auto end =
      std::to_chars(buf.data(), buf.data() + buf.size(), fingerprint, 16).ptr;
  return {buf.data(), end};
}

QuarantineStore::QuarantineStore(log::KeyedStore &store, std::string node,
                                 UnixTime unixTime)
    : Store(&store), Node(std::move(node)), Now(std::move(unixTime)) {}

void QuarantineStore::keep(const StoredQuarantine &entry) {
  const auto left =
      std::chrono::duration_cast<std::chrono::milliseconds>(entry.TimeLeft);
  const auto until = Now() + left.count();
  auto key = keyOf(entry.Fingerprint, entry.ServiceName);
  if (Pending.size() >= MaximumEntries)
    return;
  Kept[key] = until;
  Pending[std::move(key)] =
      json::serialize(json::object{{"service", entry.ServiceName},
                                   {"node", Node},
                                   {"until_unix_ms", until}});
}

void QuarantineStore::drop(uint64_t fingerprint, std::string_view service) {
  auto key = keyOf(fingerprint, service);
  Kept.erase(key);
  Pending[std::move(key)] = {};
}

void QuarantineStore::expire() {
  const auto now = Now();
  for (auto it = Kept.begin(); it != Kept.end();) {
    if (it->second > now) {
      ++it;
      continue;
    }
    Pending[it->first] = {};
    it = Kept.erase(it);
  }
}

void QuarantineStore::tick(base::TimePoint now) {
  if (!Kept.empty())
    expire();
  if (IsBusy || Pending.empty() || now < NextWrite)
    return;
  IsBusy = true;
  NextWrite = now + RetryInterval;
  const auto &[key, text] = *Pending.begin();
  Store->put(log::Topic::Departures, key, text,
             [weak = std::weak_ptr<bool>(LifetimeToken), this, key = key,
              text = text](const log::PutAnswer &answer) {
               if (!weak.expired())
                 writeEnded(key, text, answer);
             });
}

void QuarantineStore::writeEnded(const std::string &key,
                                 const std::string &text,
                                 const log::PutAnswer &answer) {
  IsBusy = false;
  if (answer.Outcome != log::PutAnswer::Kind::Accepted) {
    base::log(base::LogLevel::Warning, "record was not written",
              {{"topic", "departures"},
               {"record", key + " " + text},
               {"reason", answer.Reason.text()}});
    return;
  }
  NextWrite += WriteInterval - RetryInterval;
  const auto it = Pending.find(key);
  if (it != Pending.end() && it->second == text)
    Pending.erase(it);
}

std::vector<StoredQuarantine>
QuarantineStore::recall(const std::vector<log::KeyedRecord> &records) {
  std::vector<StoredQuarantine> out;
  for (const auto &it : records) {
    if (!it.Key.starts_with(KeyPrefix))
      continue;
    auto entry = decode(it);
    const auto left = entry ? entry->UntilUnixMs - Now() : 0;
    if (!entry)
      base::log(base::LogLevel::Warning, "quarantined request cannot be read",
                {{"key", it.Key}, {"record", it.Value}});
    else if (left <= 0 && entry->Node == Node)
      Pending[it.Key] = {};
    else if (left > 0) {
      if (entry->Node == Node)
        Kept[it.Key] = entry->UntilUnixMs;
      entry->Content.TimeLeft = std::chrono::milliseconds(left);
      out.push_back(std::move(entry->Content));
    }
  }
  base::log(base::LogLevel::Info, "quarantine recalled",
            {{"source", "store"}, {"entries", std::to_string(out.size())}});
  return out;
}

} // namespace radishcross::node
