#pragma once

#include <LibCalls/CallPlanner.h>
#include <LibTrace/Player.h>

#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace radishcross::calls {

/// Replays the decisions of a CallPlanner; see CallPlanEvent.
class CallPlanPlayer final : public trace::Player {
public:
  trace::Outcome play(const trace::Entry &entry) override;
  std::string_view eventName(uint8_t event) const override;

private:
  trace::Outcome start(const trace::Entry &entry);
  trace::Outcome target(const trace::Entry &entry);
  trace::Outcome drained(const trace::Entry &entry);
  trace::Outcome begin(const trace::Entry &entry);
  trace::Outcome attemptEnded(const trace::Entry &entry);
  trace::Outcome end(const trace::Entry &entry);
  trace::Outcome nodes(const trace::Entry &entry);
  trace::Outcome tick(const trace::Entry &entry);
  trace::Outcome hedge(const trace::Entry &entry);
  trace::Outcome signalled(const trace::Entry &entry);
  trace::Outcome versionBounds(const trace::Entry &entry);
  trace::Outcome rolloutOrdered(const trace::Entry &entry);
  trace::Outcome rolloutLearned(const trace::Entry &entry);
  trace::Outcome rolloutHalted(const trace::Entry &entry);
  trace::Outcome hedgeLimits(const trace::Entry &entry);

  using Handler = trace::Outcome (CallPlanPlayer::*)(const trace::Entry &);
  static const Handler Handlers[];

  trace::NullRecorder Ignored;
  std::unique_ptr<CallPlanner> Replayed;
  std::map<fleet::NodeId, fleet::Member> Members;
};

} // namespace radishcross::calls
