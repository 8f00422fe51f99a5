#pragma once

#include <LibBase/Clock.h>
#include <LibBase/Random.h>
#include <LibFleet/MemberTable.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace radishcross::fleet {

/// Settings of the probes.
struct ProbeSettings {
  base::Duration Period = std::chrono::seconds(1);
  /// Time to wait for a direct answer before other members are asked to probe.
  base::Duration AckTimeout = std::chrono::milliseconds(300);
  uint32_t IndirectProbes = 3;
};

/// The next action of the prober; None if nothing is due.
struct ProbeAction {
  enum class Kind : uint8_t { None, Ping, PingIndirectly, Suspect };
  Kind What = Kind::None;
  NodeId Subject;
  uint64_t Number = 0; ///< Probe number, echoed in the answer.
};

/// Probes the members of one data centre round-robin, in an order that is
/// shuffled for each round, so that each member is probed within two rounds
/// (SWIM).
class Prober {
public:
  Prober(NodeId self, std::string dataCentre, ProbeSettings settings,
         uint64_t seed);

  /// Returns the next action due at \p now. Call until it returns None.
  ProbeAction next(const MemberTable &table, base::TimePoint now);

  /// Handles an answer, whether direct or relayed by another member.
  void acknowledged(const NodeId &subject, uint64_t number);

  /// Shifts all deadlines after this process was paused, so that members are
  /// not suspected for answers missed during the pause.
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
