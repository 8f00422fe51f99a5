#include <LibExplain/Path.h>

#include <algorithm>

namespace radishcross::explain {

namespace {

/// Returns the call of \p node that has no "call ended" line yet, adding one if
/// necessary.
ReceivedCall &findOrAddOpenCall(GroupedLines &groups, const std::string &node) {
  for (auto &it : groups.Calls)
    if (it.Node == node && !it.End)
      return it;
  groups.Calls.push_back({node, {}, nullptr, false});
  return groups.Calls.back();
}

int64_t timeOf(const ReceivedCall &call) {
  return call.End ? call.End->TimeUs : call.Attempts.front()->TimeUs;
}

} // namespace

GroupedLines groupLines(const std::vector<LogLine> &lines) {
  GroupedLines out;
  for (const auto &it : lines) {
    if (it.Event == "call at gate")
      out.Gates.push_back({&it, false});
    else if (it.Event == "call attempt ended")
      findOrAddOpenCall(out, it.Node).Attempts.push_back(&it);
    else if (it.Event == "call ended")
      findOrAddOpenCall(out, it.Node).End = &it;
  }
  // A request id that was received twice has two calls.
  std::stable_sort(out.Calls.begin(), out.Calls.end(),
                   [](const ReceivedCall &a, const ReceivedCall &b) {
                     return timeOf(a) < timeOf(b);
                   });
  return out;
}

GateVisit *GroupedLines::findGateVisit(const std::string &node,
                                       const std::string &target) {
  for (auto &it : Gates)
    if (!it.IsPlaced && it.Line->Node == node &&
        it.Line->field("target") == target)
      return &it;
  return nullptr;
}

ReceivedCall *GroupedLines::findOwnerCall(const std::string &node) {
  for (auto &it : Calls)
    if (!it.IsPlaced && it.Node == node && !it.isFromClient())
      return &it;
  return nullptr;
}

} // namespace radishcross::explain
