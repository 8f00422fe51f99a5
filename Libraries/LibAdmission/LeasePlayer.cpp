#include <LibAdmission/LeasePlayer.h>

#include <LibBase/EnumNames.h>

namespace radishcross::admission {

namespace {

constexpr base::EnumName<LeaseEvent::Value> EventNames[] = {
    {LeaseEvent::Announce, "announce"},   {LeaseEvent::Tick, "tick"},
    {LeaseEvent::Drain, "drain"},         {LeaseEvent::DrainAll, "drain-all"},
    {LeaseEvent::Heartbeat, "heartbeat"}, {LeaseEvent::Leave, "leave"},
    {LeaseEvent::Leaving, "leaving"},     {LeaseEvent::Restore, "restore"},
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
  case LeaseEvent::Heartbeat:
    return heartbeat(entry);
  case LeaseEvent::Leave:
    return {Replayed.leave(entry.Text, timeOf(entry),
                           static_cast<uint64_t>(entry.Numbers[0]))
                ? 1
                : 0};
  case LeaseEvent::Leaving:
    return {Replayed.leaving(entry.Text,
                             static_cast<uint64_t>(entry.Numbers[0]),
                             timeOf(entry))
                ? 1
                : 0};
  case LeaseEvent::Restore: {
    const auto epoch = static_cast<uint64_t>(entry.Numbers[0]);
    const auto news = Replayed.restore({{entry.Text, epoch}}, timeOf(entry));
    return {static_cast<int64_t>(news)};
  }
  }
  return {};
}

/// Older traces don't contain the lifetime; their nodes are assumed to have
/// used the default.
void LeasePlayer::setLifetime(int64_t microseconds) {
  if (microseconds > 0)
    Replayed.setLifetime(base::Duration(microseconds));
}

trace::Outcome LeasePlayer::announce(const trace::Entry &entry) {
  setLifetime(entry.Numbers[5]);
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

trace::Outcome LeasePlayer::heartbeat(const trace::Entry &entry) {
  setLifetime(entry.Numbers[4]);
  Heartbeat heartbeat;
  base::LastReason reason;
  const auto space = entry.Text.find(' ');
  const auto where = base::parseAddress(entry.Text.substr(0, space), reason);
  if (!where)
    return {static_cast<int64_t>(reason.code())};
  heartbeat.Target.Where = *where;
  heartbeat.Target.TargetId = entry.Text.substr(space + 1);
  heartbeat.Incarnation = static_cast<uint64_t>(entry.Numbers[0]);
  heartbeat.Sequence = static_cast<uint64_t>(entry.Numbers[1]);
  heartbeat.Target.State = static_cast<fleet::TargetState>(entry.Numbers[2]);
  heartbeat.Target.Slots = static_cast<uint32_t>(entry.Numbers[3]);
  if (Replayed.heartbeat(heartbeat, timeOf(entry), reason))
    return {0};
  return {static_cast<int64_t>(reason.code())};
}

std::string_view LeasePlayer::eventName(uint8_t event) const {
  return base::nameOf(EventNames, static_cast<LeaseEvent::Value>(event));
}

} // namespace radishcross::admission
