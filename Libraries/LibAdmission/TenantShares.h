#pragma once

#include <LibAdmission/AdmissionGate.h>
#include <LibConfig/Rank.h>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>

namespace radishcross::admission {

/// The calls of tenants at one target. Where a full target refuses a call of a
/// tenant that has few there, it can take the place of a waiting one of the
/// tenant of its rank that has most, so that none fills the target at the cost
/// of others. As long as nobody is refused nothing changes.
class TenantShares {
public:
  /// Counts a call that the gate has let run or wait, until left().
  void entered(Ticket call, std::string_view tenant, config::Rank rank,
               bool isWaiting);
  /// A waiting call runs now.
  void started(Ticket call);
  void left(Ticket call);

  /// Returns the call that gives its place to one of \p tenant that was
  /// refused: the newest that waits of the tenant that has the most calls, if
  /// it has at least two more.
  std::optional<Ticket> displacedBy(std::string_view tenant,
                                    config::Rank rank) const;

private:
  using Key = std::pair<config::Rank, std::string>;
  struct Calls {
    uint32_t All = 0;
    std::set<Ticket> Waiting; ///< By age.
  };
  std::map<Key, Calls> ByTenant;
  std::unordered_map<Ticket, Key> Entered;
};

} // namespace radishcross::admission
