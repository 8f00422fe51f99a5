#include <LibAdmission/AdmissionPlayer.h>

#include <LibBase/EnumNames.h>

namespace radishcross::admission {

namespace {

constexpr base::EnumName<AdmissionEvent::Value> EventNames[] = {
    {AdmissionEvent::Configure, "configure"},
    {AdmissionEvent::Arrive, "arrive"},
    {AdmissionEvent::Ended, "ended"},
    {AdmissionEvent::Abandoned, "abandoned"},
    {AdmissionEvent::Tick, "tick"},
    {AdmissionEvent::Signalled, "signalled"},
    {AdmissionEvent::ProcessChanged, "process-changed"},
    {AdmissionEvent::Reported, "reported"},
};

TargetGateSettings settingsOf(const trace::Inputs &numbers) {
  const auto number = [&numbers](size_t index) {
    return static_cast<uint32_t>(numbers[index]);
  };
  TargetGateSettings out;
  out.Slots = number(0);
  out.Connections = number(1);
  out.State = static_cast<fleet::TargetState>(numbers[2]);
  out.Limits.QueueLength = number(3);
  out.Limits.StandardFloorPercent = number(4);
  out.Limits.BackgroundFloorPercent = number(5);
  return out;
}

} // namespace

trace::Outcome AdmissionPlayer::play(const trace::Entry &entry) {
  auto &gate = Gates[entry.Text];
  if (!gate)
    gate = std::make_unique<TargetGate>(entry.Text, Ignored);
  const base::TimePoint now{base::Duration(entry.AtMicroseconds)};
  const auto ticket = static_cast<Ticket>(entry.Numbers[0]);
  switch (static_cast<AdmissionEvent::Value>(entry.Event)) {
  case AdmissionEvent::Configure:
    gate->configure(settingsOf(entry.Numbers), now);
    return {};
  case AdmissionEvent::Arrive: {
    const auto out = gate->arrive(
        ticket, static_cast<config::Rank>(entry.Numbers[1]),
        base::Duration(entry.Numbers[2]), 0, now,
        base::Duration(entry.Numbers[3]), (entry.Numbers[4] & 1) != 0,
        base::Duration(entry.Numbers[5]), (entry.Numbers[4] & 2) != 0);
    return {static_cast<int64_t>(out.What), static_cast<int64_t>(out.Code),
            out.RetryAfter.count()};
  }
  case AdmissionEvent::Ended:
    return gate->summaryOf(
        gate->ended(ticket, static_cast<calls::AttemptEnd>(entry.Numbers[1]),
                    now, static_cast<balance::RefusalKind>(entry.Numbers[2]),
                    base::Duration(entry.Numbers[3]),
                    entry.Numbers[4] > 0
                        ? std::optional(static_cast<uint32_t>(entry.Numbers[4]))
                        : std::nullopt));
  case AdmissionEvent::Abandoned:
    gate->abandoned(ticket, now);
    return {};
  case AdmissionEvent::Tick:
    return gate->summaryOf(gate->tick(now));
  case AdmissionEvent::Signalled:
    return {
        gate->signalled(
            ticket, balance::signalsOf(entry.Numbers[1], entry.Numbers[2]), now)
            ? 1
            : 0};
  case AdmissionEvent::ProcessChanged:
    gate->processChanged(now);
    return {};
  case AdmissionEvent::Reported:
    gate->reported(entry.Numbers[0], now);
    return {};
  }
  return {};
}

std::string_view AdmissionPlayer::eventName(uint8_t event) const {
  return base::nameOf(EventNames, static_cast<AdmissionEvent::Value>(event));
}

} // namespace radishcross::admission
