#pragma once

#include <LibCalls/Quarantine.h>
#include <LibTrace/Player.h>

#include <string_view>

namespace radishcross::calls {

/// Replays a quarantine. Numbers of a trace entry: fingerprint, lifetime in
/// microseconds. Text: the service. Decided: 1 if the event quarantined,
/// cleared or lifted the fingerprint.
class QuarantinePlayer final : public trace::Player {
public:
  enum Event : uint8_t { Crashed, Cleared, Learned, LearnedSuspicion, Lifted };

  trace::Outcome play(const trace::Entry &entry) override;
  std::string_view eventName(uint8_t event) const override;

private:
  trace::NullRecorder Ignored;
  Quarantine Replayed{Ignored};
};

} // namespace radishcross::calls
