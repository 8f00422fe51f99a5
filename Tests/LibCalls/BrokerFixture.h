#pragma once

#include <LibCalls/Broker.h>
#include <LibCalls/CallFixtures.h>

#include <doctest/doctest.h>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace radishcross::calls::testing {

/// A broker of node "n0" in dc1, with an idempotent lookup route, a payment
/// route and two targets.
struct BrokerFixture {
  explicit BrokerFixture(trace::Recorder *recorder = nullptr,
                         const balance::FeatureToggles &toggles = {})
      : Node({"n0", "dc1", "south", 1, 1min, {}, toggles}, Quarantined,
             recorder ? *recorder : Recorder) {
    config::VersionContent content;
    content.Services = {{"lookup", {}}};
    config::Route lookup{"lookup", {{}, "", "/lookup"}, "lookup"};
    lookup.CallRank = Rank::Standard;
    lookup.Idempotent = true;
    config::Route payment{"payment", {{"POST"}, "", "/pay"}, "lookup"};
    payment.CallRank = Rank::Critical;
    content.Routes = {lookup, payment};
    base::LastReason reason;
    auto built = config::Snapshot::create(
        {{"badges", 1,
          std::make_shared<const config::VersionContent>(content)}},
        1, reason);
    REQUIRE(built);
    InForce = *built;
    members({member("n1"), member("n2")});
    Node.setOnResumed([this](CallHandle call, const CallStep &step) {
      Resumed.insert_or_assign(call, step);
    });
  }

  void members(const std::vector<fleet::Member> &list) {
    Node.membersChanged(list, at(Now));
  }
  /// Advances the clock while the node ticks every 500 ms.
  void pass(base::Duration time) {
    const auto until = Now + time;
    for (; Now < until; Now += 500ms)
      Node.tick(at(Now));
    Now = until;
    Node.tick(at(Now));
  }
  CallHandle begin(const std::string &path, CallRequest request = {}) {
    request.Method = "POST";
    request.Path = path;
    return Node.begin(request, InForce, at(Now));
  }
  CallHandle pay(const std::string &key, uint64_t fingerprint = 1,
                 bool fromMesh = false) {
    CallRequest request;
    request.IdempotencyKey = key;
    request.Fingerprint = fingerprint;
    request.FromMesh = fromMesh;
    return begin("/pay", std::move(request));
  }
  CallStep stepOf(CallHandle call) { return Node.step(call); }
  CallStep end(CallHandle call, AttemptEnd how,
               ResultCode code = ResultCode::Ok) {
    return Node.attemptEnded(call, ends(how, code), at(Now));
  }
  /// Runs one call to its end; each of its attempts ends with \p how.
  CallStep run(const std::string &path, AttemptEnd how,
               ResultCode code = ResultCode::Ok) {
    const auto call = begin(path);
    auto step = Node.step(call);
    for (Sends = 0; step.What == CallStep::Kind::Send; ++Sends)
      step = end(call, how, code);
    Node.end(call, at(Now));
    return step;
  }

  trace::NullRecorder Recorder;
  Quarantine Quarantined{Recorder};
  Broker Node;
  config::SnapshotPointer InForce;
  base::Duration Now = 100s;
  int Sends = 0;
  std::map<CallHandle, CallStep> Resumed;
};

inline void checkFinish(const CallStep &step, CallOutcome outcome,
                        ResultCode code) {
  CHECK(step.What == CallStep::Kind::Finish);
  CHECK(step.Outcome == outcome);
  CHECK(step.Code == code);
}

inline void checkAnswered(const CallStep &step) {
  checkFinish(step, CallOutcome::Answered, ResultCode::Ok);
}

inline void checkUnknown(const CallStep &step,
                         ResultCode code = ResultCode::CallOutcomeUnknown) {
  checkFinish(step, CallOutcome::Unknown, code);
}

inline void checkNotRun(const CallStep &step, ResultCode code) {
  checkFinish(step, CallOutcome::NotRun, code);
}

} // namespace radishcross::calls::testing
