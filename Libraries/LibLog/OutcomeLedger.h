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

/// The outcomes of the last records that change something, by record id. A
/// record whose id is here has been decided and counts no second time.
class OutcomeLedger {
public:
  /// Adds the outcome of a new id; the oldest is forgotten beyond the bound.
  void add(RecordOutcome outcome);

  /// Returns the outcome of \p recordId, or null.
  const RecordOutcome *find(std::string_view recordId) const;

  uint64_t hash() const { return ElementHashes.value(); }
  boost::json::value save() const;
  static std::optional<OutcomeLedger> load(const boost::json::value &from,
                                           base::LastReason &reason);

private:
  std::deque<RecordOutcome> Outcomes;
  std::unordered_map<std::string, uint64_t> IndexById; ///< Counted from ever.
  uint64_t DroppedCount = 0;
  StateHash ElementHashes;
};

/// Returns the JSON form of \p outcome, and reads it.
boost::json::value saveOutcome(const RecordOutcome &outcome);
std::optional<RecordOutcome> loadOutcome(const boost::json::value &from,
                                         base::LastReason &reason);

/// Returns a hash over all fields of \p outcome.
uint64_t hashOf(const RecordOutcome &outcome);

} // namespace radishcross::log
