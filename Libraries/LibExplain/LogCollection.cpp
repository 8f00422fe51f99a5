#include <LibExplain/LogCollection.h>

#include <algorithm>
#include <utility>

namespace radishcross::explain {

namespace {

/// Log lines truncate ids to this length.
constexpr size_t MaxIdBytes = 64;

constexpr std::string_view LifecycleEventNames[] = {
    "node started", "node stopped", "recovered",      "drain started",
    "drain ended",  "store lost",   "store regained", "target left",
};

bool isLifecycleEvent(std::string_view event) {
  return std::find(std::begin(LifecycleEventNames),
                   std::end(LifecycleEventNames),
                   event) != std::end(LifecycleEventNames);
}

bool isRequestEvent(std::string_view event) {
  return event == "call ended" || event == "call attempt ended" ||
         event == "call at gate";
}

template <typename Value>
void appendBounded(std::deque<Value> &list, Value value) {
  list.push_back(std::move(value));
  if (list.size() > LogCollection::MaxKeptPerNode)
    list.pop_front();
}

} // namespace

LogCollection::LogCollection(std::string requestId)
    : RequestId(std::move(requestId)) {
  RequestId.resize(std::min(RequestId.size(), MaxIdBytes));
}

void LogCollection::add(std::string_view text) {
  if (text.find_first_not_of(" \t\r") == std::string_view::npos)
    return;
  ++Lines;
  auto line = parseLogLine(text);
  if (!line) {
    ++Garbled;
    return;
  }
  auto &node = Nodes[line->Node];
  node.FirstUs =
      node.Lines == 0 ? line->TimeUs : std::min(node.FirstUs, line->TimeUs);
  node.LastUs = std::max(node.LastUs, line->TimeUs);
  ++node.Lines;
  if (!isRequestEvent(line->Event))
    return recordNodeEvent(node, *line);
  if (line->field("request") != RequestId)
    return;
  if (RequestLines.size() < MaxRequestLines)
    RequestLines.push_back(std::move(*line));
  else
    ++Omitted;
}

void LogCollection::recordNodeEvent(NodeLines &node, const LogLine &line) {
  if (line.Event == "log lines dropped")
    node.Dropped += static_cast<uint64_t>(line.number("lines"));
  else if (line.Event == "version in force")
    appendBounded(node.Versions,
                  VersionInForce{line.TimeUs, line.field("configuration"),
                                 line.field("version")});
  else if (isLifecycleEvent(line.Event))
    appendBounded(node.LifecycleEvents, line);
}

const VersionInForce *LogCollection::versionAt(const std::string &node,
                                               std::string_view configuration,
                                               int64_t atUs) const {
  auto found = Nodes.find(node);
  if (found == Nodes.end())
    return nullptr;
  const VersionInForce *out = nullptr;
  for (const auto &it : found->second.Versions)
    if (it.Configuration == configuration && it.SinceUs <= atUs)
      out = &it;
  return out;
}

} // namespace radishcross::explain
