#pragma once

#include <LibBase/Clock.h>
#include <LibConfig/Rank.h>

#include <cstddef>
#include <map>
#include <utility>

namespace radishcross::http {

/// Learns how large the answers of each kind of call are, so that a node knows
/// what its link will have to carry for the calls that its target runs.
class AnswerSizes {
public:
  /// Calls of one rank and latency objective.
  using Kind = std::pair<config::Rank, base::Duration>;

  static constexpr size_t MaximumKinds = 64;
  /// Number of answers that the moving mean averages.
  static constexpr int64_t Memory = 16;

  /// Records the body of an answer, in bytes.
  void observed(const Kind &kind, size_t bytes);

  /// Returns the mean size of the answers of a kind if they are mostly large
  /// (more than LinkPacer::PieceBytes), else 0.
  size_t expected(const Kind &kind) const;

private:
  struct Mean {
    int64_t Bytes = 0;
    int64_t Seen = 0;
  };
  std::map<Kind, Mean> Kinds;
};

} // namespace radishcross::http
