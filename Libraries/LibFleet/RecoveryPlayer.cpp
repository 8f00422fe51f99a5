#include <LibBase/EnumNames.h>
#include <LibFleet/RecoveryPlayer.h>

namespace radishcross::fleet {

namespace {

constexpr base::EnumName<RecoveryPlayer::Event> EventNames[] = {
    {RecoveryPlayer::SetUp, "set-up"},
    {RecoveryPlayer::LogRead, "log-read"},
    {RecoveryPlayer::Reevaluate, "look"},
};

trace::Entry entryAt(RecoveryPlayer::Event event, base::TimePoint now) {
  trace::Entry entry;
  entry.AtMicroseconds = now.time_since_epoch().count();
  entry.Source = trace::Module::Recovery;
  entry.Event = event;
  return entry;
}

int64_t numberOf(const std::optional<log::Offset> &offset) {
  return offset ? static_cast<int64_t>(*offset) : -1;
}

std::optional<log::Offset> offsetOf(int64_t number) {
  if (number < 0)
    return std::nullopt;
  return static_cast<log::Offset>(number);
}

} // namespace

trace::Entry RecoveryPlayer::setUp(const RecoverySettings &settings,
                                   base::TimePoint now) {
  auto entry = entryAt(SetUp, now);
  entry.Numbers = {settings.JoinGrace.count(), settings.HasSeeds ? 1 : 0};
  return entry;
}

trace::Entry RecoveryPlayer::logRead(bool reached, log::Offset first,
                                     log::Offset end, base::TimePoint now) {
  auto entry = entryAt(LogRead, now);
  entry.Numbers = {reached ? 1 : 0, static_cast<int64_t>(first),
                   static_cast<int64_t>(end)};
  return entry;
}

trace::Entry RecoveryPlayer::reevaluate(const RecoveryView &view,
                                        base::TimePoint now) {
  auto entry = entryAt(Reevaluate, now);
  entry.Numbers = {static_cast<int64_t>(view.InForce),
                   numberOf(view.ServedLocally), numberOf(view.ServedAnywhere)};
  return entry;
}

trace::Outcome RecoveryPlayer::outcomeOf(const Recovery &recovery) {
  return {recovery.isServing() ? 1 : 0, recovery.readsLog() ? 1 : 0};
}

trace::Outcome RecoveryPlayer::play(const trace::Entry &entry) {
  const base::TimePoint now{base::Duration(entry.AtMicroseconds)};
  const auto &numbers = entry.Numbers;
  if (entry.Event == SetUp) {
    base::LastReason reason;
    Replayed = Recovery::create({base::Duration(numbers[0]), numbers[1] != 0},
                                now, reason);
  }
  if (!Replayed)
    return {};
  if (entry.Event == LogRead)
    Replayed->logRead(numbers[0] != 0, static_cast<log::Offset>(numbers[1]),
                      static_cast<log::Offset>(numbers[2]));
  if (entry.Event == Reevaluate)
    Replayed->reevaluate({static_cast<log::Offset>(numbers[0]),
                          offsetOf(numbers[1]), offsetOf(numbers[2])},
                         now);
  return outcomeOf(*Replayed);
}

std::string_view RecoveryPlayer::eventName(uint8_t event) const {
  return base::nameOf(EventNames, static_cast<Event>(event));
}

} // namespace radishcross::fleet
