#include <LibCalls/Quarantine.h>
#include <LibCalls/QuarantinePlayer.h>

#include <LibBase/Hash.h>

#include <algorithm>
#include <utility>

namespace radishcross::calls {

namespace {

template <typename Map> void dropExpired(Map &entries, base::TimePoint now) {
  std::erase_if(entries,
                [now](const auto &it) { return it.second.Until <= now; });
}

} // namespace

Quarantine::Quarantine(trace::Recorder &recorder)
    : Answers(AnswerSlots), Record(&recorder) {}

Quarantine::RequestKey Quarantine::keyOf(uint64_t fingerprint,
                                         std::string_view serviceName) {
  return base::hash64(serviceName, fingerprint);
}

QuarantineEntry &Quarantine::insert(Entries &entries, uint64_t fingerprint,
                                    std::string_view serviceName,
                                    base::TimePoint now) {
  const auto key = keyOf(fingerprint, serviceName);
  const auto known = entries.find(key);
  if (known != entries.end())
    return known->second;
  if (entries.size() >= MaximumEntries)
    dropExpired(entries, now);
  if (entries.size() >= MaximumEntries)
    entries.erase(std::min_element(entries.begin(), entries.end(),
                                   [](const auto &a, const auto &b) {
                                     return a.second.Until < b.second.Until;
                                   }));
  auto &entry = entries[key];
  entry.Fingerprint = fingerprint;
  entry.ServiceName = serviceName;
  return entry;
}

bool Quarantine::suspect(uint64_t fingerprint, std::string_view serviceName,
                         base::TimePoint now, bool reportToFleet) {
  if (blocks(fingerprint, serviceName, now))
    return false;
  auto &entry = insert(Suspects, fingerprint, serviceName, now);
  if (entry.Until <= now)
    entry.Crashes = 0;
  ++entry.Crashes;
  entry.Until = now + SuspicionLifetime;
  if (entry.Crashes < 2) {
    if (reportToFleet)
      queueReport(entry);
    return false;
  }
  auto &blocked = insert(Blocked, fingerprint, serviceName, now);
  blocked.Crashes = entry.Crashes;
  blocked.Until = now + QuarantineLifetime;
  queueReport(blocked);
  Suspects.erase(keyOf(fingerprint, serviceName));
  return true;
}

bool Quarantine::crashed(uint64_t fingerprint, std::string_view serviceName,
                         base::TimePoint now) {
  if (answeredLately(keyOf(fingerprint, serviceName), now))
    return false;
  const bool out = suspect(fingerprint, serviceName, now, true);
  recordEvent(QuarantinePlayer::Crashed, fingerprint, serviceName, {}, now,
              out);
  return out;
}

std::vector<uint64_t> Quarantine::targetCrashed(
    std::string_view targetId, std::string_view serviceName,
    const std::vector<uint64_t> &fingerprints, base::TimePoint now) {
  std::erase_if(RecentCrashes, [now](const auto &it) {
    return now - it.second >= CrashInterval;
  });
  if (!RecentCrashes.emplace(targetId, now).second)
    return {};
  auto distinct = fingerprints;
  std::sort(distinct.begin(), distinct.end());
  distinct.erase(std::unique(distinct.begin(), distinct.end()), distinct.end());
  const bool few = distinct.size() <= MaximumSuspectsPerCrash;
  std::vector<uint64_t> out;
  for (const uint64_t it : distinct) {
    if (it == 0 || (!few && !Suspects.contains(keyOf(it, serviceName))))
      continue;
    if (crashed(it, serviceName, now))
      out.push_back(it);
  }
  return out;
}

void Quarantine::answered(uint64_t fingerprint, std::string_view serviceName,
                          base::TimePoint now) {
  const auto key = keyOf(fingerprint, serviceName);
  Answers[key % AnswerSlots] = {key, now, true};
  if (!Suspects.empty() && Suspects.contains(key))
    clear(fingerprint, serviceName, now);
}

bool Quarantine::clear(uint64_t fingerprint, std::string_view serviceName,
                       base::TimePoint now) {
  const bool out = Suspects.erase(keyOf(fingerprint, serviceName)) > 0;
  recordEvent(QuarantinePlayer::Cleared, fingerprint, serviceName, {}, now,
              out);
  return out;
}

void Quarantine::queueReport(const QuarantineEntry &entry) {
  if (PendingReports.size() >= MaximumEntries)
    PendingReports.erase(PendingReports.begin());
  PendingReports.push_back(entry);
}

bool Quarantine::answeredLately(RequestKey key, base::TimePoint now) const {
  const auto &it = Answers[key % AnswerSlots];
  return it.Used && it.Key == key && now - it.At < AnswerLifetime;
}

void Quarantine::applyRemote(uint64_t fingerprint, std::string_view serviceName,
                             base::Duration lifetime, base::TimePoint now) {
  auto &entry = insert(Blocked, fingerprint, serviceName, now);
  entry.Crashes = std::max(entry.Crashes, 2U);
  entry.Until =
      std::max(entry.Until, now + std::min(lifetime, QuarantineLifetime));
  Suspects.erase(keyOf(fingerprint, serviceName));
  recordEvent(QuarantinePlayer::Learned, fingerprint, serviceName, lifetime,
              now, true);
}

bool Quarantine::applyRemoteSuspect(uint64_t fingerprint,
                                    std::string_view serviceName,
                                    base::TimePoint now) {
  if (answeredLately(keyOf(fingerprint, serviceName), now))
    return false;
  const bool out = suspect(fingerprint, serviceName, now, false);
  recordEvent(QuarantinePlayer::LearnedSuspicion, fingerprint, serviceName, {},
              now, out);
  return out;
}

std::vector<QuarantineEntry> Quarantine::takeReports() {
  return std::exchange(PendingReports, {});
}

bool Quarantine::blocks(uint64_t fingerprint, std::string_view serviceName,
                        base::TimePoint now) const {
  if (Blocked.empty())
    return false;
  const auto it = Blocked.find(keyOf(fingerprint, serviceName));
  return it != Blocked.end() && it->second.Until > now;
}

bool Quarantine::lift(uint64_t fingerprint) {
  const auto isNamed = [fingerprint](const auto &it) {
    return it.second.Fingerprint == fingerprint;
  };
  std::erase_if(Suspects, isNamed);
  const bool out = std::erase_if(Blocked, isNamed) > 0;
  recordEvent(QuarantinePlayer::Lifted, fingerprint, {}, {}, {}, out);
  return out;
}

std::vector<QuarantineEntry> Quarantine::entries(base::TimePoint now) const {
  std::vector<QuarantineEntry> out;
  for (const auto &it : Blocked)
    if (it.second.Until > now)
      out.push_back(it.second);
  return out;
}

void Quarantine::recordEvent(uint8_t event, uint64_t fingerprint,
                             std::string_view text, base::Duration lifetime,
                             base::TimePoint now, bool decided) {
  trace::Entry entry;
  entry.AtMicroseconds = now.time_since_epoch().count();
  entry.Source = trace::Module::Quarantine;
  entry.Event = event;
  entry.Numbers = {static_cast<int64_t>(fingerprint), lifetime.count()};
  entry.Text = text;
  entry.Decided = {decided ? 1 : 0};
  Record->record(std::move(entry));
}

} // namespace radishcross::calls
