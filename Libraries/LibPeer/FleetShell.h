#pragma once

#include <LibBase/Address.h>
#include <LibBase/Clock.h>
#include <LibBase/LastReason.h>
#include <LibBase/Metrics.h>
#include <LibFleet/Member.h>
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

/// A record of the external configuration as the store gave it.
struct ExternalRecord {
  uint64_t Version = 0; ///< 0 for none.
  std::string Text;
};

/// The node's external configuration, as the peers share it.
struct ExternalSource {
  /// Returns the version in force and its record's bytes.
  std::function<uint64_t()> Version;
  std::function<std::string()> Text;
  /// Returns the number of those bytes.
  std::function<size_t()> TextBytes;
  /// Tells whether the store answers this node.
  std::function<bool()> IsStoreReached;
  /// Tells whether this node reads the store again in a moment.
  std::function<bool()> IsReadSpaced;
  /// Takes what a peer has given.
  std::function<void(const ExternalRecord &, const fleet::NodeId &peer)> Taken;
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
  /// Called on the node's thread, never from inside a call to the shell.
  std::function<void(const log::Fold &)> FoldAdvanced;
  std::function<void()> MembersChanged;
  std::function<void(std::string_view topic, std::string_view text)>
      NoticeArrived;
};

/// The I/O of LibFleet: datagrams, RPC, reads of the log and timers. It holds
/// the fold, and gives it on when an offset is in force.
class FleetShell {
public:
  static std::optional<std::shared_ptr<FleetShell>>
  create(FleetEnvironment environment, base::LastReason &reason);
  virtual ~FleetShell() = default;

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
  virtual void spreadNotice(std::string topic, std::string text,
                            base::Duration lifetime) = 0;

  /// Tells the others that a version of the external configuration is in force
  /// here.
  virtual void externalChanged(uint64_t version) = 0;

  /// Reads the log now instead of at the next turn: after an append here.
  virtual void readLogSoon() = 0;

  /// Tells the others that this node leaves; \p done follows in a moment.
  virtual void leave(std::function<void()> done) = 0;

  /// Returns the bytes sent and received for control since the start.
  virtual uint64_t controlBytes() const = 0;
};

} // namespace radishcross::peer
