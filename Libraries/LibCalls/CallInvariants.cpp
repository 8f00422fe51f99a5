#include <LibCalls/CallInvariants.h>

#include <map>
#include <set>

namespace radishcross::calls {

namespace {

using Kind = CallEvent::Kind;
using Found = std::optional<Violation>;

Found wholeAnswerToOwnRequest(CallEvents events) {
  for (size_t n = 0; n < events.size(); ++n) {
    const auto &it = events[n];
    if (it.What == Kind::CutShort)
      return Violation{n, it.Call + " got a part of its answer"};
    if (it.What == Kind::Answered && it.Other != it.Call)
      return Violation{n, it.Call + " got the answer of " + it.Other};
  }
  return std::nullopt;
}

/// Holds whichever comes first, the run or the refusal.
Found notRunWasNotRun(CallEvents events) {
  std::set<std::string> ran;
  std::set<std::string> told;
  for (size_t n = 0; n < events.size(); ++n) {
    const auto &it = events[n];
    if (it.What == Kind::Ran)
      ran.insert(it.Call);
    else if (it.What == Kind::ToldNotRun)
      told.insert(it.Call);
    else
      continue;
    if (ran.contains(it.Call) && told.contains(it.Call))
      return Violation{n, it.Call + " was told as not run and ran"};
  }
  return std::nullopt;
}

Found nonIdempotentRunsOnce(CallEvents events) {
  std::set<std::string> ran;
  for (size_t n = 0; n < events.size(); ++n) {
    const auto &it = events[n];
    if (it.What != Kind::Ran || it.Idempotent)
      continue;
    if (!ran.insert(it.Call).second)
      return Violation{n, it.Call + " ran a second time"};
  }
  return std::nullopt;
}

Found leavingTargetGetsNoWork(CallEvents events) {
  std::map<std::string, base::TimePoint> leaving;
  for (size_t n = 0; n < events.size(); ++n) {
    const auto &it = events[n];
    if (it.What == Kind::Leaving)
      leaving.emplace(it.Target, it.At);
    if (it.What == Kind::Announced)
      leaving.erase(it.Target);
    const auto since = leaving.find(it.Target);
    if (it.What != Kind::Ran || since == leaving.end())
      continue;
    if (it.At - since->second > LeavingGrace)
      return Violation{n, it.Target + " leaves and got " + it.Call};
  }
  return std::nullopt;
}

Found plannedStopCutsNothing(CallEvents events) {
  std::set<std::string> stopping;
  for (size_t n = 0; n < events.size(); ++n) {
    const auto &it = events[n];
    if (it.What == Kind::StopBegun)
      stopping.insert(it.Target);
    if (it.What == Kind::Cut && stopping.contains(it.Target))
      return Violation{n, it.Call + " was cut by the stop of " + it.Target};
  }
  return std::nullopt;
}

constexpr CallInvariant Invariants[] = {
    {"whole answer to the own request", wholeAnswerToOwnRequest},
    {"told not run was not run", notRunWasNotRun},
    {"non-idempotent runs once", nonIdempotentRunsOnce},
    {"leaving target gets no new work", leavingTargetGetsNoWork},
    {"planned stop cuts nothing", plannedStopCutsNothing},
};

} // namespace

std::span<const CallInvariant> callInvariants() { return Invariants; }

std::vector<Violation> checkCalls(CallEvents events) {
  std::vector<Violation> out;
  for (const auto &it : Invariants)
    if (auto found = it.Check(events))
      out.push_back(std::move(*found));
  return out;
}

} // namespace radishcross::calls
