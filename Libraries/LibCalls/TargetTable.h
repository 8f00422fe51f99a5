#pragma once

#include <LibBase/Clock.h>
#include <LibCalls/KnownTarget.h>
#include <LibFleet/Member.h>

#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace radishcross::calls {

/// The targets of all services, kept up to date from the fleet's members.
class TargetTable {
public:
  using Targets = std::vector<KnownTarget *>;

  /// Ejections and silence are looked at this often at most.
  static constexpr base::Duration TickSpacing = std::chrono::milliseconds(100);

  /// Takes the fleet's members; one whose incarnation, revision and state are
  /// the same as before is passed over. What was learnt of a target stays while
  /// it is listed or calls to it are in flight. Returns the targets that
  /// changed.
  Targets membersChanged(const std::vector<fleet::Member> &members,
                         base::TimePoint now);

  /// Takes the names of drained services and VMs ("service:..", "vm:..").
  void drainedChanged(const std::vector<std::string> &drained);

  /// Returns the targets of a service that take new work.
  const Targets &usable(std::string_view serviceName) const;

  /// Returns a target by its id, or null.
  KnownTarget *find(uint64_t id);

  /// Ends ejections, notices silence, forgets what is gone. Returns whether
  /// any of this happened.
  bool tick(base::TimePoint now);

private:
  struct SeenMember {
    uint64_t Incarnation = 0;
    uint64_t Revision = 0;
    fleet::MemberState State = fleet::MemberState::Dead;
    uint64_t Round = 0; ///< The last list that named it.
    Targets Listed;
  };
  bool isNews(const fleet::Member &member);
  void takeMember(SeenMember &seen, const fleet::Member &member,
                  Targets &changed, base::TimePoint now);
  void unlist(const Targets &targets, Targets &changed);
  KnownTarget &knownOf(const fleet::Member &member,
                       const fleet::TargetRecord &target);
  bool take(KnownTarget &known, const fleet::Member &member,
            const fleet::TargetRecord &target, base::TimePoint now);
  bool drained(const KnownTarget &target) const;
  void index();

  std::map<uint64_t, std::unique_ptr<KnownTarget>> Known;
  std::map<std::string, Targets, std::less<>> ByService;
  std::unordered_map<fleet::NodeId, SeenMember> Seen;
  std::map<fleet::NodeId, std::weak_ptr<PathHealth>> Paths;
  std::set<std::string, std::less<>> Drained;
  uint64_t Round = 0;
  bool IndexStale = false;
  base::TimePoint LastTick{};
};

} // namespace radishcross::calls
