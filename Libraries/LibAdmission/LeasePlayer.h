#pragma once

#include <LibAdmission/TargetLeases.h>
#include <LibTrace/Player.h>

#include <string_view>

namespace radishcross::admission {

/// Replays the leases of a node's targets; see LeaseEvent.
class LeasePlayer final : public trace::Player {
public:
  trace::Outcome play(const trace::Entry &entry) override;
  std::string_view eventName(uint8_t event) const override;

private:
  trace::Outcome announce(const trace::Entry &entry);
  trace::Outcome heartbeat(const trace::Entry &entry);
  void setLifetime(int64_t microseconds);

  trace::NullRecorder Ignored;
  TargetLeases Replayed{Ignored};
};

} // namespace radishcross::admission
