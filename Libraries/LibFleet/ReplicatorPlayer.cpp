#include <LibBase/EnumNames.h>
#include <LibBase/Hash.h>
#include <LibFleet/ReplicatorPlayer.h>

#include <sstream>

namespace radishcross::fleet {

namespace {

constexpr base::EnumName<ReplicatorPlayer::Event> EventNames[] = {
    {ReplicatorPlayer::SetUp, "set-up"},
    {ReplicatorPlayer::Next, "next"},
    {ReplicatorPlayer::ReadDone, "read-done"},
    {ReplicatorPlayer::PullDone, "pull-done"},
    {ReplicatorPlayer::RequestRead, "read-soon"},
};

enum Flag : uint8_t { Tails = 1, ReadsToEnd = 2, NeedsState = 4 };

trace::Entry entryAt(ReplicatorPlayer::Event event, base::TimePoint now) {
  trace::Entry entry;
  entry.AtMicroseconds = now.time_since_epoch().count();
  entry.Source = trace::Module::Spreader;
  entry.Event = event;
  return entry;
}

trace::Outcome outcomeOf(const std::vector<ReplicationAction> &actions) {
  trace::Outcome outcome{};
  for (const auto &it : actions) {
    if (it.What == ReplicationAction::Kind::ReadLog) {
      outcome[2] = 1;
      outcome[3] = it.Wait.count();
      continue;
    }
    outcome[0] = static_cast<int64_t>(it.What) + 1;
    outcome[1] = static_cast<int64_t>(base::hash64(it.Peer));
  }
  return outcome;
}

ReplicationView viewOf(const trace::Entry &entry) {
  ReplicationView view;
  view.Held = static_cast<log::Offset>(entry.Numbers[0]);
  view.Tails = (entry.Numbers[1] & Tails) != 0;
  view.ReadsToEnd = (entry.Numbers[1] & ReadsToEnd) != 0;
  view.NeedsState = (entry.Numbers[1] & NeedsState) != 0;
  view.LocalSize = static_cast<uint32_t>(entry.Numbers[2]);
  std::istringstream lines(entry.Text);
  ReplicationSource source;
  while (lines >> source.Held >> source.IsLocal >> source.Id)
    view.Ahead.push_back(source);
  return view;
}

} // namespace

trace::Entry ReplicatorPlayer::setUp(uint64_t seed, base::TimePoint now) {
  auto entry = entryAt(SetUp, now);
  entry.Numbers = {static_cast<int64_t>(seed)};
  return entry;
}

trace::Entry
ReplicatorPlayer::next(const ReplicationView &view,
                       const std::vector<ReplicationAction> &actions,
                       base::TimePoint now) {
  auto entry = entryAt(Next, now);
  int64_t flags = (view.Tails ? Tails : 0) |
                  (view.ReadsToEnd ? ReadsToEnd : 0) |
                  (view.NeedsState ? NeedsState : 0);
  entry.Numbers = {static_cast<int64_t>(view.Held), flags, view.LocalSize};
  std::ostringstream lines;
  for (const auto &it : view.Ahead)
    lines << it.Held << ' ' << it.IsLocal << ' ' << it.Id << '\n';
  entry.Text = lines.str();
  entry.Decided = outcomeOf(actions);
  return entry;
}

trace::Entry ReplicatorPlayer::readDone(bool reached, bool hasRecords,
                                        base::TimePoint now) {
  auto entry = entryAt(ReadDone, now);
  entry.Numbers = {reached ? 1 : 0, hasRecords ? 1 : 0};
  return entry;
}

trace::Entry ReplicatorPlayer::pullDone(const NodeId &peer, PullOutcome outcome,
                                        base::Duration retryAfter,
                                        base::TimePoint now) {
  auto entry = entryAt(PullDone, now);
  entry.Numbers = {static_cast<int64_t>(outcome), retryAfter.count()};
  entry.Text = peer;
  return entry;
}

trace::Entry ReplicatorPlayer::requestRead(base::TimePoint now) {
  return entryAt(RequestRead, now);
}

trace::Outcome ReplicatorPlayer::play(const trace::Entry &entry) {
  const base::TimePoint now{base::Duration(entry.AtMicroseconds)};
  const auto &numbers = entry.Numbers;
  if (entry.Event == SetUp)
    Replayed.emplace(ReplicatorSettings{}, static_cast<uint64_t>(numbers[0]));
  if (!Replayed)
    return {};
  if (entry.Event == Next)
    return outcomeOf(Replayed->next(viewOf(entry), now));
  if (entry.Event == ReadDone)
    Replayed->readDone(numbers[0] != 0, numbers[1] != 0, now);
  if (entry.Event == PullDone)
    Replayed->pullDone(entry.Text, static_cast<PullOutcome>(numbers[0]),
                       base::Duration(numbers[1]), now);
  if (entry.Event == RequestRead)
    Replayed->requestRead();
  return {};
}

std::string_view ReplicatorPlayer::eventName(uint8_t event) const {
  return base::nameOf(EventNames, static_cast<Event>(event));
}

} // namespace radishcross::fleet
