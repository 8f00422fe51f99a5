#include <LibAdmin/AttachPreview.h>

#include <LibAdmin/StatusReport.h>

#include <algorithm>
#include <boost/json/array.hpp>
#include <tuple>

namespace radishcross::admin {

namespace {

/// Returns the version attached to \p node if \p planned were applied; 0 for
/// none.
uint64_t plannedVersion(const log::Fold &fold, const log::Attachment &planned,
                        const fleet::NodeIdentity &node) {
  uint64_t version = planned.NodeSelector.matches(node.Id, node.NodeLabels)
                         ? planned.Version
                         : 0;
  for (const auto &[name, it] : fold.attachments())
    if (it.Configuration == planned.Configuration && name != planned.Name &&
        it.NodeSelector.matches(node.Id, node.NodeLabels))
      version = std::max(version, it.Version);
  return version;
}

std::string_view effectOf(uint64_t from, uint64_t to) {
  if (from == 0)
    return "starts";
  return to > from ? "moves" : "keeps";
}

} // namespace

boost::json::object attachPreview(const log::Fold &fold,
                                  const log::Attachment &planned,
                                  std::vector<fleet::Member> members) {
  std::sort(members.begin(), members.end(), [](const auto &a, const auto &b) {
    return std::tie(a.Identity.DataCentre, a.Identity.Id) <
           std::tie(b.Identity.DataCentre, b.Identity.Id);
  });
  boost::json::array changes;
  size_t nodes = 0;
  size_t selected = 0;
  for (const auto &it : members) {
    if (it.State == fleet::MemberState::Left)
      continue;
    const auto &node = it.Identity;
    ++nodes;
    selected += planned.NodeSelector.matches(node.Id, node.NodeLabels) ? 1 : 0;
    uint64_t from = wantedVersion(fold, node, planned.Configuration);
    uint64_t to = plannedVersion(fold, planned, node);
    if (from != to)
      changes.push_back(boost::json::object{{"node", node.Id},
                                            {"data_centre", node.DataCentre},
                                            {"from", from},
                                            {"to", to},
                                            {"effect", effectOf(from, to)}});
  }
  return {
      {"attachment", planned.Name}, {"configuration", planned.Configuration},
      {"version", planned.Version}, {"nodes", nodes},
      {"selected", selected},       {"changes", std::move(changes)},
  };
}

} // namespace radishcross::admin
