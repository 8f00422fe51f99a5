#pragma once

#include <LibExplain/LogLine.h>

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace radishcross::explain {

/// A version that a node put in force.
struct VersionInForce {
  int64_t SinceUs = 0;
  std::string Configuration;
  std::string Version;
};

/// What the lines of one node hold beside the request's.
struct NodeLines {
  uint64_t Lines = 0;
  uint64_t Dropped = 0; ///< As "log lines dropped" tells.
  int64_t FirstUs = 0;
  int64_t LastUs = 0;
  std::deque<VersionInForce> Versions; ///< In the order of the lines.
  std::deque<LogLine>
      LifecycleEvents; ///< Starts, stops, drains, the store, targets.
};

/// Takes the lines of several nodes and keeps those that may explain one
/// request. Memory is bounded by the request's own lines and by MaxKeptPerNode
/// for each node.
class LogCollection {
public:
  /// Of a node's versions and of its lines about its life, the newest.
  static constexpr size_t MaxKeptPerNode = 4096;
  /// Lines of one request; more say nothing new.
  static constexpr size_t MaxRequestLines = 256;

  explicit LogCollection(std::string requestId);

  /// Takes one line; empty ones are passed over.
  void add(std::string_view text);

  const std::string &requestId() const { return RequestId; }
  const std::vector<LogLine> &requestLines() const { return RequestLines; }
  const std::map<std::string, NodeLines> &nodes() const { return Nodes; }
  uint64_t lines() const { return Lines; }
  uint64_t garbled() const { return Garbled; } ///< Cut, or none of a node.
  uint64_t omitted() const { return Omitted; } ///< Beyond MaxRequestLines.

  /// Returns what \p node had in force of a configuration at a time, or null.
  const VersionInForce *versionAt(const std::string &node,
                                  std::string_view configuration,
                                  int64_t atUs) const;

private:
  void recordNodeEvent(NodeLines &node, const LogLine &line);

  std::string RequestId; ///< As the lines write it.
  std::vector<LogLine> RequestLines;
  std::map<std::string, NodeLines> Nodes;
  uint64_t Lines = 0;
  uint64_t Garbled = 0;
  uint64_t Omitted = 0;
};

} // namespace radishcross::explain
