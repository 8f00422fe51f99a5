#pragma once

#include <LibBase/Clock.h>
#include <LibFleet/Member.h>
#include <LibTenants/AllotmentMessage.h>
#include <LibTenants/AllotmentSettings.h>

#include <array>
#include <cstdint>
#include <map>
#include <string_view>
#include <utility>
#include <vector>

namespace radishcross::tenants {

/// A node as the allotments see it.
struct AllotmentMember {
  fleet::NodeId Id;
  bool IsAlive = false;
  bool CanKeep = true; ///< Serves, so that it may be a keeper.

  bool operator==(const AllotmentMember &) const = default;
};

/// The members as one node sees them, and what follows from that alone: which
/// nodes own shares of the allotments, and which keep the groups.
class AllotmentMembers {
public:
  using Keepers = std::array<fleet::NodeId, AllotmentGroups>;
  using Times = std::map<fleet::NodeId, base::TimePoint>;

  AllotmentMembers(fleet::NodeId self, const AllotmentSettings &settings)
      : Self(std::move(self)), Settings(settings) {}

  /// Replaces the view, this node included; nodes that have left are not among
  /// them. Returns whether it differs from the one before.
  bool set(const std::vector<AllotmentMember> &members, base::TimePoint now);

  /// Forgets the nodes that were lost long ago; returns whether there were any.
  bool forgetLost(base::TimePoint now);

  /// Returns whether this node has seen members for long enough to know them.
  bool hasJoined(base::TimePoint now) const;

  /// Returns whether this node is one of the owners of \p group: the nodes of
  /// the highest rendezvous weights of those alive and those that lately were.
  bool isOwner(uint32_t group) const;

  /// Returns how many nodes own a share of each group's allotments.
  uint32_t owners() const;

  uint32_t alive() const { return AliveMembers; }

  /// Returns the node to ask for each group; empty: none. The groups are spread
  /// evenly over the nodes alive; whoever doubts one of those asks the next
  /// instead, so that its doubt moves no other group.
  Keepers chooseKeepers(const Times &doubted) const;

private:
  using GroupCounts = std::map<std::string_view, uint32_t>;
  const fleet::NodeId *bestKeeper(uint32_t group, const Times &doubted,
                                  const GroupCounts &kept,
                                  uint32_t mostGroups) const;

  fleet::NodeId Self;
  AllotmentSettings Settings;
  std::vector<AllotmentMember> Members;
  uint32_t AliveMembers = 0;
  Times LostSince; ///< Not alive any more.
  base::TimePoint FirstMembers{};
  bool HasMembers = false;
};

} // namespace radishcross::tenants
