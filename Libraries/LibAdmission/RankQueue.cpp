#include <LibAdmission/RankQueue.h>

#include <algorithm>

namespace radishcross::admission {

namespace {

using config::Rank;

size_t reservedPlaces(uint32_t queueLength, uint32_t floorPercent) {
  return (static_cast<size_t>(queueLength) * floorPercent + 99) / 100;
}

/// Nested calls go first, then the earliest latest start.
bool goesBefore(const WaitingCall &a, const WaitingCall &b) {
  if (a.IsNested != b.IsNested)
    return a.IsNested;
  return a.LatestStart < b.LatestStart;
}

} // namespace

void RankQueue::setLimits(const config::ServiceLimits &limits) {
  Limits = limits;
  lineFor(Rank::Standard).ReservedPlaces =
      reservedPlaces(limits.QueueLength, limits.StandardFloorPercent);
  lineFor(Rank::Background).ReservedPlaces =
      reservedPlaces(limits.QueueLength, limits.BackgroundFloorPercent);
}

std::optional<WaitingCall> RankQueue::push(const WaitingCall &call) {
  if (Limits.QueueLength == 0)
    return call;
  auto &line = lineFor(call.CallRank);
  if (line.Calls.empty())
    line.NonEmptySince = call.ArrivedAt;
  line.Calls.push_back(call);
  if (++Count <= Limits.QueueLength)
    return std::nullopt;
  const auto overfull =
      std::find_if(Lines.rbegin(), Lines.rend(), [](const RankLine &it) {
        return it.Calls.size() > it.ReservedPlaces;
      });
  auto &shed = overfull == Lines.rend() ? line : *overfull;
  const auto out = shed.Calls.front();
  shed.Calls.pop_front();
  --Count;
  return out;
}

const WaitingCall *RankQueue::next(Rank rank, base::TimePoint now) const {
  const auto &line = Lines[static_cast<size_t>(rank)];
  if (line.Calls.empty())
    return nullptr;
  const auto first =
      std::min_element(line.Calls.begin(), line.Calls.end(), goesBefore);
  if (first->IsNested ||
      line.Calls.front().LatencyObjective > base::Duration::zero())
    return &*first;
  const bool newestFirst = overloaded(line, now);
  return newestFirst ? &line.Calls.back() : &line.Calls.front();
}

std::optional<WaitingCall> RankQueue::pop(Rank rank, base::TimePoint now) {
  const auto *call = next(rank, now);
  if (!call)
    return std::nullopt;
  const auto out = *call;
  remove(out.Call);
  return out;
}

bool RankQueue::remove(Ticket call) {
  for (auto &line : Lines) {
    const auto it = std::find_if(
        line.Calls.begin(), line.Calls.end(),
        [call](const WaitingCall &held) { return held.Call == call; });
    if (it == line.Calls.end())
      continue;
    line.Calls.erase(it);
    --Count;
    return true;
  }
  return false;
}

std::vector<WaitingCall>
RankQueue::expire(const std::array<base::Duration, config::RankCount> &patience,
                  base::TimePoint now) {
  std::vector<WaitingCall> out;
  if (Count == 0)
    return out;
  for (size_t rank = 0; rank < Lines.size(); ++rank) {
    auto &line = Lines[rank];
    const bool isOverloaded = overloaded(line, now);
    std::erase_if(line.Calls, [&](const WaitingCall &it) {
      const bool bounded = it.LatencyObjective > base::Duration::zero();
      const bool isExpired =
          now >= it.LatestStart ||
          (isOverloaded && !bounded && now - it.ArrivedAt >= patience[rank]);
      if (isExpired)
        out.push_back(it);
      return isExpired;
    });
  }
  Count -= out.size();
  return out;
}

std::vector<WaitingCall> RankQueue::clear() {
  std::vector<WaitingCall> out;
  for (auto &line : Lines) {
    out.insert(out.end(), line.Calls.begin(), line.Calls.end());
    line.Calls.clear();
  }
  Count = 0;
  return out;
}

RankFlags RankQueue::waiting() const {
  RankFlags out{};
  for (size_t it = 0; it < Lines.size(); ++it)
    out[it] = !Lines[it].Calls.empty();
  return out;
}

template <typename Visit>
void RankQueue::visitBefore(const WaitingCall &call, Visit visit) const {
  for (size_t rank = 0; rank <= static_cast<size_t>(call.CallRank); ++rank)
    for (const auto &it : Lines[rank].Calls)
      if (it.CallRank < call.CallRank || !goesBefore(call, it))
        visit(it);
}

size_t RankQueue::callsBefore(const WaitingCall &call) const {
  size_t out = 0;
  visitBefore(call, [&out](const WaitingCall &) { ++out; });
  return out;
}

base::Duration RankQueue::workBefore(const WaitingCall &call) const {
  base::Duration out{};
  visitBefore(call, [&out](const WaitingCall &it) { out += it.Expected; });
  return out;
}

bool RankQueue::overloaded(const RankLine &line, base::TimePoint now) const {
  return !line.Calls.empty() && now - line.NonEmptySince >= OverloadAfter;
}

} // namespace radishcross::admission
