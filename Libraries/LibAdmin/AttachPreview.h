#pragma once

#include <LibFleet/Member.h>
#include <LibLog/Fold.h>

#include <boost/json/object.hpp>
#include <vector>

namespace radishcross::admin {

/// Returns who would change by an attachment, without making it:
/// {"attachment", "configuration", "version", "nodes", "selected", "changes":
/// [{"node", "data_centre", "from", "to", "effect"}]}. "effect" is "moves",
/// "starts" or "keeps": a node left outside by a narrower selector keeps what
/// it holds. \p fold is the state as it is, without \p planned.
boost::json::object attachPreview(const log::Fold &fold,
                                  const log::Attachment &planned,
                                  std::vector<fleet::Member> members);

} // namespace radishcross::admin
