#pragma once

#include <LibFleet/Spreader.h>
#include <LibTrace/Player.h>

#include <optional>
#include <vector>

namespace radishcross::fleet {

/// Replays a node's spreader. Next decides {kind of the pull + 1 or 0, hash of
/// its peer, 1 for a read, its wait in microseconds}; other events decide
/// nothing.
class SpreaderPlayer final : public trace::Player {
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

  /// Each returns an entry; those of Next carry their outcome.
  static trace::Entry setUp(uint64_t seed, base::TimePoint now);
  static trace::Entry next(const SpreadView &view,
                           const std::vector<SpreadAction> &actions,
                           base::TimePoint now);
  static trace::Entry readDone(bool reached, bool hasRecords,
                               base::TimePoint now);
  static trace::Entry pullDone(const NodeId &peer, PullOutcome outcome,
                               base::Duration retryAfter, base::TimePoint now);
  static trace::Entry requestRead(base::TimePoint now);

private:
  std::optional<Spreader> Replayed;
};

} // namespace radishcross::fleet
