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

/// A version that a node put into force.
struct VersionInForce {
  int64_t SinceUs = 0;
  std::string Configuration;
  std::string Version;
};

/// What the lines of one node show, apart from the request itself.
struct NodeLines {
  uint64_t Lines = 0;
  uint64_t Dropped = 0; ///< Sum reported by "log lines dropped".
  int64_t FirstUs = 0;
  int64_t LastUs = 0;
  std::deque<VersionInForce> Versions; ///< In log order.
  std::deque<LogLine>
      LifecycleEvents; ///< Starts, stops, drains, the store, targets.
};

/// Collects the log lines of several nodes and keeps those relevant to one
/// request. Memory is bounded by MaxRequestLines and, for each node, by
/// MaxKeptPerNode.
class LogCollection {
public:
  /// Versions, and lifecycle events, kept of a node; the newest ones are kept.
  static constexpr size_t MaxKeptPerNode = 4096;
  /// Lines kept of the request; more add no information.
  static constexpr size_t MaxRequestLines = 256;

  explicit LogCollection(std::string requestId);

  /// Adds one line; blank lines are ignored.
  void add(std::string_view text);

  const std::string &requestId() const { return RequestId; }
  const std::vector<LogLine> &requestLines() const { return RequestLines; }
  const std::map<std::string, NodeLines> &nodes() const { return Nodes; }
  uint64_t lines() const { return Lines; }
  uint64_t garbled() const { return Garbled; } ///< Truncated or not a log line.
  uint64_t omitted() const {
    return Omitted;
  } ///< Lines beyond MaxRequestLines.

  /// Returns the version of \p configuration in force at \p node at \p atUs, or
  /// null.
  const VersionInForce *versionAt(const std::string &node,
                                  std::string_view configuration,
                                  int64_t atUs) const;

private:
  void recordNodeEvent(NodeLines &node, const LogLine &line);

  std::string RequestId; ///< Truncated as in the log lines.
  std::vector<LogLine> RequestLines;
  std::map<std::string, NodeLines> Nodes;
  uint64_t Lines = 0;
  uint64_t Garbled = 0;
  uint64_t Omitted = 0;
};

} // namespace radishcross::explain
