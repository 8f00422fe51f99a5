#include <LibExplain/LogCollection.h>

#include <algorithm>
#include <utility>

namespace radishcross::explain {

namespace {

/// Lines write this much of an id.
constexpr size_t LongestId = 64;

constexpr std::string_view LifeEvents[] = {
    "node started", "node stopped", "recovered",      "drain started",
    "drain ended",  "store lost",   "store regained", "target left",
};

bool isOfLife(std::string_view event) {
  return std::find(std::begin(LifeEvents), std::end(LifeEvents), event) !=
         std::end(LifeEvents);
}

bool isOfRequest(std::string_view event) {
  return event == "call ended" || event == "call attempt ended" ||
         event == "call at gate";
}

template <typename Value> void keep(std::deque<Value> &list, Value value) {
  list.push_back(std::move(value));
  if (list.size() > LogCollection::MostKept)
    list.pop_front();
}

} // namespace

LogCollection::LogCollection(std::string requestId)
    : RequestId(std::move(requestId)) {
  RequestId.resize(std::min(RequestId.size(), LongestId));
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
  if (!isOfRequest(line->Event))
    return takeBelief(node, *line);
  if (line->field("request") != RequestId)
    return;
  if (OfRequest.size() < MostRequestLines)
    OfRequest.push_back(std::move(*line));
  else
    ++Omitted;
}

void LogCollection::takeBelief(NodeLines &node, const LogLine &line) {
  if (line.Event == "log lines dropped")
    node.Dropped += static_cast<uint64_t>(line.number("lines"));
  else if (line.Event == "version in force")
    keep(node.Versions, InForce{line.TimeUs, line.field("configuration"),
                                line.field("version")});
  else if (isOfLife(line.Event))
    keep(node.Life, line);
}

const InForce *LogCollection::versionAt(const std::string &node,
                                        std::string_view configuration,
                                        int64_t atUs) const {
  auto found = Nodes.find(node);
  if (found == Nodes.end())
    return nullptr;
  const InForce *out = nullptr;
  for (const auto &it : found->second.Versions)
    if (it.Configuration == configuration && it.SinceUs <= atUs)
      out = &it;
  return out;
}

} // namespace radishcross::explain
