#pragma once

#include <LibBase/Clock.h>
#include <LibConfig/Rank.h>

#include <cstdint>
#include <map>
#include <utility>

namespace radishcross::admission {

/// Learns at one target's gate which kinds of calls are nested: made by targets
/// while they run other work. It is for meshes without a mesh key, where a
/// target cannot prove its nested calls.
///
/// Clients send from every VM, those of the called service included, while a
/// target's nested calls go to other services. So a kind counts as nested once
/// a run of its calls without one from the gate's own service is too long to be
/// chance, given how often calls of the other kinds come from there.
class NestedKinds {
public:
  /// Calls of one rank and latency objective.
  using Kind = std::pair<config::Rank, base::Duration>;

  /// Maximum number of kinds that are observed.
  static constexpr size_t MaximumKinds = 64;

  /// Counts a call; returns whether its kind is nested.
  bool arrived(const Kind &kind, bool isFromOwnService);

private:
  struct Seen {
    uint64_t Calls = 0;
    uint64_t FromOwnService = 0;
    uint64_t Run = 0; ///< Calls since the last one from the own service.
  };
  uint64_t minimumRun() const;
  void decay();

  std::map<Kind, Seen> Kinds;
  uint64_t Counted = 0; ///< Calls since the last decay.
};

} // namespace radishcross::admission
