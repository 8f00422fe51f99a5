#include <LibExplain/Path.h>

#include <algorithm>

namespace radishcross::explain {

namespace {

/// Returns the call of a node whose last line is not here yet.
TakenCall &openCallOf(PathParts &parts, const std::string &node) {
  for (auto &it : parts.Calls)
    if (it.Node == node && !it.End)
      return it;
  parts.Calls.push_back({node, {}, nullptr, false});
  return parts.Calls.back();
}

int64_t timeOf(const TakenCall &call) {
  return call.End ? call.End->TimeUs : call.Attempts.front()->TimeUs;
}

} // namespace

PathParts partsOf(const std::vector<LogLine> &lines) {
  PathParts out;
  for (const auto &it : lines) {
    if (it.Event == "call at gate")
      out.Gates.push_back({&it, false});
    else if (it.Event == "call attempt ended")
      openCallOf(out, it.Node).Attempts.push_back(&it);
    else if (it.Event == "call ended")
      openCallOf(out, it.Node).End = &it;
  }
  // An id that came twice was taken twice.
  std::stable_sort(out.Calls.begin(), out.Calls.end(),
                   [](const TakenCall &a, const TakenCall &b) {
                     return timeOf(a) < timeOf(b);
                   });
  return out;
}

GateVisit *PathParts::gateOf(const std::string &node,
                             const std::string &target) {
  for (auto &it : Gates)
    if (!it.IsPlaced && it.Line->Node == node &&
        it.Line->field("target") == target)
      return &it;
  return nullptr;
}

TakenCall *PathParts::ownerCallOf(const std::string &node) {
  for (auto &it : Calls)
    if (!it.IsPlaced && it.Node == node && !it.isFromClient())
      return &it;
  return nullptr;
}

} // namespace radishcross::explain
