#pragma once

#include <LibFleet/Recovery.h>
#include <LibTrace/Player.h>

#include <optional>

namespace radishcross::fleet {

/// Replays a node's recovery. Decided: 1 when the node serves, 1 when it reads
/// the log itself.
class RecoveryPlayer final : public trace::Player {
public:
  enum Event : uint8_t {
    SetUp,   ///< Numbers: the grace in microseconds, whether there are seeds.
    LogRead, ///< Numbers: reached, first, end.
    Reevaluate, ///< Numbers: in force, served locally, served anywhere; or -1.
  };

  trace::Outcome play(const trace::Entry &entry) override;
  std::string_view eventName(uint8_t event) const override;

  /// Each returns an entry without its outcome.
  static trace::Entry setUp(const RecoverySettings &settings,
                            base::TimePoint now);
  static trace::Entry logRead(bool reached, log::Offset first, log::Offset end,
                              base::TimePoint now);
  static trace::Entry reevaluate(const RecoveryView &view, base::TimePoint now);
  static trace::Outcome outcomeOf(const Recovery &recovery);

private:
  std::optional<Recovery> Replayed;
};

} // namespace radishcross::fleet
