#pragma once

#include <LibFleet/Recovery.h>
#include <LibTrace/Player.h>

#include <optional>

namespace radishcross::fleet {

/// Replays the recovery of a node from a trace. Outcome: {1 if the node serves,
/// 1 if it reads the log itself}.
class RecoveryPlayer final : public trace::Player {
public:
  enum Event : uint8_t {
    SetUp,   ///< Numbers: JoinGrace in microseconds, whether there are seeds.
    LogRead, ///< Numbers: reached, first, end.
    Reevaluate, ///< Numbers: in force, served locally, served anywhere; -1 for
                ///< none.
  };

  trace::Outcome play(const trace::Entry &entry) override;
  std::string_view eventName(uint8_t event) const override;

  /// These return a trace entry without its outcome.
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
