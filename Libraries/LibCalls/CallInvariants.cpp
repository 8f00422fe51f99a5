#include <LibCalls/CallInvariants.h>

#include <map>
#include <set>

namespace radishcross::calls {

namespace {

using Kind = CallEvent::Kind;
using Found = std::optional<Violation>;

Found answersAreCompleteAndMatch(CallEvents events) {
  for (size_t n = 0; n < events.size(); ++n) {
    const auto &it = events[n];
    if (it.What == Kind::Truncated)
      return Violation{n, it.Call + " got a truncated answer"};
    if (it.What == Kind::Answered && it.Other != it.Call)
      return Violation{n, it.Call + " got the answer of " + it.Other};
  }
  return std::nullopt;
}

/// Checks both orders: the run before the report and after it.
Found reportedNotRunNeverRan(CallEvents events) {
  std::set<std::string> ran;
  std::set<std::string> reported;
  for (size_t n = 0; n < events.size(); ++n) {
    const auto &it = events[n];
    if (it.What == Kind::Ran)
      ran.insert(it.Call);
    else if (it.What == Kind::ReportedNotRun)
      reported.insert(it.Call);
    else
      continue;
    if (ran.contains(it.Call) && reported.contains(it.Call))
      return Violation{n, it.Call + " was reported as not run but ran"};
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

Found leavingTargetGetsNoCalls(CallEvents events) {
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
      return Violation{n, it.Target + " is leaving but got call " + it.Call};
  }
  return std::nullopt;
}

Found plannedStopAbortsNothing(CallEvents events) {
  std::set<std::string> stopping;
  for (size_t n = 0; n < events.size(); ++n) {
    const auto &it = events[n];
    if (it.What == Kind::StopStarted)
      stopping.insert(it.Target);
    if (it.What == Kind::Aborted && stopping.contains(it.Target))
      return Violation{n, it.Call + " was aborted by the planned stop of " +
                              it.Target};
  }
  return std::nullopt;
}

constexpr CallInvariant Invariants[] = {
    {"answers are complete and match their request",
     answersAreCompleteAndMatch},
    {"calls reported as not run never ran", reportedNotRunNeverRan},
    {"non-idempotent calls run at most once", nonIdempotentRunsOnce},
    {"leaving targets get no new calls", leavingTargetGetsNoCalls},
    {"planned stops abort no calls", plannedStopAbortsNothing},
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
