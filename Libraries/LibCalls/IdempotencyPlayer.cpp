#include <LibCalls/IdempotencyPlayer.h>

#include <LibBase/EnumNames.h>

#include <string>
#include <utility>

namespace radishcross::calls {

namespace {

constexpr base::EnumName<IdempotencyEvent::Value> EventNames[] = {
    {IdempotencyEvent::Start, "start"},
    {IdempotencyEvent::Begin, "begin"},
    {IdempotencyEvent::Finished, "finished"},
    {IdempotencyEvent::Left, "left"},
    {IdempotencyEvent::Expire, "expire"},
};

constexpr base::EnumName<OwnershipEvent::Value> OwnerEventNames[] = {
    {OwnershipEvent::OwnerStart, "owner-start"},
    {OwnershipEvent::Peer, "peer"},
    {OwnershipEvent::CompleteSince, "knows-from"},
    {OwnershipEvent::Verdict, "verdict"},
};

base::TimePoint timeOf(const trace::Entry &entry) {
  return base::TimePoint{base::Duration(entry.AtMicroseconds)};
}

} // namespace

trace::Outcome IdempotencyPlayer::play(const trace::Entry &entry) {
  if (entry.Event >= OwnershipEvent::OwnerStart)
    return playOwner(entry);
  if (entry.Event == IdempotencyEvent::Start) {
    Replayed.emplace(base::Duration(entry.Numbers[0]), Ignored);
    return {};
  }
  if (!Replayed)
    return {};
  switch (static_cast<IdempotencyEvent::Value>(entry.Event)) {
  case IdempotencyEvent::Begin:
    return {static_cast<int64_t>(Replayed->begin(
        entry.Text, static_cast<uint64_t>(entry.Numbers[0]),
        static_cast<CallHandle>(entry.Numbers[1]), timeOf(entry)))};
  case IdempotencyEvent::Finished:
    return finished(entry);
  case IdempotencyEvent::Left:
    Replayed->cancelWait(entry.Text, static_cast<CallHandle>(entry.Numbers[0]),
                         timeOf(entry));
    return {};
  case IdempotencyEvent::Expire:
    return {static_cast<int64_t>(Replayed->tick(timeOf(entry)))};
  case IdempotencyEvent::Start:
    break;
  }
  return {};
}

trace::Outcome IdempotencyPlayer::finished(const trace::Entry &entry) {
  std::optional<std::string> answer;
  if (entry.Numbers[2] >= 0)
    answer = std::string(static_cast<size_t>(entry.Numbers[2]), ' ');
  const auto waited =
      Replayed->finished(entry.Text, static_cast<CallOutcome>(entry.Numbers[0]),
                         static_cast<base::ResultCode>(entry.Numbers[1]),
                         std::move(answer), timeOf(entry));
  return {static_cast<int64_t>(waited.size())};
}

trace::Outcome IdempotencyPlayer::playOwner(const trace::Entry &entry) {
  const auto now = timeOf(entry);
  const auto flag = entry.Numbers[0] != 0;
  if (entry.Event == OwnershipEvent::OwnerStart) {
    const auto cut = entry.Text.find('\n');
    Owners.emplace(entry.Text.substr(0, cut), entry.Text.substr(cut + 1),
                   base::Duration(entry.Numbers[0]), Ignored);
    return {};
  }
  if (!Owners)
    return {};
  if (entry.Event == OwnershipEvent::Peer)
    Owners->peerChanged(entry.Text, flag, entry.Numbers[1] != 0, now);
  if (entry.Event == OwnershipEvent::CompleteSince)
    Owners->setCompleteSince(base::TimePoint{base::Duration(entry.Numbers[0])},
                             now);
  if (entry.Event != OwnershipEvent::Verdict)
    return {};
  return KeyOwnership::outcomeOf(Owners->verdictAfter(flag, entry.Text, now));
}

std::string_view IdempotencyPlayer::eventName(uint8_t event) const {
  if (event >= OwnershipEvent::OwnerStart)
    return base::nameOf(OwnerEventNames,
                        static_cast<OwnershipEvent::Value>(event));
  return base::nameOf(EventNames, static_cast<IdempotencyEvent::Value>(event));
}

} // namespace radishcross::calls
