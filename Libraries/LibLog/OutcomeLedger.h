#pragma once

#include <LibLog/Fold.h>
#include <LibLog/StateHash.h>

#include <boost/json/value.hpp>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

namespace radishcross::log {

/// Outcomes of the latest change records by record id. A record with an id in
/// the ledger is a duplicate and is not applied again.
class OutcomeLedger {
public:
  /// Adds the outcome of a new id and drops the oldest beyond MaximumOutcomes.
  void add(RecordOutcome outcome);

  /// Returns the outcome of \p recordId, or null if there is none.
  const RecordOutcome *find(std::string_view recordId) const;

  uint64_t hash() const { return ElementHashes.value(); }
  boost::json::value save() const;
  static std::optional<OutcomeLedger> load(const boost::json::value &from,
                                           base::LastReason &reason);

private:
  std::deque<RecordOutcome> Outcomes;
  /// Positions in Outcomes, counting those that were dropped.
  std::unordered_map<std::string, uint64_t> IndexById;
  uint64_t DroppedCount = 0;
  StateHash ElementHashes;
};

/// Convert an outcome to JSON and back.
boost::json::value saveOutcome(const RecordOutcome &outcome);
std::optional<RecordOutcome> loadOutcome(const boost::json::value &from,
                                         base::LastReason &reason);

/// Returns a hash of all fields of \p outcome.
uint64_t hashOf(const RecordOutcome &outcome);

} // namespace radishcross::log
