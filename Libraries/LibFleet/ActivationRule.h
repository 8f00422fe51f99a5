#pragma once

#include <LibBase/Clock.h>
#include <LibFleet/MemberTable.h>
#include <LibLog/Record.h>

#include <cstdint>
#include <deque>
#include <string>

namespace radishcross::fleet {

/// When a record that this node holds may be put into force.
struct ActivationSettings {
  /// Other nodes of the data centre that must hold the record too; 0 puts it
  /// into force at once. Fewer live nodes need fewer holders.
  uint32_t Holders = 2;
  /// After this time it is put into force in any case, so that peers which are
  /// alive but stuck cannot keep a change back.
  base::Duration HoldersTimeout = std::chrono::seconds(2);
};

/// Decides up to which offset records may be in force. A record that others of
/// the data centre hold survives this node's restart while the platform is
/// down, so the node cannot come back with less than it served.
class ActivationRule {
public:
  ActivationRule(NodeId self, std::string dataCentre,
                 ActivationSettings settings)
      : Self(std::move(self)), DataCentre(std::move(dataCentre)),
        Settings(settings) {}

  /// Notes that the node holds everything up to \p held since \p now.
  void received(log::Offset held, base::TimePoint now);

  /// Returns the highest offset that may be in force.
  log::Offset allowed(const MemberTable &table, base::TimePoint now);

  /// Returns how often patience ran out before enough others held a record.
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
