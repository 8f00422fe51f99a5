#pragma once

#include <LibBase/Clock.h>
#include <LibCalls/Quarantine.h>
#include <LibNode/QuarantineStore.h>

#include <cstdint>
#include <functional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace radishcross::node {

/// Exchanges suspicions and decisions of the quarantine with other nodes as
/// gossip notices. The topic is "quarantine/FINGERPRINT/CRASHES/SERVICE" with
/// the fingerprint and a hash of the service in hexadecimal; the text is the
/// name of the service, or empty if an operator has lifted the entry.
class QuarantineNotices {
public:
  using Publish = std::function<void(std::string topic, std::string text,
                                     base::Duration lifetime)>;

  /// Quarantined requests and lifted ones are kept in \p store too.
  QuarantineNotices(calls::Quarantine &quarantine, QuarantineStore &store);

  /// Publishes what this node has found since the last call.
  void publish(const Publish &publish, base::TimePoint now);

  /// Lifts an entry at all nodes; returns false if there is none here.
  bool lift(uint64_t fingerprint, const Publish &publish, base::TimePoint now);

  /// Handles a received notice; notices of other kinds are ignored.
  void receive(std::string_view topic, std::string_view text,
               base::Duration timeLeft, base::TimePoint now);

  /// Applies what the store has kept, unless it has been lifted since.
  void restore(const std::vector<StoredQuarantine> &entries,
               base::TimePoint now);

private:
  void remember(uint64_t lifted);

  calls::Quarantine *Table;
  QuarantineStore *Store;
  /// Lifted since the start of this process, at most MaximumLifted.
  std::set<uint64_t> Lifted;
  static constexpr size_t MaximumLifted = 1024;
};

} // namespace radishcross::node
