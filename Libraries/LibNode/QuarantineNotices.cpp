#include <LibNode/QuarantineNotices.h>

#include <LibBase/Hash.h>
#include <LibBase/Logger.h>

#include <charconv>
#include <optional>
#include <utility>

namespace radishcross::node {

namespace {

constexpr std::string_view TopicPrefix = "quarantine/";
constexpr uint32_t QuarantineThreshold = 2;

struct Topic {
  uint64_t Fingerprint = 0;
  uint32_t Crashes = 0;
};

std::string topicOf(uint64_t fingerprint, uint32_t crashes,
                    std::string_view service) {
  return std::string(TopicPrefix) + encodeFingerprint(fingerprint) + "/" +
         std::to_string(crashes) + "/" +
         encodeFingerprint(base::hash64(service));
}

template <typename Number>
bool parseNumber(std::string_view text, Number &out, int base) {
  auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), out, base);
  return error == std::errc() && end == text.data() + text.size() &&
         !text.empty();
}

std::optional<Topic> parseTopic(std::string_view topic) {
  if (!topic.starts_with(TopicPrefix))
    return std::nullopt;
  topic.remove_prefix(TopicPrefix.size());
  size_t slash = topic.find('/');
  if (slash == std::string_view::npos)
    return std::nullopt;
  auto crashes = topic.substr(slash + 1);
  crashes = crashes.substr(0, crashes.find('/'));
  Topic out;
  if (!parseNumber(topic.substr(0, slash), out.Fingerprint, 16) ||
      !parseNumber(crashes, out.Crashes, 10))
    return std::nullopt;
  return out;
}

} // namespace

QuarantineNotices::QuarantineNotices(calls::Quarantine &quarantine,
                                     QuarantineStore &store)
    : Table(&quarantine), Store(&store) {}

void QuarantineNotices::publish(const Publish &publish, base::TimePoint now) {
  for (const auto &entry : Table->takeReports()) {
    if (entry.Until <= now)
      continue;
    const auto left = entry.Until - now;
    publish(topicOf(entry.Fingerprint, entry.Crashes, entry.ServiceName),
            entry.ServiceName, left);
    if (entry.Crashes < QuarantineThreshold)
      continue;
    base::log(base::LogLevel::Warning, "request quarantined",
              {{"fingerprint", std::to_string(entry.Fingerprint)},
               {"service", entry.ServiceName},
               {"source", "crash"}});
    Lifted.erase(entry.Fingerprint);
    Store->keep({entry.Fingerprint, entry.ServiceName, left});
  }
}

bool QuarantineNotices::lift(uint64_t fingerprint, const Publish &publish,
                             base::TimePoint now) {
  const auto entries = Table->entries(now);
  if (!Table->lift(fingerprint))
    return false;
  base::log(
      base::LogLevel::Info, "quarantine lifted",
      {{"fingerprint", std::to_string(fingerprint)}, {"source", "operator"}});
  remember(fingerprint);
  for (const auto &it : entries) {
    if (it.Fingerprint != fingerprint)
      continue;
    // Replaces the notices of the entry, for as long as those could last.
    for (uint32_t crashes = 1; crashes <= QuarantineThreshold; ++crashes)
      publish(topicOf(fingerprint, crashes, it.ServiceName), {},
              calls::Quarantine::QuarantineLifetime);
    Store->drop(fingerprint, it.ServiceName);
  }
  return true;
}

void QuarantineNotices::remember(uint64_t lifted) {
  if (Lifted.size() >= MaximumLifted)
    Lifted.erase(Lifted.begin());
  Lifted.insert(lifted);
}

void QuarantineNotices::receive(std::string_view topic, std::string_view text,
                                base::Duration timeLeft, base::TimePoint now) {
  auto parsed = parseTopic(topic);
  if (!parsed)
    return;
  if (text.empty()) {
    remember(parsed->Fingerprint);
    if (Table->lift(parsed->Fingerprint))
      base::log(base::LogLevel::Info, "quarantine lifted",
                {{"fingerprint", std::to_string(parsed->Fingerprint)},
                 {"source", "peer"}});
  } else if (parsed->Crashes >= QuarantineThreshold) {
    if (!Table->blocks(parsed->Fingerprint, text, now))
      base::log(base::LogLevel::Info, "request quarantined",
                {{"fingerprint", std::to_string(parsed->Fingerprint)},
                 {"service", std::string(text)},
                 {"source", "peer"}});
    Lifted.erase(parsed->Fingerprint);
    Table->applyRemote(parsed->Fingerprint, text, timeLeft, now);
  } else {
    Table->applyRemoteSuspect(parsed->Fingerprint, text, now);
  }
}

void QuarantineNotices::restore(const std::vector<StoredQuarantine> &entries,
                                base::TimePoint now) {
  for (const auto &it : entries)
    if (!Lifted.contains(it.Fingerprint))
      Table->applyRemote(it.Fingerprint, it.ServiceName, it.TimeLeft, now);
}

} // namespace radishcross::node
