#pragma once

#include <LibBase/Clock.h>
#include <LibBase/Random.h>
#include <LibFleet/MemberTable.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace radishcross::fleet {

/// How members are probed.
struct ProbeSettings {
  base::Duration Period = std::chrono::seconds(1);
  /// How long a direct answer may take before others are asked to probe.
  base::Duration AckTimeout = std::chrono::milliseconds(300);
  uint32_t IndirectProbes = 3;
};

/// What the prober wants done; an empty Subject means nothing.
struct ProbeAction {
  enum class Kind : uint8_t { None, Ping, PingIndirectly, Suspect };
  Kind What = Kind::None;
  NodeId Subject;
  uint64_t Number = 0; ///< To be echoed in the answer.
};

/// Probes the members of one data centre in turn, in an order that is shuffled
/// anew for each round, so that each is probed within two rounds (SWIM).
class Prober {
public:
  Prober(NodeId self, std::string dataCentre, ProbeSettings settings,
         uint64_t seed);

  /// Returns what is due at \p now; to be called until it returns None.
  ProbeAction next(const MemberTable &table, base::TimePoint now);

  /// Takes an answer, direct or through another member.
  void acknowledged(const NodeId &subject, uint64_t number);

  /// Shifts all deadlines after a pause of the process, so that silence in the
  /// pause counts against nobody.
  void shift(base::Duration pause);

private:
  struct Outstanding {
    NodeId Subject;
    uint64_t Number = 0;
    base::TimePoint Since{};
    bool IndirectSent = false;
  };
  std::optional<NodeId> nextSubject(const MemberTable &table);
  void beginRound(const MemberTable &table);

  NodeId Self;
  std::string DataCentre;
  ProbeSettings Settings;
  base::Random Rng;
  std::vector<NodeId> Round;
  std::optional<Outstanding> Current;
  base::TimePoint NextProbe{};
  uint64_t LastNumber = 0;
};

} // namespace radishcross::fleet
