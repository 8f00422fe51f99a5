#pragma once

#include <LibBase/Clock.h>
#include <LibBase/Random.h>
#include <LibFleet/Gossip.h>
#include <LibFleet/MemberTable.h>
#include <LibFleet/NoticeBoard.h>
#include <LibFleet/Prober.h>
#include <LibFleet/UpdateQueue.h>

#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace radishcross::fleet {

/// Periods and bounds of membership.
struct MembershipSettings {
  ProbeSettings Probing;
  /// A suspect is dead after this time, times the decimal logarithm of the
  /// number of members of its data centre.
  base::Duration SuspicionTimeout = std::chrono::seconds(3);
  uint32_t PushFanout = 3; ///< Peers told at once of fresh news.
  /// Each member, of any data centre, is told directly when a target stops
  /// taking work: each call that goes to it meanwhile is refused at its gate,
  /// and while many nodes restart, news that is passed on comes too late.
  uint32_t LeaveFanout = 32;   ///< Datagrams in a round, to those told least.
  uint32_t MinLeaveRounds = 3; ///< At the least; datagrams get lost.
  uint32_t LeaveCopies = 2;    ///< To each member, in as many rounds as needed.
  base::Duration LeaveUpdateDuration =
      std::chrono::seconds(10); ///< To newcomers also.
  /// Members that left or died in the last time are told too: they may run
  /// again, and word of that may be under way.
  base::Duration DepartedNotifyWindow = std::chrono::seconds(10);
  /// Members that were declared dead or have left in the last time are tried
  /// again, so many in each probe period: a node that starts again while the
  /// directory cannot be read knows nobody.
  base::Duration DepartedProbeWindow = std::chrono::minutes(5);
  uint32_t DepartedProbesPerPeriod = 3;
  /// News of records is pushed again: of 60 nodes one push of three peers each
  /// misses three, two miss one in seven times and three one in a hundred.
  base::Duration SecondPushDelay = std::chrono::milliseconds(150);
  uint32_t LaterPushes = 2;
  uint32_t RetransmitFactor = 3; ///< Times the logarithm of the fleet's size.
  /// Between two pushes of members' news; it doubles while news keeps coming,
  /// so that a herd of newcomers costs a bounded number of bytes.
  base::Duration ShortestUpdateSpacing = std::chrono::milliseconds(100);
  base::Duration LongestUpdateSpacing = std::chrono::seconds(1);
  /// Members of one data centre that talk to another one in each period.
  uint32_t RemoteContactsPerPeriod = 8;
  base::Duration DeadRetention = std::chrono::hours(24);
  base::Duration JoinPeriod = std::chrono::milliseconds(500);
  base::Duration LongestJoinPeriod = std::chrono::seconds(30);
  base::Duration PullSpacing = std::chrono::seconds(5);
  uint32_t MismatchesBeforePull = 3;
  size_t UpdateBytes = 800; ///< Room for updates in one datagram.
};

/// What membership wants done.
struct MembershipActions {
  std::vector<GossipSend> Sends;
  std::optional<NodeId> PullFrom; ///< Compare member tables with this one.
};

/// Decides who is alive (SWIM): probes in turn, probes through others,
/// suspicion that the suspect can refute with a higher incarnation, and news
/// that travels on the datagrams that are sent anyway. Members of other data
/// centres are never suspected from here; their own data centre's word counts.
class Membership {
public:
  /// \p self has the incarnation and revision to start with: both must be
  /// higher than those of an earlier process with this id.
  Membership(Member self, std::vector<base::Address> seeds,
             MembershipSettings settings, uint64_t seed);

  /// Does what is due; to be called every 50 ms or so.
  MembershipActions tick(base::TimePoint now);

  /// Takes one genuine datagram.
  MembershipActions take(const GossipSender &sender,
                         const GossipMessage &message, base::TimePoint now);

  /// Takes records that were pulled from a peer's table.
  void mergePulled(const std::vector<Member> &records, base::TimePoint now);

  /// Replaces this node's targets. A change of load alone spreads only when it
  /// is coarse and not too frequent.
  void setTargets(std::vector<TargetRecord> targets, base::TimePoint now);

  /// Replaces what the others shall remember of this node; see
  /// Member::Exceptions. Called once the node has taken formerExceptions().
  void setExceptions(std::map<std::string, uint64_t> exceptions);

  /// Returns what a peer that was asked remembers of this node's earlier
  /// process.
  const std::map<std::string, uint64_t> &formerExceptions() const {
    return FormerExceptions;
  }
  void setDigest(const Digest &digest);

  /// Adds addresses to join through, found in the log.
  void addSeeds(const std::vector<base::Address> &seeds);
  void post(const Notice &notice, base::TimePoint now);

  /// Tells peers that lack them at once that this node holds new records, and
  /// \p source, from which they came, that they are held here. Later pushes to
  /// any peers follow, since one alone misses some.
  std::vector<GossipSend> announceRecords(base::TimePoint now,
                                          const NodeId &source = {});

  /// Tells a few peers what this node holds now.
  std::vector<GossipSend> pushDigest() {
    return push([](const Member &) { return true; }, Payload::DigestOnly);
  }

  /// Takes a digest that came with a pull's answer.
  void updateDigest(const NodeId &id, const Digest &digest) {
    Table.updateDigest(id, digest);
  }

  /// Returns the datagrams that tell of a target that takes no more work;
  /// due at once after setTargets(), and again a little later.
  std::vector<GossipSend> leaveUpdates(base::TimePoint now);

  /// Declares this node gone and tells its peers.
  std::vector<GossipSend> leave(base::TimePoint now);

  const MemberTable &table() const { return Table; }
  const Member &self() const { return *Table.find(SelfId); }

  /// Grows whenever members(), apart from digests, changed.
  uint64_t generation() const { return Generation; }
  std::vector<Notice> takeNewNotices();

  /// Returns up to \p count random live members that \p accept takes.
  std::vector<const Member *>
  choose(size_t count, const std::function<bool(const Member &)> &accept);

private:
  /// What a datagram carries besides the digest.
  enum class Payload : uint8_t { DigestOnly, Updates };

  void mergeUpdate(const MemberUpdate &update, base::TimePoint now,
                   bool isForwarded = true);
  void refute(const MemberUpdate &update);
  void setState(const Member &member, MemberState state, base::TimePoint now);
  void updateTimers(const Member &member, base::TimePoint now);
  void expireTimers(base::TimePoint now);
  void probe(base::TimePoint now, MembershipActions &actions);
  void requestIndirectProbes(const ProbeAction &action,
                             MembershipActions &actions);
  void joinIfDue(base::TimePoint now, MembershipActions &actions);
  void contactRemoteIfDue(base::TimePoint now, MembershipActions &actions);
  void probeDeparted(base::TimePoint now, MembershipActions &actions);
  bool isUpdatePushDue(base::TimePoint now);
  void compensatePause(base::TimePoint now);
  void planLaterPush(base::TimePoint now);
  void answer(const GossipSender &sender, const GossipMessage &message,
              base::TimePoint now, MembershipActions &actions);
  void relayPing(const GossipSender &sender, const GossipMessage &message,
                 base::TimePoint now, MembershipActions &actions);
  void takeAck(const GossipSender &sender, const GossipMessage &message,
               MembershipActions &actions);
  void compareTables(const GossipSender &sender, const Digest &theirs,
                     base::TimePoint now, MembershipActions &actions);
  GossipMessage compose(GossipKind kind, uint64_t probe = 0,
                        const NodeId &subject = {},
                        Payload payload = Payload::Updates);
  void addUpdates(GossipMessage &message);
  MemberUpdate updateOf(const NodeId &id, bool hasContent) const;
  MemberUpdate ownUpdate() const { return updateOf(SelfId, true); }
  size_t liveCount(std::string_view dataCentre) const;
  bool drawRemoteContact();
  uint32_t leaveCopiesSent(const Member &member) const;
  bool mayHaveReturned(const Member &member, base::TimePoint now) const;
  std::vector<const Member *> leaveRecipients(uint32_t copies,
                                              base::TimePoint now);
  std::vector<const Member *>
  sample(size_t count, const std::function<bool(const Member &)> &accept);
  std::vector<base::Address> seedsWithoutMember() const;
  std::vector<GossipSend>
  push(const std::function<bool(const Member &)> &accept, Payload payload);
  bool isLocal(const Member &member) const {
    return member.Identity.DataCentre == DataCentre;
  }

  struct Relay {
    uint64_t Number = 0;
    NodeId Subject;
    base::Address Origin; ///< Who asked for the probe.
    uint64_t OriginNumber = 0;
    base::TimePoint Expires{};
  };

  /// A member's process that was told of this node's leave.
  struct LeaveDelivery {
    uint64_t Incarnation = 0;
    uint32_t Copies = 0;
  };

  NodeId SelfId;
  std::string DataCentre;
  std::vector<base::Address> Seeds;
  size_t ConfiguredSeeds;
  MembershipSettings Settings;
  base::Random Rng;
  MemberTable Table;
  Prober Probes;
  UpdateQueue Queue;
  NoticeBoard Board;
  std::map<std::string, uint64_t> FormerExceptions;
  Digest OwnDigest;
  std::map<NodeId, base::TimePoint> SuspectUntil;
  std::map<NodeId, base::TimePoint> DeadUntil;
  std::vector<Relay> Relays;
  bool HasPendingUpdates = true;
  bool IsLeaving = false;
  uint64_t Generation = 0;
  uint64_t LastRelay = 0;
  uint32_t JoinsSent = 0;
  uint32_t HashMismatches = 0;
  base::TimePoint LastTick{};
  base::TimePoint NextJoin{};
  base::TimePoint NextRemoteContact{};
  base::TimePoint NextPull{};
  base::TimePoint NextLoadUpdate{};
  base::TimePoint NextUpdatePush{};
  base::Duration UpdateSpacing{};
  std::optional<base::TimePoint> LaterPush; ///< Of LaterPushesLeft.
  uint32_t LaterPushesLeft = 0;
  uint32_t LeaveRoundsLeft = 0;
  base::TimePoint NextLeaveRound{};
  base::TimePoint LeaveUpdatesUntil{};
  std::map<NodeId, LeaveDelivery> LeaveDeliveries;
};

} // namespace radishcross::fleet
