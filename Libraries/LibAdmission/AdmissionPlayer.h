#pragma once

#include <LibAdmission/TargetGate.h>
#include <LibTrace/Player.h>

#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace radishcross::admission {

/// Replays the gates of one node's targets; see AdmissionEvent.
class AdmissionPlayer final : public trace::Player {
public:
  trace::Outcome play(const trace::Entry &entry) override;
  std::string_view eventName(uint8_t event) const override;

private:
  trace::NullRecorder Ignored;
  std::map<std::string, std::unique_ptr<TargetGate>> Gates;
};

} // namespace radishcross::admission
