#include <LibFleet/RecordFreshness.h>

#include <algorithm>

namespace radishcross::fleet {

namespace {

/// Shares of the bound, in percent.
constexpr int64_t HoldPercent = 30;
constexpr int64_t SpacingPercent = 10;
constexpr int64_t PushStepPercent = 8;
constexpr int64_t FirstPatiencePercent = 55; ///< Of the reader's deputy.
constexpr int64_t LastPatiencePercent = 70;  ///< Of the last rank.

/// A follower for itself alone: the store allows 30 s.
constexpr base::Duration LongHold = std::chrono::seconds(25);
constexpr base::Duration ReaderLongestPause = std::chrono::milliseconds(1500);
/// Of who can wait for the readers' words.
constexpr base::Duration OthersLongestPause = std::chrono::seconds(3);

std::optional<base::TimePoint> later(std::optional<base::TimePoint> a,
                                     std::optional<base::TimePoint> b) {
  return std::max(a, b);
}

} // namespace

RecordFreshness::RecordFreshness(FreshnessSettings settings, uint64_t seed,
                                 base::TimePoint now)
    : Settings(settings), Started(now) {
  auto drawn = base::Random(seed).below(settings.Quiet.count() / 2 + 1);
  QuietUntil = now + settings.Quiet + base::Duration(drawn);
}

void RecordFreshness::hold(uint64_t version) {
  if (version <= Held)
    return;
  Held = version;
  // An older word said nothing of this version.
  ConfirmedAt.reset();
  if (version == Newest)
    confirm(NewestAt);
}

void RecordFreshness::confirm(std::optional<base::TimePoint> asOf) {
  ConfirmedAt = later(ConfirmedAt, asOf);
  CurrentAt = later(CurrentAt, ConfirmedAt);
}

void RecordFreshness::read(base::TimePoint asOf) {
  if (Held >= Newest)
    confirm(asOf);
}

void RecordFreshness::heard(const FreshnessWord &word, base::TimePoint now) {
  if (word.Version < Held || word.Version < Newest)
    return;
  std::optional<base::TimePoint> asOf;
  if (word.Age)
    asOf = now - *word.Age;
  if (word.Version == Held)
    confirm(asOf);
  NewestAt = word.Version > Newest ? asOf : later(NewestAt, asOf);
  Newest = word.Version;
}

FreshnessWord RecordFreshness::word(base::TimePoint now) const {
  FreshnessWord out{Held, std::nullopt};
  if (Held >= Newest && ConfirmedAt)
    out.Age = std::max(now - *ConfirmedAt, base::Duration::zero());
  return out;
}

bool RecordFreshness::takePush() {
  bool isFresher = ConfirmedAt && (!PushedAt || *ConfirmedAt - *PushedAt >=
                                                    part(PushStepPercent));
  if (Held <= PushedVersion && (!isFresher || Held < Newest))
    return false;
  PushedVersion = Held;
  PushedAt = later(PushedAt, ConfirmedAt);
  return true;
}

base::Duration RecordFreshness::patience(const ReaderPlace &place) const {
  auto first = part(FirstPatiencePercent);
  auto last = part(LastPatiencePercent);
  auto count = std::max<int64_t>(place.Count, 1);
  return first + (last - first) * std::min<int64_t>(place.Rank, count) / count;
}

ReadDuty RecordFreshness::duty(const ReaderPlace &place,
                               base::TimePoint now) const {
  if (now < QuietUntil)
    return {};
  bool isFew = place.Count <= Settings.MostFollowers;
  if (isFew && now - Started >= Settings.Meeting)
    return {ReadDuty::Kind::Follow, LongHold, Settings.Bound / 2,
            ReaderLongestPause};
  if (place.Rank == 0)
    return {ReadDuty::Kind::Follow, part(HoldPercent), part(SpacingPercent),
            ReaderLongestPause};
  auto since = std::max(CurrentAt.value_or(Started), Started);
  if (now - since < patience(place))
    return {};
  return {ReadDuty::Kind::Once, part(HoldPercent), part(SpacingPercent),
          OthersLongestPause};
}

} // namespace radishcross::fleet
