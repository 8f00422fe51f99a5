#pragma once

#include <LibExplain/LogLine.h>

#include <string>
#include <vector>

namespace radishcross::explain {

/// The lines of one node that received a request: from a client, or from
/// another node as the owner of its idempotency key.
struct ReceivedCall {
  std::string Node;
  std::vector<const LogLine *> Attempts;
  const LogLine *End = nullptr; ///< The "call ended" line; null if missing.
  bool IsPlaced = false;

  bool isFromClient() const { return !End || End->field("from") != "node"; }
};

/// One arrival of a request at the admission gate of a target's node.
struct GateVisit {
  const LogLine *Line = nullptr;
  bool IsPlaced = false;
};

/// The lines of one request, grouped by call and gate.
struct GroupedLines {
  std::vector<ReceivedCall> Calls;
  std::vector<GateVisit> Gates;

  /// Returns the first unplaced visit to \p target at \p node, or null.
  GateVisit *findGateVisit(const std::string &node, const std::string &target);

  /// Returns the first unplaced call that \p node received as the owner of an
  /// idempotency key, or null.
  ReceivedCall *findOwnerCall(const std::string &node);
};

/// Groups the lines of one request. The lines of each node must be in the order
/// in which they were written.
GroupedLines groupLines(const std::vector<LogLine> &lines);

} // namespace radishcross::explain
