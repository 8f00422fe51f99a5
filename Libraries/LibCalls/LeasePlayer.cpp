#include <LibCalls/LeasePlayer.h>

#include <LibBase/EnumNames.h>

namespace radishcross::calls {

namespace {

constexpr base::EnumName<LeaseEvent::Value> EventNames[] = {
    {LeaseEvent::Announce, "announce"},
    {LeaseEvent::Tick, "tick"},
    {LeaseEvent::Drain, "drain"},
    {LeaseEvent::DrainAll, "drain-all"},
};

base::TimePoint timeOf(const trace::Entry &entry) {
  return base::TimePoint{base::Duration(entry.AtMicroseconds)};
}

} // namespace

trace::Outcome LeasePlayer::play(const trace::Entry &entry) {
  switch (static_cast<LeaseEvent::Value>(entry.Event)) {
  case LeaseEvent::Announce:
    return announce(entry);
  case LeaseEvent::Tick:
    return {Replayed.tick(timeOf(entry)) ? 1 : 0};
  case LeaseEvent::Drain:
    Replayed.drain(entry.Text);
    return {};
  case LeaseEvent::DrainAll:
    Replayed.drainAll();
    return {};
  }
  return {};
}

trace::Outcome LeasePlayer::announce(const trace::Entry &entry) {
  Announcement announcement;
  auto &target = announcement.Target;
  target.TargetId = entry.Text;
  target.Epoch = static_cast<uint64_t>(entry.Numbers[0]);
  target.State = static_cast<fleet::TargetState>(entry.Numbers[1]);
  target.Slots = static_cast<uint32_t>(entry.Numbers[2]);
  target.Connections = static_cast<uint32_t>(entry.Numbers[3]);
  target.LoadPermille = static_cast<uint32_t>(entry.Numbers[4]);
  base::LastReason reason;
  const auto out = Replayed.announce(announcement, timeOf(entry), reason);
  if (!out)
    return {0, static_cast<int64_t>(reason.code())};
  return {static_cast<int64_t>(out->Epoch), 0};
}

std::string_view LeasePlayer::eventName(uint8_t event) const {
  return base::nameOf(EventNames, static_cast<LeaseEvent::Value>(event));
}

} // namespace radishcross::calls
