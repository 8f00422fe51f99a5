#pragma once

#include <LibBase/LastReason.h>
#include <LibTrace/Entry.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace radishcross::trace {

/// Version of the trace format that is written, and the newest one readable.
constexpr uint32_t TraceFormat = 1;

/// A recording of the decisions of one node.
struct Trace {
  std::string Node;
  uint64_t Seed = 0; ///< Seed of the node's random generator.
  std::string
      About; ///< What was recorded and what a replay must show; may be empty.
  std::vector<Entry> Entries;
  /// Modules with entries omitted because they could not be replayed.
  std::vector<Module> LeftOut;
};

/// Returns the trace as JSON lines: a header {"radishcross_trace", "node",
/// "seed", "about", "left_out"}, one line for each entry {"at", "module",
/// "event", "in", "text" or "hex", "out"}, and a closing line {"entries",
/// "checksum"} with the xxHash of all lines before it. Trailing zeros of "in"
/// and "out" are omitted.
std::string writeTrace(const Trace &trace);

/// Parses the output of writeTrace(). Fails with TraceTooNew, TraceTruncated,
/// TraceAltered or TraceMalformed; the reason gives the line number.
std::optional<Trace> readTrace(std::string_view text, base::LastReason &reason);

} // namespace radishcross::trace
