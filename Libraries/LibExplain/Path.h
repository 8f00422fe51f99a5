#pragma once

#include <LibExplain/LogLine.h>

#include <string>
#include <vector>

namespace radishcross::explain {

/// The lines of one node that took a request: from a client, or from another
/// node as the owner of its idempotency key.
struct ReceivedCall {
  std::string Node;
  std::vector<const LogLine *> Attempts;
  const LogLine *End = nullptr; ///< "call ended"; null: it is not here.
  bool IsPlaced = false;

  bool isFromClient() const { return !End || End->field("from") != "node"; }
};

/// One visit of a request at the gate of a target's node.
struct GateVisit {
  const LogLine *Line = nullptr;
  bool IsPlaced = false;
};

/// The lines of one request by what they are of.
struct GroupedLines {
  std::vector<ReceivedCall> Calls;
  std::vector<GateVisit> Gates;

  /// Returns the call's visit of a target that is not placed yet, or null.
  GateVisit *findGateVisit(const std::string &node, const std::string &target);

  /// Returns what a key's owner did that is not placed yet, or null.
  ReceivedCall *findOwnerCall(const std::string &node);
};

/// Sorts lines of one request, of one node in the order they were written.
GroupedLines groupLines(const std::vector<LogLine> &lines);

} // namespace radishcross::explain
