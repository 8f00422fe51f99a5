#pragma once

#include <LibBase/Clock.h>
#include <LibFleet/MemberTable.h>
#include <LibLog/Record.h>

#include <cstdint>
#include <deque>
#include <string>

namespace radishcross::fleet {

/// Settings of the rule that puts records into force.
struct ActivationSettings {
  /// How many other nodes of the data centre must hold the record as well; 0
  /// puts it into force at once. Where fewer other nodes are live, all of them
  /// must.
  uint32_t Holders = 2;
  /// After this time the record is put into force anyway, so that peers that
  /// are alive but hang cannot block a change.
  base::Duration HoldersTimeout = std::chrono::seconds(2);
};

/// Decides up to which offset records may be in force. A record replicated to
/// other nodes of the data centre survives a restart of this node while the
/// platform is down, so the node never comes back with an older state than it
/// served.
class ActivationRule {
public:
  ActivationRule(NodeId self, std::string dataCentre,
                 ActivationSettings settings)
      : Self(std::move(self)), DataCentre(std::move(dataCentre)),
        Settings(settings) {}

  /// Records that from \p now on the node holds all records up to \p held.
  void received(log::Offset held, base::TimePoint now);

  /// Returns the highest offset that may be in force.
  log::Offset allowed(const MemberTable &table, base::TimePoint now);

  /// Returns how many times records were put into force by HoldersTimeout,
  /// before enough other nodes held them.
  uint64_t activatedByTimeout() const { return ActivatedByTimeout; }

private:
  struct Arrival {
    log::Offset Upto = 0;
    base::TimePoint At{};
  };

  NodeId Self;
  std::string DataCentre;
  ActivationSettings Settings;
  std::deque<Arrival> Arrivals;
  log::Offset Allowed = 0;
  uint64_t ActivatedByTimeout = 0;
};

} // namespace radishcross::fleet
