#pragma once

#include <LibBase/EnumNames.h>
#include <LibBase/LastReason.h>
#include <LibFleet/Member.h>
#include <LibLog/Fold.h>

#include <boost/json/object.hpp>
#include <optional>
#include <string_view>
#include <vector>

namespace radishcross::admin {

/// How one node stands to the version of a configuration attached to it.
enum class Standing : uint8_t {
  Current,     ///< Holds the version attached to it, or a higher one.
  Behind,      ///< Does not hold it yet; no reason is known.
  Waiting,     ///< Has the version, but not what it refers to.
  Unreachable, ///< Is selected, but did not say what it holds.
  Holdover,    ///< Is no longer selected and keeps what it held.
  NotSelected, ///< Is not selected and holds nothing.
};

constexpr base::EnumName<Standing> StandingNames[] = {
    {Standing::Current, "current"},   {Standing::Behind, "behind"},
    {Standing::Waiting, "waiting"},   {Standing::Unreachable, "unreachable"},
    {Standing::Holdover, "holdover"}, {Standing::NotSelected, "not-selected"},
};

/// One member and the statusReport() that it answered.
struct MemberResponse {
  fleet::Member QueriedMember;
  std::optional<boost::json::object> Status;
  base::LastReason Reason; ///< Why there is no status.
};

/// Returns where each node stands: {"configuration", "nodes", "reachable",
/// "selected", "current", "rows": [{"node", "data_centre", "state", "standing",
/// "reachable", "wanted", "version", "since_unix_ms", "offset", "fold_hash",
/// "reason"}]}. The version wanted of a node follows from its labels, so it is
/// known of unreachable nodes as well. With an empty \p configuration a node is
/// current when it holds every version attached to it.
boost::json::object fleetReport(const log::Fold &fold,
                                std::string_view configuration,
                                const std::vector<MemberResponse> &answers);

} // namespace radishcross::admin
