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

base::TimePoint timeOf(const trace::Entry &entry) {
  return base::TimePoint{base::Duration(entry.AtMicroseconds)};
}

} // namespace

trace::Outcome IdempotencyPlayer::play(const trace::Entry &entry) {
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
    Replayed->leave(entry.Text, static_cast<CallHandle>(entry.Numbers[0]),
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

std::string_view IdempotencyPlayer::eventName(uint8_t event) const {
  return base::nameOf(EventNames, static_cast<IdempotencyEvent::Value>(event));
}

} // namespace radishcross::calls
