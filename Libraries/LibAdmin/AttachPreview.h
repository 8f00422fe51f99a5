#pragma once

#include <LibFleet/Member.h>
#include <LibLog/Fold.h>

#include <boost/json/object.hpp>
#include <vector>

namespace radishcross::admin {

/// Returns the nodes whose version an attachment would change, without making
/// the attachment:
/// {"attachment", "configuration", "version", "nodes", "selected", "changes":
/// [{"node", "data_centre", "from", "to", "effect"}]}. "effect" is "moves",
/// "starts" or "keeps": a node that a narrower selector no longer matches keeps
/// the version it holds. \p fold is the current state, without \p planned.
boost::json::object attachPreview(const log::Fold &fold,
                                  const log::Attachment &planned,
                                  std::vector<fleet::Member> members);

} // namespace radishcross::admin
