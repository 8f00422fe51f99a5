#pragma once

#include <LibBase/Clock.h>
#include <LibCalls/KnownTarget.h>
#include <LibFleet/Member.h>

#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace radishcross::calls {

/// The targets of all services, kept up to date from the fleet's members.
class TargetTable {
public:
  using Targets = std::vector<KnownTarget *>;

  /// Takes the fleet's members. What was learnt of a target stays while it is
  /// listed or calls to it are in flight. Returns the targets that changed.
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
  KnownTarget &knownOf(const fleet::Member &member,
                       const fleet::TargetRecord &target);
  static bool take(KnownTarget &known, const fleet::Member &member,
                   const fleet::TargetRecord &target, base::TimePoint now);
  bool drained(const KnownTarget &target) const;
  void index();

  std::map<uint64_t, std::unique_ptr<KnownTarget>> Known;
  std::map<std::string, Targets, std::less<>> ByService;
  std::map<fleet::NodeId, std::weak_ptr<PathDoubt>> Paths;
  std::set<std::string, std::less<>> Drained;
};

} // namespace radishcross::calls
