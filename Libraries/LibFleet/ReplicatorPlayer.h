#pragma once

#include <LibFleet/Replicator.h>
#include <LibTrace/Player.h>

#include <optional>
#include <vector>

namespace radishcross::fleet {

/// Replays a node's replicator from a trace. The outcome of Next is {kind of
/// the pull + 1, or 0 for none; hash of its peer; 1 for a read; its wait in
/// microseconds}. Other events have no outcome.
class ReplicatorPlayer final : public trace::Player {
public:
  enum Event : uint8_t {
    SetUp,    ///< Numbers: the seed.
    Next,     ///< Numbers: held, flags, local size. Text: the peers ahead.
    ReadDone, ///< Numbers: reached, has records.
    PullDone, ///< Numbers: outcome, retry-after in microseconds. Text: peer.
    RequestRead,
  };

  trace::Outcome play(const trace::Entry &entry) override;
  std::string_view eventName(uint8_t event) const override;

  /// These return a trace entry; only that of Next has its outcome.
  static trace::Entry setUp(uint64_t seed, base::TimePoint now);
  static trace::Entry next(const ReplicationView &view,
                           const std::vector<ReplicationAction> &actions,
                           base::TimePoint now);
  static trace::Entry readDone(bool reached, bool hasRecords,
                               base::TimePoint now);
  static trace::Entry pullDone(const NodeId &peer, PullOutcome outcome,
                               base::Duration retryAfter, base::TimePoint now);
  static trace::Entry requestRead(base::TimePoint now);

private:
  std::optional<Replicator> Replayed;
};

} // namespace radishcross::fleet
