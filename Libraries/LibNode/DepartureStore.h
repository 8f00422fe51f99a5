#pragma once

#include <LibBase/Clock.h>
#include <LibFleet/Member.h>
#include <LibNode/StoredNodeRecord.h>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <string_view>

namespace radishcross::node {

std::string encodeDepartures(const fleet::Departures &departures);

/// Items that cannot be read are logged and left out.
fleet::Departures decodeDepartures(std::string_view text);

/// Stores the departures of one node's targets at the platform's store before
/// the node acknowledges them, so that the node's next process keeps to what
/// this one has acknowledged even if all nodes restart.
class DepartureStore {
public:
  using Restored = std::function<void(
      const fleet::Departures &, const std::vector<log::KeyedRecord> &others)>;

  /// \p onRestored gets what an earlier process has stored, once the store has
  /// answered, and the other records of the topic.
  DepartureStore(log::KeyedStore &store, std::string node, Restored onRestored);
  ~DepartureStore();
  DepartureStore(const DepartureStore &) = delete;
  DepartureStore &operator=(const DepartureStore &) = delete;

  /// Begins to read the record; until the store has answered it is asked again
  /// and nothing is written.
  void load() { IsLoaded = false; }

  bool isLoaded() const { return IsLoaded; }

  /// Returns whether the store is known to hold the departures.
  bool isStored() const { return IsLoaded && Record.isCurrent(); }

  /// Sets the departures to be stored; the next tick writes them.
  void setDesired(const fleet::Departures &departures);

  void tick(base::TimePoint now);

  /// Returns once the store holds the departures, after \p limit at the latest.
  boost::asio::awaitable<void> awaitStored(base::Duration limit);

private:
  using Waiters = std::set<boost::asio::steady_timer *>;

  void loaded(const StoredNodeRecord::Recalled &recalled);
  void wake();

  Restored OnRestored;
  StoredNodeRecord Record;
  std::string Desired;
  bool IsLoaded = true;
  bool IsLoading = false;
  base::Duration LoadInterval{};
  base::TimePoint LastLoad{};
  /// Shared with the coroutines that wait.
  std::shared_ptr<Waiters> Waiting = std::make_shared<Waiters>();
};

} // namespace radishcross::node
