#include <LibFleet/RecordFreshness.h>

#include <algorithm>

namespace radishcross::fleet {

namespace {

/// Percentages of the bound.
constexpr int64_t LongPollPercent = 30;
constexpr int64_t SpacingPercent = 10;
constexpr int64_t PushStepPercent = 8;
constexpr int64_t FirstReportAgePercent =
    55; ///< For the first rank after the reader.
constexpr int64_t LastReportAgePercent = 70; ///< For the last rank.

constexpr int64_t EagerPausePercent = 40;

/// For nodes that can wait for the readers' reports.
constexpr base::Duration OthersLongestPause = std::chrono::seconds(3);

std::optional<base::TimePoint> latest(std::optional<base::TimePoint> a,
                                      std::optional<base::TimePoint> b) {
  return std::max(a, b);
}

} // namespace

RecordFreshness::RecordFreshness(FreshnessSettings settings, uint64_t seed,
                                 base::TimePoint now)
    : Settings(settings), Started(now) {
  auto drawn = base::Random(seed).below(settings.StartupDelay.count() / 2 + 1);
  StartupDelayEnds = now + settings.StartupDelay + base::Duration(drawn);
}

void RecordFreshness::setHeldVersion(uint64_t version) {
  if (version <= Held)
    return;
  Held = version;
  // Earlier reports say nothing about this version.
  ConfirmedAt.reset();
  if (version == Newest)
    confirmCurrent(NewestAt);
}

void RecordFreshness::confirmCurrent(std::optional<base::TimePoint> asOf) {
  ConfirmedAt = latest(ConfirmedAt, asOf);
  WasConfirmed |= ConfirmedAt && *ConfirmedAt >= Started;
  CurrentAt = latest(CurrentAt, ConfirmedAt);
}

void RecordFreshness::readConfirmed(base::TimePoint asOf) {
  if (Held >= Newest)
    confirmCurrent(asOf);
}

void RecordFreshness::reported(const FreshnessReport &report,
                               base::TimePoint now) {
  if (report.Version < Held || report.Version < Newest)
    return;
  std::optional<base::TimePoint> asOf;
  if (report.Age)
    asOf = now - *report.Age;
  if (report.Version == Held)
    confirmCurrent(asOf);
  NewestAt = report.Version > Newest ? asOf : latest(NewestAt, asOf);
  Newest = report.Version;
}

FreshnessReport RecordFreshness::report(base::TimePoint now) const {
  FreshnessReport out{Held, std::nullopt};
  if (Held >= Newest && ConfirmedAt)
    out.Age = std::max(now - *ConfirmedAt, base::Duration::zero());
  return out;
}

std::optional<base::Duration>
RecordFreshness::currentAge(base::TimePoint now) const {
  if (!CurrentAt)
    return std::nullopt;
  return std::max(now - *CurrentAt, base::Duration::zero());
}

bool RecordFreshness::takePendingPush() {
  bool isFresher =
      ConfirmedAt &&
      (!PushedAt || *ConfirmedAt - *PushedAt >= boundShare(PushStepPercent));
  if (Held <= PushedVersion && (!isFresher || Held < Newest))
    return false;
  PushedVersion = Held;
  PushedAt = latest(PushedAt, ConfirmedAt);
  return true;
}

base::Duration RecordFreshness::maximumReportAge(const ReaderRank &rank) const {
  auto first = boundShare(FirstReportAgePercent);
  auto last = boundShare(LastReportAgePercent);
  auto count = std::max<int64_t>(rank.Count, 1);
  return first + (last - first) * std::min<int64_t>(rank.Rank, count) / count;
}

ReadDuty RecordFreshness::duty(const ReaderRank &rank,
                               base::TimePoint now) const {
  if (now < StartupDelayEnds)
    return {};
  ReadDuty out{ReadDuty::Kind::Follow, boundShare(LongPollPercent),
               boundShare(SpacingPercent),
               rank.Rank < Settings.EagerReaders ? boundShare(EagerPausePercent)
                                                 : OthersLongestPause};
  if (rank.Rank == 0)
    return out;
  auto since = std::max(CurrentAt.value_or(Started), Started);
  if (now - since < maximumReportAge(rank))
    return {};
  out.What = ReadDuty::Kind::Once;
  return out;
}

} // namespace radishcross::fleet
