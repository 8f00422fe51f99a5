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

/// A record of the external configuration, compressed.
struct ExternalRecord {
  uint64_t Version = 0; ///< 0 for none.
  std::string Packed;
};

/// The node's external configuration, as the peers share it.
struct ExternalSource {
  /// Returns the version in force and its record's bytes, compressed.
  std::function<uint64_t()> Version;
  std::function<const std::string &()> Packed;
  /// Tells whether this node reads the record itself and the store answers.
  std::function<bool()> ReadsStore;
  /// Tells whether this node reads the store again in a moment.
  std::function<bool()> IsRereadPending;
  /// Takes what a peer has given.
  std::function<void(ExternalRecord, const fleet::NodeId &peer)>
      PeerVersionReceived;
};

/// What the shell needs of its node.
struct FleetEnvironment {
  boost::asio::io_context *Context = nullptr;
  const base::Clock *Time = nullptr;
  base::Metrics *Counters = nullptr;
  trace::Recorder *Recorder = nullptr;
  log::PlatformClient *Platform = nullptr;
  /// Gossip and Peer are the addresses to listen on; port 0 is not allowed.
  fleet::NodeIdentity Self;
  std::vector<base::Address> Seeds;  ///< Gossip addresses, any data centre.
  std::vector<std::string> MeshKeys; ///< The first signs, all verify.
  bool TrustsNetwork = false;        ///< Without keys every message is genuine.
  uint64_t RandomSeed = 0;
  /// The number of nodes of each data centre that tail the log.
  uint32_t TailersPerDataCentre = 2;
  /// Other nodes of the data centre that must hold a record before it is in
  /// force here; 0 switches the rule off.
  uint32_t HoldersBeforeForce = 2;
  ExternalSource External; ///< Empty where nothing is shared.
  /// Hosts that may run other nodes are known: they are asked before the store.
  bool HasSeedHosts = false;
  /// How long they have to answer before; they may be stale.
  base::Duration SeedContactTimeout = std::chrono::milliseconds(250);
  fleet::FreshnessSettings Freshness;
  /// What a link of a node carries at the least, bytes a second.
  uint64_t MinimumLinkBytesPerSecond =
      fleet::CatchUpSettings{}.LeastBytesPerSecond;
  /// A clock that counts suspension; null: Time does.
  const base::Clock *Elapsed = nullptr;
  /// Called on the node's thread, never from inside a call to the shell.
  std::function<void(const log::Fold &)> FoldAdvanced;
  std::function<void()> MembersChanged;
  std::function<void(std::string_view topic, std::string_view text)>
      NoticeReceived;
};

/// The I/O of LibFleet: datagrams, RPC, reads of the log and timers. It holds
/// the fold, and gives it on when an offset is in force.
class FleetRuntime {
public:
  static std::optional<std::shared_ptr<FleetRuntime>>
  create(FleetEnvironment environment, base::LastReason &reason);
  virtual ~FleetRuntime() = default;

  /// Tells whether the node has recovered its state and may serve.
  virtual bool ready() const = 0;

  /// Returns the fold at the offset in force.
  virtual const log::Fold &fold() const = 0;

  /// Returns every known member, this node included.
  virtual const std::vector<fleet::Member> &members() const = 0;

  /// Adds gossip addresses to join through, found in a directory.
  virtual void addSeeds(const std::vector<base::Address> &seeds) = 0;

  /// Replaces this node's targets and spreads the change.
  virtual void setTargets(std::vector<fleet::TargetRecord> targets) = 0;

  /// Returns what the peers remember of this node's earlier process, as it was
  /// given to setExceptions() there. Complete once ready().
  virtual const std::map<std::string, uint64_t> &formerExceptions() const = 0;

  /// Has the peers remember the versions that a restarted node could not tell
  /// from the fold and its labels; see HeldVersions::exceptions().
  virtual void setExceptions(std::map<std::string, uint64_t> exceptions) = 0;

  /// Spreads a small text to every node for \p lifetime, for instance a
  /// quarantined fingerprint. An equal topic replaces an older text.
  virtual void broadcastNotice(std::string topic, std::string text,
                               base::Duration lifetime) = 0;

  /// Tells the others that a version of the external configuration is in force
  /// here.
  virtual void setExternalVersion(uint64_t version) = 0;

  /// Takes that a read of the external configuration, begun at \p since by the
  /// clock that counts suspension, showed nothing newer than what is held.
  virtual void noteExternalRead(base::TimePoint since) = 0;

  /// Returns how long ago the store is known to have held nothing newer than
  /// what this node holds; nothing where that is not known.
  virtual std::optional<base::Duration> externalAge() const = 0;

  /// Tells how this node reads the external configuration now.
  virtual fleet::ReadDuty externalDuty() = 0;

  /// Reads the log now instead of at the next turn: after an append here.
  virtual void requestLogRead() = 0;

  /// Tells the others that this node leaves; \p done follows in a moment.
  virtual void leave(std::function<void()> done) = 0;

  /// Returns the bytes sent and received for control since the start.
  virtual uint64_t controlBytes() const = 0;
};

} // namespace radishcross::peer
