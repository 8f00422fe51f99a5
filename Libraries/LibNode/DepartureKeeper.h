#pragma once

#include <LibAdmission/TargetLeases.h>
#include <LibBase/Clock.h>
#include <LibNode/DepartureStore.h>
#include <LibPeer/FleetRuntime.h>

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace radishcross::node {

/// Makes what a node has acknowledged of its targets' leaving outlive its
/// process: the store and the peers remember it, and a restarted node takes no
/// target as ready before it has asked them. What a node acknowledged while the
/// store was away is lost with all nodes. So where no peer has outlived the
/// earlier process, targets have to prove that they are alive.
class DepartureKeeper {
public:
  using OthersRead = std::function<void(const std::vector<log::KeyedRecord> &)>;

  /// \p onChanged is called when the state of a target may have changed, \p
  /// onOthersRead with the other records of the topic that recall() has read.
  DepartureKeeper(log::KeyedStore &store, std::string node,
                  admission::TargetLeases &leases,
                  std::function<void()> onChanged, OthersRead onOthersRead);

  /// Begins to ask the store and the peers; called at the start of a process
  /// that may have had an earlier one. \p startedUnixMs is the time of that, in
  /// milliseconds since 1970.
  void recall(uint64_t startedUnixMs, base::TimePoint now);

  /// Passes the departures of the targets on to the store and the peers.
  void keep(peer::FleetRuntime &fleet, base::TimePoint now);

  void tick(peer::FleetRuntime &fleet, base::TimePoint now);

  /// Waits until the store holds the departures, MaxAcknowledgementDelay at
  /// most. Returns whether they outlive this process: the store or a peer holds
  /// them.
  boost::asio::awaitable<bool> awaitKept(const peer::FleetRuntime &fleet);

private:
  /// How long a restarted node waits at most for the store.
  static constexpr base::Duration MaxStoreWait = std::chrono::seconds(1);
  static constexpr base::Duration MaxAcknowledgementDelay =
      std::chrono::milliseconds(500);
  /// How long a restarted node tells its peers that it may lack departures. By
  /// then the targets that have left are gone.
  static constexpr base::Duration MaxTimeIncomplete = std::chrono::seconds(10);

  void endRecall(const peer::FleetRuntime &fleet);
  void restore(const fleet::Departures &departures, std::string_view source);

  DepartureStore Store;
  admission::TargetLeases *Leases;
  std::function<void()> OnChanged;
  bool IsRecalling = false;
  bool IsStorePrompt = false; ///< The store answered within MaxStoreWait.
  /// The departures include all of the earlier processes.
  bool IsComplete = true;
  base::TimePoint RecallingSince{};
  base::TimePoint LastTick{};
  std::shared_ptr<bool> LifetimeToken = std::make_shared<bool>(true);
};

} // namespace radishcross::node
