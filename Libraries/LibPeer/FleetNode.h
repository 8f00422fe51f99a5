#pragma once

#include <LibBase/Random.h>
#include <LibFleet/ActivationRule.h>
#include <LibFleet/Membership.h>
#include <LibFleet/RecordFreshness.h>
#include <LibFleet/RecordStore.h>
#include <LibFleet/Recovery.h>
#include <LibFleet/Replicator.h>
#include <LibFleet/VersionCatchUp.h>
#include <LibLog/FoldHashVerifier.h>
#include <LibLog/SnapshotParts.h>
#include <LibLog/SnapshotPolicy.h>
#include <LibPeer/DatagramSocket.h>
#include <LibPeer/FleetRuntime.h>
#include <LibPeer/MeshAuthenticator.h>
#include <LibPeer/PullClient.h>
#include <LibPeer/PullServer.h>
#include <LibPeer/ReplayGuard.h>

#include <boost/asio/steady_timer.hpp>
#include <deque>

namespace radishcross::peer {

/// Feeds network and timer events to the state machines of LibFleet and
/// executes the actions that they return.
class FleetNode final : public FleetRuntime,
                        public std::enable_shared_from_this<FleetNode> {
public:
  FleetNode(FleetEnvironment environment,
            const fleet::RecoverySettings &settings, fleet::Recovery recovery,
            uint64_t epoch);
  ~FleetNode() override;

  /// Opens the listeners and starts the timer; fails with CannotListen.
  bool start(base::LastReason &reason);

  bool ready() const override { return IsServingReported; }
  const log::Fold &fold() const override { return AppliedFold; }
  const std::vector<fleet::Member> &members() const override {
    return Members.table().all();
  }
  void addSeeds(const std::vector<base::Address> &seeds) override {
    Members.addSeeds(seeds);
  }
  void setTargets(std::vector<fleet::TargetRecord> targets) override;
  const std::map<std::string, uint64_t> &formerExceptions() const override {
    return Members.formerExceptions();
  }
  void setExceptions(std::map<std::string, uint64_t> exceptions) override {
    Members.setExceptions(std::move(exceptions));
  }
  const fleet::Departures &formerDepartures() const override {
    return Members.formerDepartures();
  }
  bool hasFormerDepartures() const override {
    return Members.hasFormerDepartures();
  }
  bool areDeparturesConfirmed() const override {
    return Members.areDeparturesConfirmed();
  }
  void setDepartures(fleet::Departures departures, bool isComplete) override {
    Members.setDepartures(std::move(departures), isComplete);
  }
  void broadcastNotice(std::string topic, std::string text,
                       base::Duration lifetime) override;
  void sendAllotment(tenants::AllotmentSend send) override;
  void sendNotice(const fleet::NodeId &to, std::string topic,
                  std::string text) override;
  void setExternalVersion(uint64_t version) override;
  void noteExternalRead(const fleet::RecordReading &reading) override;
  std::optional<base::Duration> externalAge() const override {
    return Freshness.currentAge(elapsedClock().now());
  }
  bool isExternalAsNewAsBefore() const override {
    return Freshness.isAsNewAsBefore(LastElapsed);
  }
  fleet::ReadDuty externalDuty() override;
  void requestLogRead() override;
  void leave(std::function<void()> done) override;
  uint64_t controlBytes() const override;

private:
  void armTimer();
  void tick();
  void handleDatagram(std::string_view bytes, const base::Address &from);
  void handleAllotment(const Datagram &datagram, const base::Address &from);
  void sendAllotment(tenants::AllotmentMessage message,
                     const base::Address &to);
  void countDropped(std::string_view reason);
  void send(std::vector<fleet::GossipSend> sends);
  void run(fleet::MembershipActions actions);
  void run(const fleet::ReplicationAction &action);
  void replicate();
  fleet::ReplicationView replicationView() const;
  void recover();
  void traceSetUp(const fleet::RecoverySettings &settings);
  void traceState();
  void traceRecoveryView(const fleet::RecoveryView &view);
  void reportChanges();

  void readLog(const fleet::ReplicationAction &action);
  void handleLogRead(const log::ReadAnswer &answer);
  bool searchSnapshot(const log::ReadAnswer &answer);
  void checkLogEnd(const log::ReadAnswer &answer);
  bool acceptRecords(std::vector<log::StoredRecord> records,
                     const fleet::NodeId &source);
  bool applyState(const PullAnswer &answer, const fleet::NodeId &source);
  void announceHeldOffset(const fleet::NodeId &source);
  void putInForce();
  /// Returns the offset of the last record received, whether or not it has been
  /// applied.
  log::Offset heldOffset() const {
    return AppliedFold.offset() + PendingRecords.size();
  }
  void checkFoldHash(const fleet::NodeId &sender, const fleet::Digest &digest);

  void scanSnapshots(const std::vector<log::StoredRecord> &records);
  bool startFromSnapshot();
  void writeSnapshotIfDue();
  void appendNextPart();
  void partAppended(const log::AppendAnswer &answer);
  void snapshotWritten(log::Offset at);

  void pull(const fleet::ReplicationAction &action);
  void pullAnswered(const fleet::NodeId &peer,
                    const std::optional<PullAnswer> &answer);
  void pullDone(const fleet::NodeId &peer, fleet::PullOutcome outcome,
                base::Duration retryAfter = {});
  void pullMembers(const fleet::NodeId &peer);
  void reportFold();
  bool hasPeerAnswer(const fleet::RecoveryView &view);
  PullAnswer serve(const PullRequest &request);
  void serveMembers(const PullRequest &request, PullAnswer &answer);
  void serveRecords(const PullRequest &request, PullAnswer &answer);
  void serveState(PullAnswer &answer);
  void serveExternal(const PullRequest &request, PullAnswer &answer);
  void handleExternalDigest(const fleet::NodeId &sender,
                            const fleet::FreshnessReport &report);
  void pushFreshness();
  /// Logs when the external configuration has not been confirmed for longer
  /// than the bound within which a new version is in force, and when it is
  /// confirmed again.
  void logConfirmation();
  void catchUpWithPeers();
  void externalAnswered(const fleet::NodeId &peer,
                        std::optional<PullAnswer> answer);
  const fleet::ReaderRank &ownRank();
  const base::Clock &elapsedClock() const {
    return Environment.Elapsed ? *Environment.Elapsed : *Environment.Time;
  }
  fleet::Digest digest() const;

  FleetEnvironment Environment;
  MeshAuthenticator Authenticator;
  ReplayGuard Replays;
  base::Random RandomSource;
  /// Revisions of this node's notices, by topic, until they are reported.
  std::map<std::string, uint64_t> OwnNotices;
  uint64_t Epoch;
  uint64_t Sequence = 0;
  ControlByteCounters Bytes;
  log::Fold AppliedFold;
  uint64_t AppliedFoldHash = 0;
  std::string SavedState;
  log::Offset SavedStateOffset = 0;
  std::deque<log::StoredRecord> PendingRecords; ///< Received, not yet in force.
  fleet::RecordStore Records;
  fleet::ActivationRule Rule;
  fleet::Membership Members;
  uint64_t ReplicatorSeed;
  fleet::Replicator RecordReplicator;
  bool IsReplicationRecorded = false;
  fleet::VersionCatchUp CatchUp;
  fleet::RecordFreshness Freshness;
  base::TimePoint LastElapsed{}; ///< Time of the last tick by elapsedClock().
  fleet::ReadDuty::Kind LastDuty = fleet::ReadDuty::Kind::None;
  /// The external configuration has not been confirmed in time.
  bool IsUnconfirmed = false;
  fleet::ReaderRank OwnRank;
  /// Membership generation that OwnRank was computed for.
  uint64_t OwnRankGeneration = UINT64_MAX;
  fleet::Recovery RecoveryProcess;
  log::SnapshotPolicy Snapshots;
  log::SnapshotAssembler Assembler;
  log::FoldHashVerifier HashVerifier;
  /// Snapshot to start from, if confirmed.
  std::optional<log::LogSnapshot> Candidate;
  /// Snapshot parts still to be appended.
  std::deque<std::string> PendingParts;
  log::Offset PendingSnapshotOffset = 0; ///< Offset of that snapshot.
  bool AllPartsAccepted = false; ///< Every part so far was acknowledged.
  /// Next offset that a node without state reads.
  log::Offset NextScanOffset = 1;
  base::TimePoint CandidateSince{};
  base::TimePoint NextSnapshotCheck{};
  std::shared_ptr<DatagramSocket> Datagrams;
  std::shared_ptr<PullServer> Server;
  std::shared_ptr<PullClient> Client;
  boost::asio::steady_timer Timer;
  uint64_t ReportedGeneration = 0;
  base::TimePoint NextFoldAlarm{};
  trace::Entry LastRecoveryEntry;
  bool HasPeerAnswered = false;
  base::TimePoint NextPeerQuery{};
  bool IsServingReported = false;
  base::TimePoint Started{};
  bool IsLogShortened = false;
  /// A peer reported another state at the same offset.
  bool IsFoldDisputed = false;
  bool HasLeft = false;
};

} // namespace radishcross::peer
