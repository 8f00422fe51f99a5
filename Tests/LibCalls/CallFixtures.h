#pragma once

#include <LibBase/Clock.h>
#include <LibCalls/CallBroker.h>
#include <LibConfig/Snapshot.h>
#include <LibFleet/Member.h>
#include <LibTrace/Recorder.h>

#include <memory>
#include <string>
#include <vector>

namespace radishcross::calls::testing {

using namespace std::chrono_literals;
using base::ResultCode;
using config::Rank;
using fleet::TargetState;

constexpr std::string_view Lookup = "badges/lookup";

/// Returns the time \p passed after the start of a test.
inline base::TimePoint at(base::Duration passed) {
  return base::TimePoint{} + passed;
}

inline fleet::TargetRecord target(const std::string &id, uint32_t slots = 9,
                                  TargetState state = TargetState::Ready) {
  fleet::TargetRecord out;
  out.Service = Lookup;
  out.TargetId = id;
  out.State = state;
  out.Slots = slots;
  out.Connections = 120;
  return out;
}

/// Returns a member with one ready target "t", and with a new revision.
inline fleet::Member member(const std::string &node,
                            const std::string &dataCentre = "dc1",
                            TargetState state = TargetState::Ready) {
  static uint64_t revision = 0;
  fleet::Member out;
  out.Revision = ++revision;
  out.Identity.Id = node;
  out.Identity.DataCentre = dataCentre;
  out.Identity.Region = "south";
  out.Identity.Mesh = {"127.0.0.1", 7000};
  out.Targets.push_back(target("t", 9, state));
  return out;
}

inline AttemptResult ends(AttemptEnd end, ResultCode code = ResultCode::Ok) {
  AttemptResult out;
  out.End = end;
  out.Code = code;
  out.Latency = 10ms;
  return out;
}

/// Stores every entry for replay.
class KeepingRecorder final : public trace::Recorder {
public:
  void record(trace::Entry entry) override {
    Entries.push_back(std::move(entry));
  }
  std::vector<trace::Entry> Entries;
};

} // namespace radishcross::calls::testing
