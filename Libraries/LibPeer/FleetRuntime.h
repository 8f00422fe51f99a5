#pragma once

#include <LibBase/Address.h>
#include <LibBase/Clock.h>
#include <LibBase/LastReason.h>
#include <LibBase/Metrics.h>
#include <LibFleet/Member.h>
#include <LibFleet/RecordFreshness.h>
#include <LibFleet/VersionCatchUp.h>
#include <LibLog/Fold.h>
#include <LibLog/PlatformClient.h>
#include <LibTenants/AllotmentMessage.h>
#include <LibTrace/Recorder.h>

#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace radishcross::peer {

/// A compressed record of the external configuration.
struct ExternalRecord {
  uint64_t Version = 0; ///< 0 for none.
  std::string Packed;
};

/// Access to the node's external configuration, for sharing it with peers.
struct ExternalSource {
  /// Returns the version in force. Packed returns its compressed record.
  std::function<uint64_t()> Version;
  std::function<const std::string &()> Packed;
  /// Returns whether this node reads the record from the store itself and the
  /// store answers.
  std::function<bool()> ReadsStore;
  /// Returns whether this node is about to read the store again.
  std::function<bool()> IsRereadPending;
  /// Called with a record received from a peer.
  std::function<void(ExternalRecord, const fleet::NodeId &peer)>
      PeerVersionReceived;
};

/// Dependencies and settings of a FleetRuntime.
struct FleetEnvironment {
  boost::asio::io_context *Context = nullptr;
  const base::Clock *Time = nullptr;
  base::Metrics *Counters = nullptr;
  trace::Recorder *Recorder = nullptr;
  log::PlatformClient *Platform = nullptr;
  /// Self.Gossip and Self.Peer are the addresses to listen on; port 0 is not
  /// allowed.
  fleet::NodeIdentity Self;
  std::vector<base::Address> Seeds; ///< Gossip addresses in any data centre.
  /// The first key signs, every key verifies.
  std::vector<std::string> MeshKeys;
  bool TrustsNetwork = false; ///< Without keys, accept every message.
  uint64_t RandomSeed = 0;
  /// Number of nodes in each data centre that tail the log.
  uint32_t TailersPerDataCentre = 2;
  /// Number of other nodes in the data centre that must hold a record before it
  /// is in force here; 0 disables the rule.
  uint32_t HoldersBeforeForce = 2;
  ExternalSource External; ///< Empty if nothing is shared.
  /// Whether hosts that may run other nodes are known. They are contacted
  /// before the store is read.
  bool HasSeedHosts = false;
  /// How long the seed hosts have to answer before the store is read; their
  /// addresses may be stale.
  base::Duration SeedContactTimeout = std::chrono::milliseconds(250);
  fleet::FreshnessSettings Freshness;
  /// Minimum bandwidth of a node's link, in bytes per second.
  uint64_t MinimumLinkBytesPerSecond =
      fleet::CatchUpSettings{}.LeastBytesPerSecond;
  /// A clock that keeps counting while the host is suspended; null if Time
  /// does.
  const base::Clock *Elapsed = nullptr;
  /// Callbacks run on the node's thread, never from within a call to the
  /// runtime.
  std::function<void(const log::Fold &)> FoldAdvanced;
  std::function<void()> MembersChanged;
  std::function<void(std::string_view topic, std::string_view text,
                     base::Duration timeLeft)>
      NoticeReceived;
  /// Called with a message about allotments; returns the answer, if any.
  std::function<std::optional<tenants::AllotmentSend>(
      const fleet::NodeId &from, const tenants::AllotmentMessage &message)>
      AllotmentReceived;
  /// A notice that \p from has sent to this node alone.
  std::function<void(const fleet::NodeId &from, std::string_view topic,
                     std::string_view text)>
      DirectNoticeReceived;
};

/// Performs the I/O of LibFleet: datagrams, pulls, reads of the log and timers.
/// It holds the fold and publishes it when a new offset is in force.
class FleetRuntime {
public:
  static std::optional<std::shared_ptr<FleetRuntime>>
  create(FleetEnvironment environment, base::LastReason &reason);
  virtual ~FleetRuntime() = default;

  /// Returns whether the node has recovered its state and may serve.
  virtual bool ready() const = 0;

  /// Returns the fold at the offset in force.
  virtual const log::Fold &fold() const = 0;

  /// Returns every known member, this node included.
  virtual const std::vector<fleet::Member> &members() const = 0;

  /// Adds gossip addresses from a directory to join through.
  virtual void addSeeds(const std::vector<base::Address> &seeds) = 0;

  /// Replaces this node's targets and gossips the change.
  virtual void setTargets(std::vector<fleet::TargetRecord> targets) = 0;

  /// Returns the exceptions that this node's previous process passed to
  /// setExceptions(), as its peers remember them. Complete once ready().
  virtual const std::map<std::string, uint64_t> &formerExceptions() const = 0;

  /// Makes the peers remember the versions that a restarted node could not
  /// derive from the fold and its labels; see HeldVersions::exceptions().
  virtual void setExceptions(std::map<std::string, uint64_t> exceptions) = 0;

  /// Returns the departures that this node's previous process passed to
  /// setDepartures(), as its peers remember them. Complete once ready().
  virtual const fleet::Departures &formerDepartures() const = 0;

  /// Returns whether a peer that outlived the previous process has told them.
  virtual bool hasFormerDepartures() const = 0;

  /// Makes the peers remember which targets are leaving, for a restart of this
  /// node. Goes out with the next change of the targets at the latest.
  /// Unless \p isComplete, they are added to those of earlier processes.
  virtual void setDepartures(fleet::Departures departures, bool isComplete) = 0;

  /// Returns whether a peer has confirmed that it remembers them.
  virtual bool areDeparturesConfirmed() const = 0;

  /// Gossips a short text, such as a quarantined fingerprint, to every node for
  /// \p lifetime. It replaces an older text with the same topic.
  virtual void broadcastNotice(std::string topic, std::string text,
                               base::Duration lifetime) = 0;

  /// Sends a message about allotments to a node. It is dropped if the node is
  /// not known, and may be lost.
  virtual void sendAllotment(tenants::AllotmentSend send) = 0;

  /// Sends a short text to one node, once; it may get lost.
  virtual void sendNotice(const fleet::NodeId &to, std::string topic,
                          std::string text) = 0;

  /// Announces to the peers that a version of the external configuration is in
  /// force here.
  virtual void setExternalVersion(uint64_t version) = 0;

  /// Records that a read of the external configuration found nothing newer than
  /// the version held. Its times are of the clock that counts suspension.
  virtual void noteExternalRead(const fleet::RecordReading &reading) = 0;

  /// Returns how long ago the store was last known to hold nothing newer than
  /// this node's version; empty if unknown.
  virtual std::optional<base::Duration> externalAge() const = 0;

  /// Returns whether the external configuration held is known to be as new as
  /// any that an earlier process of this node held.
  virtual bool isExternalAsNewAsBefore() const = 0;

  /// Returns how this node currently reads the external configuration.
  virtual fleet::ReadDuty externalDuty() = 0;

  /// Reads the log at once instead of at the next scheduled read, for use after
  /// a local append.
  virtual void requestLogRead() = 0;

  /// Announces to the peers that this node leaves and closes the listeners;
  /// calls \p done shortly afterwards (100 ms).
  virtual void leave(std::function<void()> done) = 0;

  /// Returns the bytes of control traffic sent and received since the start.
  virtual uint64_t controlBytes() const = 0;
};

} // namespace radishcross::peer
