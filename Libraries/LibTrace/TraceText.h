#pragma once

#include <LibBase/LastReason.h>
#include <LibTrace/Entry.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace radishcross::trace {

/// The newest format that this program writes and reads.
constexpr uint32_t TraceFormat = 1;

/// A recording of one node.
struct Trace {
  std::string Node;
  uint64_t Seed = 0; ///< Of the node's random generator.
  std::string About; ///< What was recorded and what must hold; may be empty.
  std::vector<Entry> Entries;
  /// Modules of which entries are missing, since they could not be replayed.
  std::vector<Module> LeftOut;
};

/// Returns the trace as JSON lines: a header {"radishcross_trace", "node",
/// "seed", "about", "left_out"}, one line for each entry {"at", "module",
/// "event", "in", "text" or "hex", "out"}, and a closing line {"entries",
/// "checksum"} with the xxHash of all lines before it. Zeros at the end of "in"
/// and "out" are left out.
std::string writeTrace(const Trace &trace);

/// Reads such a text. Fails with TraceTooNew, TraceTruncated, TraceAltered or
/// TraceMalformed; the reason names the line.
std::optional<Trace> readTrace(std::string_view text, base::LastReason &reason);

} // namespace radishcross::trace
