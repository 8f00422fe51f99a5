#pragma once

#include <LibBase/Clock.h>
#include <LibBase/WallClock.h>
#include <LibCalls/Quarantine.h>
#include <LibLog/KeyedStore.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace radishcross::node {

/// A quarantined request as the store keeps it: no content of the request.
struct StoredQuarantine {
  uint64_t Fingerprint = 0;
  std::string ServiceName;
  base::Duration TimeLeft{};
};

/// Returns a fingerprint in hexadecimal.
std::string encodeFingerprint(uint64_t fingerprint);

/// Keeps quarantined requests at the platform's store, from which nodes learn
/// them after a restart of all. They stand in the topic of departures, which a
/// restarted node reads anyway, under keys that no node has.
class QuarantineStore {
public:
  /// Returns the time of day in milliseconds since 1970; tests replace it.
  using UnixTime = std::function<int64_t()>;

  QuarantineStore(log::KeyedStore &store, std::string node,
                  UnixTime unixTime = base::unixMilliseconds);

  /// Stores an entry with the next ticks, and removes it once it has expired.
  void keep(const StoredQuarantine &entry);

  /// Removes an entry, whichever node has stored it.
  void drop(uint64_t fingerprint, std::string_view service);

  /// Writes what has changed, one record at a time.
  void tick(base::TimePoint now);

  /// Returns the entries that have not expired among the records of the topic.
  /// Removes those that this node's earlier process has stored and that have.
  std::vector<StoredQuarantine>
  recall(const std::vector<log::KeyedRecord> &records);

private:
  /// The minimum time between a failed write and the next one, and between two
  /// that succeed: all nodes share the writes that the store allows.
  static constexpr base::Duration RetryInterval = std::chrono::seconds(1);
  static constexpr base::Duration WriteInterval =
      std::chrono::milliseconds(100);
  /// Entries that are kept and not yet written, as many as a node has.
  static constexpr size_t MaximumEntries = calls::Quarantine::MaximumEntries;

  void expire();
  void writeEnded(const std::string &key, const std::string &text,
                  const log::PutAnswer &answer);

  log::KeyedStore *Store;
  std::string Node;
  UnixTime Now;
  std::map<std::string, std::string> Pending; ///< Texts to be written, by key.
  std::map<std::string, int64_t> Kept;        ///< Expiry times, by key.
  bool IsBusy = false;
  base::TimePoint NextWrite{};
  std::shared_ptr<bool> LifetimeToken = std::make_shared<bool>(true);
};

} // namespace radishcross::node
