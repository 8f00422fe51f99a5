#include <LibBase/Hash.h>
#include <LibFleet/Spreader.h>

#include <utility>

namespace radishcross::fleet {

Spreader::Spreader(NodeId self, std::string dataCentre,
                   SpreaderSettings settings, uint64_t seed)
    : Self(std::move(self)), DataCentre(std::move(dataCentre)),
      Settings(settings), Dice(seed),
      ReadBackoff(settings.ShortestBackoff, settings.LongestBackoff),
      PullBackoff(settings.ShortestBackoff, settings.LongestBackoff) {}

bool Spreader::isTailer(const MemberTable &table, const std::string &dataCentre,
                        const NodeId &id, uint32_t count) {
  uint64_t own = base::rendezvousWeight(dataCentre, id);
  uint32_t ahead = 0;
  for (const auto &it : table.all()) {
    if (!isLive(it) || it.Identity.DataCentre != dataCentre)
      continue;
    if (it.Identity.Id == id)
      continue;
    uint64_t weight = base::rendezvousWeight(dataCentre, it.Identity.Id);
    if (weight > own || (weight == own && it.Identity.Id > id))
      ++ahead;
  }
  return ahead < count;
}

std::vector<SpreadAction> Spreader::next(const MemberTable &table,
                                         const Situation &situation,
                                         base::TimePoint now) {
  std::vector<SpreadAction> actions;
  if (auto pull = nextPull(table, situation, now))
    actions.push_back(std::move(*pull));
  if (auto read = nextRead(table, situation, now))
    actions.push_back(std::move(*read));
  return actions;
}

void Spreader::planSafetyRead(const MemberTable &table, base::TimePoint now) {
  int64_t size = 0;
  for (const auto &it : table.all())
    size += isLive(it) && it.Identity.DataCentre == DataCentre ? 1 : 0;
  auto period = Settings.SafetyReadPeriod * std::max<int64_t>(size, 1);
  NextSafetyRead =
      now + period / 2 + base::Duration(Dice.below(period.count()));
}

std::optional<SpreadAction> Spreader::nextRead(const MemberTable &table,
                                               const Situation &situation,
                                               base::TimePoint now) {
  if (ReadRunning)
    return std::nullopt;
  bool isDue = now >= NextRead;
  bool isTailing =
      isDue && situation.MayTail &&
      isTailer(table, DataCentre, Self, Settings.TailersPerDataCentre);
  if (NextSafetyRead == base::TimePoint{})
    planSafetyRead(table, now);
  bool isSafety = isDue && now >= NextSafetyRead;
  bool isFallback =
      isDue && PullBackoff.failures() >= Settings.FailedPullsBeforeRead;
  bool isRecovery = isDue && situation.ReadsToEnd;
  if (!isTailing && !isSafety && !isFallback && !isRecovery && !ReadRequested)
    return std::nullopt;
  if (isSafety)
    planSafetyRead(table, now);
  ReadRunning = true;
  SpreadAction action{
      SpreadAction::Kind::ReadLog, {}, situation.Held + 1, base::Duration{}};
  if (isTailing && !ReadRequested && !situation.ReadsToEnd)
    action.Wait = Settings.LongPoll;
  ReadRequested = false;
  return action;
}

void Spreader::readDone(bool reached, bool hasRecords, base::TimePoint now) {
  ReadRunning = false;
  if (!reached) {
    NextRead = now + ReadBackoff.next(Dice);
    return;
  }
  ReadBackoff.reset();
  NextRead = hasRecords ? now : now + Settings.EmptyReadSpacing;
  if (PullBackoff.failures() >= Settings.FailedPullsBeforeRead)
    PullBackoff.reset();
}

const Member *Spreader::chooseSource(const MemberTable &table, log::Offset held,
                                     base::TimePoint now) {
  const Member *chosen = nullptr;
  uint64_t localSeen = 0;
  uint64_t farSeen = 0;
  for (const auto &it : table.all()) {
    if (!isLive(it) || it.HeldOffset <= held || it.Identity.Id == Self)
      continue;
    auto busy = BusyUntil.find(it.Identity.Id);
    if (busy != BusyUntil.end() && busy->second > now)
      continue;
    bool isLocal = it.Identity.DataCentre == DataCentre;
    if (!isLocal && localSeen > 0)
      continue;
    auto &seen = isLocal ? localSeen : farSeen;
    ++seen;
    if ((isLocal && seen == 1) || Dice.below(seen) == 0)
      chosen = &it;
  }
  return chosen;
}

std::optional<SpreadAction> Spreader::nextPull(const MemberTable &table,
                                               const Situation &situation,
                                               base::TimePoint now) {
  if (PullRunning || now < NextPull)
    return std::nullopt;
  const auto *source = chooseSource(table, situation.Held, now);
  if (!source)
    return std::nullopt;
  PullRunning = true;
  bool isFar = source->HeldOffset - situation.Held > Settings.StateDistance;
  bool wantsState = std::exchange(StateWanted, false);
  auto what = isFar || wantsState || situation.NeedsState
                  ? SpreadAction::Kind::PullState
                  : SpreadAction::Kind::PullRecords;
  return SpreadAction{what, source->Identity.Id, situation.Held + 1, {}};
}

void Spreader::pullDone(const NodeId &peer, PullOutcome outcome,
                        base::Duration retryAfter, base::TimePoint now) {
  PullRunning = false;
  std::erase_if(BusyUntil, [&](const auto &it) { return it.second <= now; });
  switch (outcome) {
  case PullOutcome::Advanced:
    PullBackoff.reset();
    NextPull = now;
    return;
  case PullOutcome::Expired:
    StateWanted = true;
    NextPull = now;
    return;
  case PullOutcome::Busy:
    // The peer is alive, so this is no failure that sends anyone to the log.
    BusyUntil[peer] =
        now + retryAfter + base::Duration(Dice.below(retryAfter.count() + 1));
    NextPull =
        now + base::Duration(Dice.below(Settings.ShortestBackoff.count() + 1));
    return;
  case PullOutcome::Nothing:
  case PullOutcome::Failed:
    BusyUntil[peer] = now + Settings.LongestBackoff / 4;
    NextPull = now + PullBackoff.next(Dice);
    return;
  }
}

} // namespace radishcross::fleet
