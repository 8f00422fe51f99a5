#include <LibExplain/Explanation.h>

#include <LibExplain/HopText.h>
#include <LibExplain/Path.h>

#include <algorithm>
#include <set>
#include <string_view>
#include <utility>

namespace radishcross::explain {

namespace {

using base::ResultCode;

/// A version in force for less than this counts as just changed: twice the two
/// seconds within which every node must have it.
constexpr int64_t RecentChangeUs = 4'000'000;
/// Lifecycle events of nodes and targets on the path are reported for this long
/// before the end.
constexpr int64_t LifecycleWindowUs = 30'000'000;
constexpr size_t MaxObservations = 16;
constexpr int64_t FirstServerErrorStatus = 500;
constexpr int64_t UsPerMs = 1000;

/// Builds one explanation.
class Builder {
public:
  explicit Builder(const LogCollection &lines)
      : Lines(lines), Groups(groupLines(lines.requestLines())) {}

  Explanation build();

private:
  void placeCall(ReceivedCall &call);
  void placeAttempt(const LogLine &attempt, int64_t &atUs);
  void addHop(const LogLine &line, int64_t atUs, std::string what);
  void addGap(const LogLine &attempt);
  void addVersions(const LogLine &end);
  void addLifecycleEvents();
  void addObservation(std::string text);
  void determineCause();
  void setCauseFromEnd(const LogLine &end);
  void setCauseFromGate(const LogLine &gate);
  bool isOnPath(const LogLine &line) const;

  const LogCollection &Lines;
  GroupedLines Groups;
  Explanation Out;
  std::set<std::string> PathNodes; ///< Nodes on the path.
  std::set<std::string> Targets;   ///< Targets tried.
};

void Builder::addHop(const LogLine &line, int64_t atUs, std::string what) {
  PathNodes.insert(line.Node);
  Out.Hops.push_back({line.Node, atUs, std::move(what)});
}

void Builder::addObservation(std::string text) {
  if (Out.Observations.size() < MaxObservations)
    Out.Observations.push_back(std::move(text));
}

void Builder::addGap(const LogLine &attempt) {
  const auto &node = attempt.field("to");
  auto it = Lines.nodes().find(node);
  if (node.empty() || it == Lines.nodes().end())
    return;
  if (attempt.field("end") == "not-sent")
    return;
  std::string text = node + " has no line of attempt " +
                     attempt.field("attempt") +
                     ": it did not arrive there, or it went well there and is "
                     "not of the sample, or its line was lost";
  if (it->second.Dropped > 0)
    text += " (" + std::to_string(it->second.Dropped) + " lines were dropped)";
  Out.Gaps.push_back(std::move(text));
}

/// Adds the hops of an attempt that started at \p atUs, and advances \p atUs to
/// its end. Computed from durations, as the lines of attempts are written only
/// when the call has ended.
void Builder::placeAttempt(const LogLine &attempt, int64_t &atUs) {
  addHop(attempt, atUs, attemptText(attempt));
  atUs += attempt.number("took_ms") * UsPerMs;
  const auto &node = attempt.field("to");
  const auto &target = attempt.field("target");
  if (!node.empty())
    PathNodes.insert(node);
  if (!target.empty())
    Targets.insert(target);
  if (attempt.field("as") == "owner") {
    if (auto *owner = Groups.findOwnerCall(node))
      placeCall(*owner);
    else
      addGap(attempt);
  } else if (auto *gate = Groups.findGateVisit(node, target)) {
    gate->IsPlaced = true;
    addHop(*gate->Line, gate->Line->TimeUs, gateText(*gate->Line));
  } else {
    addGap(attempt);
  }
  addHop(attempt, atUs, attemptEndText(attempt));
}

void Builder::placeCall(ReceivedCall &call) {
  call.IsPlaced = true;
  const auto &any = call.End ? *call.End : *call.Attempts.front();
  int64_t at = any.TimeUs - any.number("took_ms") * UsPerMs;
  if (call.End)
    addHop(*call.End, at, receivedText(*call.End));
  for (const auto *it : call.Attempts)
    placeAttempt(*it, at);
  if (call.End)
    addHop(*call.End, call.End->TimeUs, endText(*call.End));
  else
    Out.Gaps.push_back(call.Node + " has no line of the call's end");
}

/// Adds how long the node's version had been in force, and which nodes had a
/// different one.
void Builder::addVersions(const LogLine &end) {
  auto held = end.field("held");
  size_t colon = held.find(':');
  if (colon == std::string::npos)
    return;
  const auto &route = end.field("route");
  auto name =
      route.empty() ? held.substr(0, colon) : route.substr(0, route.find('/'));
  int64_t began = end.TimeUs - end.number("took_ms") * UsPerMs;
  const auto *own = Lines.versionAt(end.Node, name, began);
  if (!own)
    return;
  int64_t age = began - own->SinceUs;
  addObservation(end.Node + " had version " + own->Version + " of " + name +
                 " in force for " + std::to_string(age / UsPerMs) + " ms");
  for (const auto &[node, kept] : Lines.nodes()) {
    const auto *other = Lines.versionAt(node, name, began);
    if (node == end.Node || !other || other->Version == own->Version)
      continue;
    std::string text = node;
    text.append(" had version ").append(other->Version);
    text.append(" of ").append(name).append(" in force");
    addObservation(std::move(text));
  }
  bool isRoutingFailure =
      Out.Cause == ResultCode::NoRoute || Out.Cause == ResultCode::NoTarget;
  if (isRoutingFailure && age < RecentChangeUs)
    Out.CauseText += "; version " + own->Version + " of " + name +
                     " had been in force at " + end.Node + " for " +
                     std::to_string(age / UsPerMs) + " ms";
}

bool Builder::isOnPath(const LogLine &line) const {
  if (line.Event == "target left")
    return Targets.contains(line.field("target"));
  return PathNodes.contains(line.Node);
}

void Builder::addLifecycleEvents() {
  if (Out.Hops.empty())
    return;
  int64_t last = Out.Hops.front().AtUs;
  for (const auto &it : Out.Hops)
    last = std::max(last, it.AtUs);
  for (const auto &[name, node] : Lines.nodes())
    for (const auto &it : node.LifecycleEvents) {
      if (!isOnPath(it) || it.TimeUs > last ||
          it.TimeUs < last - LifecycleWindowUs)
        continue;
      std::string what = name + ": " + it.Event;
      if (it.Event == "target left")
        what += " (" + it.field("target") + ")";
      if (!it.field("topic").empty())
        what += " (" + it.field("topic") + ")";
      addObservation(what + ", " +
                     std::to_string((last - it.TimeUs) / UsPerMs) +
                     " ms before the end");
    }
}

void Builder::setCauseFromEnd(const LogLine &end) {
  int64_t status = end.number("status");
  bool isAnswered = end.field("outcome") == "answered";
  int64_t code = end.number("code");
  if (isAnswered && status >= FirstServerErrorStatus)
    code = static_cast<int64_t>(ResultCode::TargetFailed);
  Out.Cause = static_cast<ResultCode>(code);
  Out.CauseText =
      codeText(code) + ": " + std::string(base::describe(Out.Cause).Meaning);
  if (isAnswered)
    Out.CauseText += " Status " + std::to_string(status) + " of target " +
                     end.field("target");
  else
    Out.CauseText += " Told by " + end.field("told_by");
  auto stop = stopText(end);
  if (!stop.empty())
    Out.CauseText += "; " + stop;
  addVersions(end);
}

void Builder::setCauseFromGate(const LogLine &gate) {
  Out.Cause = static_cast<ResultCode>(gate.number("code"));
  Out.CauseText = codeText(gate.number("code")) + ": " +
                  std::string(base::describe(Out.Cause).Meaning) +
                  " At the gate of " + gate.field("target") +
                  "; the client's node has no line of it here, so it may have "
                  "been answered by another target";
}

void Builder::determineCause() {
  const LogLine *end = nullptr;
  for (const auto &it : Groups.Calls)
    if (it.End && it.isFromClient())
      end = it.End;
  for (const auto &it : Groups.Calls)
    if (it.End && !end)
      end = it.End;
  if (end)
    return setCauseFromEnd(*end);
  if (!Groups.Gates.empty())
    return setCauseFromGate(*Groups.Gates.back().Line);
  auto notFound = static_cast<int64_t>(ResultCode::NotFound);
  if (Groups.Calls.empty()) {
    Out.CauseText = codeText(notFound) +
                    ": no line is of this request; it went well and is not of "
                    "the sample, or its node's lines are not here";
    return;
  }
  Out.CauseText =
      codeText(notFound) + ": the line of the call's end is not here";
}

Explanation Builder::build() {
  Out.RequestId = Lines.requestId();
  Out.Lines = Lines.lines();
  Out.Garbled = Lines.garbled();
  Out.Omitted = Lines.omitted();
  for (auto &it : Groups.Calls)
    if (!it.IsPlaced && it.isFromClient())
      placeCall(it);
  for (auto &it : Groups.Calls)
    if (!it.IsPlaced)
      placeCall(it);
  for (auto &it : Groups.Gates)
    if (!it.IsPlaced)
      addHop(*it.Line, it.Line->TimeUs,
             gateText(*it.Line) + " (by no attempt that is here)");
  determineCause();
  addLifecycleEvents();
  for (const auto &it : PathNodes)
    if (!Lines.nodes().contains(it))
      Out.MissingNodes.push_back(it);
  return std::move(Out);
}

} // namespace

Explanation explain(const LogCollection &lines) {
  return Builder(lines).build();
}

} // namespace radishcross::explain
