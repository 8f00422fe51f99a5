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
#include <set>
#include <vector>

namespace radishcross::fleet {

/// Settings of the membership protocol.
struct MembershipSettings {
  ProbeSettings Probing;
  /// A suspect is declared dead after this time, multiplied by the decimal
  /// logarithm of the number of live members of its data centre, at least 10.
  base::Duration SuspicionTimeout = std::chrono::seconds(3);
  uint32_t PushFanout = 3; ///< Peers that each push of updates goes to.

  // When a target stops taking work, this is sent directly to each member of
  // every data centre: until a member knows, its calls to the target are
  // refused at the gate, and while many nodes restart, forwarded updates
  // arrive too late.

  /// Datagrams per round; members sent the fewest copies come first.
  uint32_t LeaveFanout = 32;
  /// How many of them ask for a confirmation, from the second round on: without
  /// the store a departure is acknowledged only if a peer holds it.
  uint32_t LeaveConfirmations = 2;
  /// Minimum number of rounds, since datagrams get lost.
  uint32_t MinLeaveRounds = 3;
  /// Copies to each member, in as many rounds as needed.
  uint32_t LeaveCopies = 2;
  /// How long the update is sent, also to members that join meanwhile.
  base::Duration LeaveUpdateDuration = std::chrono::seconds(10);
  /// Members that left or died this recently are sent it as well: they may have
  /// restarted, and the update about that may still be on its way.
  base::Duration DepartedNotifyWindow = std::chrono::seconds(10);
  /// Members that died or left this recently are pinged again,
  /// DepartedProbesPerPeriod in each probe period: a node that restarts while
  /// the directory cannot be read knows no other member.
  base::Duration DepartedProbeWindow = std::chrono::minutes(5);
  uint32_t DepartedProbesPerPeriod = 3;
  /// The digest is pushed again after new records: among 60 nodes that push to
  /// three peers each, a single push misses three nodes, two pushes miss one
  /// node in one of seven cases, three pushes in one of a hundred.
  base::Duration SecondPushDelay = std::chrono::milliseconds(150);
  uint32_t LaterPushes = 2;
  /// Multiplied by the binary logarithm of the number of members.
  uint32_t RetransmitFactor = 3;
  /// Time between two pushes of member updates. It doubles while updates keep
  /// arriving, so that many nodes joining at once cost a bounded number of
  /// bytes.
  base::Duration ShortestUpdateSpacing = std::chrono::milliseconds(100);
  base::Duration LongestUpdateSpacing = std::chrono::seconds(1);
  /// Expected number of members of a data centre that contact another data
  /// centre in each probe period.
  uint32_t RemoteContactsPerPeriod = 8;
  base::Duration DeadRetention = std::chrono::hours(24);
  base::Duration JoinPeriod = std::chrono::milliseconds(500);
  base::Duration LongestJoinPeriod = std::chrono::seconds(30);
  base::Duration PullSpacing = std::chrono::seconds(5);
  uint32_t MismatchesBeforePull = 3;
  size_t UpdateBytes = 800; ///< Maximum size of the updates in a datagram.
};

/// Actions that membership asks its caller to carry out.
struct MembershipActions {
  std::vector<GossipSend> Sends;
  std::optional<NodeId> PullFrom; ///< Peer to compare member tables with.
};

/// Failure detection and dissemination of membership (SWIM): round-robin
/// probes, indirect probes, suspicions that the suspect can refute with a
/// higher incarnation, and updates piggybacked on the datagrams of the
/// protocol. A node only suspects members of its own data centre; for others it
/// relies on the updates from theirs.
class Membership {
public:
  /// Direct notices that are kept until they are taken; more are dropped.
  static constexpr size_t MaximumDirectNotices = 1024;

  /// \p self carries the initial incarnation and revision; both must be higher
  /// than those of any earlier process with the same id.
  Membership(Member self, std::vector<base::Address> seeds,
             MembershipSettings settings, uint64_t seed);

  /// Returns the actions that are due. Call about every 50 ms.
  MembershipActions tick(base::TimePoint now);

  /// Handles a datagram that has been authenticated.
  MembershipActions handleDatagram(const GossipSender &sender,
                                   const GossipMessage &message,
                                   base::TimePoint now);

  /// Merges members that were pulled from a peer's table.
  void mergePulled(const std::vector<Member> &records, base::TimePoint now);

  /// Replaces this node's targets. A change of load alone is announced only if
  /// it crosses a step of 250 permille, and at most every 10 s.
  void setTargets(std::vector<TargetRecord> targets, base::TimePoint now);

  /// Replaces the exceptions that peers keep for this node
  /// (Member::Exceptions). Call only after formerExceptions() has been read.
  void setExceptions(std::map<std::string, uint64_t> exceptions);

  /// Returns the exceptions of this node's previous process, as a peer kept
  /// them.
  const std::map<std::string, uint64_t> &formerExceptions() const {
    return FormerExceptions;
  }

  /// Replaces the departures that peers keep for this node
  /// (Member::Departed). Unless \p isComplete, the earlier processes may have
  /// had others, and the peers keep those too.
  void setDepartures(Departures departures, bool isComplete);

  /// Returns whether a peer has confirmed that it holds the departures.
  bool areDeparturesConfirmed() const {
    return ConfirmedRevision >= DeparturesRevision;
  }

  /// Returns the departures of this node's previous process, as its peers kept
  /// them.
  const Departures &formerDepartures() const { return FormerDepartures; }

  /// Returns whether formerDepartures() are all of them, as far as a peer that
  /// outlived the previous process can tell.
  bool hasFormerDepartures() const { return HasFormerDepartures; }
  void setDigest(const Digest &digest);

  /// Adds addresses to join through, as found in the node directory.
  void addSeeds(const std::vector<base::Address> &seeds);
  void post(const Notice &notice, base::TimePoint now);

  /// Returns the revision of a notice that is held, 0 if there is none.
  uint64_t noticeRevision(const std::string &topic) const {
    return Board.revisionOf(topic);
  }

  /// Returns digests that announce new records: to peers that lack them, and to
  /// \p source, from which they came, so that it knows they are held here.
  /// Schedules LaterPushes further pushes to random peers, since one alone
  /// misses some.
  std::vector<GossipSend> announceRecords(base::TimePoint now,
                                          const NodeId &source = {});

  /// Returns digests for a few random peers.
  std::vector<GossipSend> pushDigest() {
    return push([](const Member &) { return true; }, Payload::DigestOnly);
  }

  /// Stores a digest that came with the answer to a pull.
  void updateDigest(const NodeId &id, const Digest &digest) {
    Table.updateDigest(id, digest);
  }

  /// Returns the datagrams due now that announce that a target takes no more
  /// work: the first right after setTargets(), more every SecondPushDelay.
  std::vector<GossipSend> leaveUpdates(base::TimePoint now);

  /// Marks this node as left and returns the datagrams that announce it.
  std::vector<GossipSend> leave(base::TimePoint now);

  const MemberTable &table() const { return Table; }
  const Member &self() const { return *Table.find(SelfId); }

  /// Increases whenever the table changes, apart from digests.
  uint64_t generation() const { return Generation; }
  std::vector<Notice> takeNewNotices();

  /// Returns a datagram with notices for \p to alone, or nothing if that
  /// member is not known.
  std::optional<GossipSend> direct(const NodeId &to,
                                   std::vector<Notice> notices);

  /// A notice that was sent to this node alone.
  struct DirectNotice {
    NodeId From;
    Notice Content;
  };
  std::vector<DirectNotice> takeDirectNotices();

  /// Returns up to \p count random live members, without this one, for which \p
  /// accept is true.
  std::vector<const Member *>
  chooseLive(size_t count, const std::function<bool(const Member &)> &accept);

private:
  /// Pings that ask for a confirmation and are not answered yet.
  static constexpr size_t MaximumConfirmationRequests = 16;

  /// Content of a datagram besides the digest.
  enum class Payload : uint8_t { DigestOnly, Updates };

  void replaceSelf(Member own);
  void recallFormer(const Member &kept);
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
  void requestConfirmation();
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
    base::Address Origin; ///< Node that asked for the probe.
    uint64_t OriginNumber = 0;
    base::TimePoint Expires{};
  };

  /// Copies of the current leave update sent to one process of a member.
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
  std::vector<DirectNotice> DirectNotices; ///< At most MaximumDirectNotices.
  std::map<std::string, uint64_t> FormerExceptions;
  Departures FormerDepartures;
  bool HasFormerDepartures = false;
  uint64_t DeparturesRevision = 0; ///< Own revision that last changed them.
  uint64_t ConfirmedRevision = 0;  ///< Own revision that a peer holds.
  /// Own revisions of which a peer was asked; each is the number of its pings.
  std::set<uint64_t> ConfirmationRequests;
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
  /// Time of the next later push, if any.
  std::optional<base::TimePoint> LaterPush;
  uint32_t LaterPushesLeft = 0;
  uint32_t LeaveRoundsLeft = 0;
  base::TimePoint NextLeaveRound{};
  base::TimePoint LeaveUpdatesUntil{};
  std::map<NodeId, LeaveDelivery> LeaveDeliveries;
};

} // namespace radishcross::fleet
