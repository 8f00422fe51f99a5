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

/// State of one node relative to the configuration version attached to it.
enum class Standing : uint8_t {
  Current,     ///< Holds the attached version or a higher one.
  Behind,      ///< Does not hold it yet, for no known reason.
  Waiting,     ///< Has the version, but a reference is missing.
  Unreachable, ///< Is selected, but did not respond.
  Holdover,    ///< Is no longer selected; keeps its version.
  NotSelected, ///< Is not selected and holds no version.
};

constexpr base::EnumName<Standing> StandingNames[] = {
    {Standing::Current, "current"},   {Standing::Behind, "behind"},
    {Standing::Waiting, "waiting"},   {Standing::Unreachable, "unreachable"},
    {Standing::Holdover, "holdover"}, {Standing::NotSelected, "not-selected"},
};

/// One member and the document it responded with, such as a statusReport().
struct MemberResponse {
  fleet::Member QueriedMember;
  std::optional<boost::json::object> Status;
  base::LastReason Reason; ///< Why Status is empty.
};

/// Returns the state of each node: {"configuration", "nodes", "reachable",
/// "selected", "current", "rows": [{"node", "data_centre", "state", "standing",
/// "reachable", "wanted", "version", "since_unix_ms", "offset", "fold_hash",
/// "reason"}]}. "wanted" follows from the node's labels, so it is known for
/// unreachable nodes as well. With an empty \p configuration a node is current
/// when it holds every version attached to it.
boost::json::object fleetReport(const log::Fold &fold,
                                std::string_view configuration,
                                const std::vector<MemberResponse> &answers);

} // namespace radishcross::admin
