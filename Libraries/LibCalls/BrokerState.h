#pragma once

#include <LibCalls/Broker.h>
#include <LibCalls/CallPlanner.h>
#include <LibCalls/EndSteps.h>
#include <LibCalls/IdempotencyTable.h>
#include <LibCalls/KeyOwnership.h>
#include <LibCalls/TrafficSplitter.h>

#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>

namespace radishcross::calls {

/// The state of a Broker. KeyedCalls.cpp has the part that runs calls with an
/// idempotency key once.
struct Broker::State {
  State(BrokerSettings settings, Quarantine &quarantine,
        trace::Recorder &recorder)
      : Settings(std::move(settings)), Quarantined(&quarantine),
        Planner({Settings.DataCentre, Settings.Region}, Settings.RandomSeed,
                recorder, Settings.Retries, Settings.Toggles),
        Keys(Settings.KeyWindow, recorder),
        Owners(Settings.Node, Settings.DataCentre, Settings.KeyWindow,
               recorder),
        Randomness(Settings.RandomSeed) {
    if (Settings.Versions)
      Planner.boundVersions(*Settings.Versions);
    if (Settings.Hedges != balance::HedgeSettings())
      Planner.limitHedges(Settings.Hedges);
  }

  struct OpenCall {
    config::SnapshotPointer Snapshot;
    CallStep Step;
    const config::Route *Matched = nullptr; ///< Of Snapshot.
    RoutedCall Route;
    base::TimePoint Deadline{};
    uint64_t Fingerprint = 0; ///< Of the request.
    std::string Key;          ///< Service, caller and idempotency key, if any.
    uint64_t KeyFingerprint = 0; ///< Of the request with Key, host included.
    bool IsFirst = false;        ///< Runs here as the first call of its key.
    /// Answer to be stored for the key, or stored answer to be replayed.
    std::optional<std::string> Answer;
  };

  std::optional<CallStep> route(OpenCall &call, const CallRequest &request,
                                TrafficSplitter &split, base::Random &random,
                                base::TimePoint now) const;
  CallStep plan(CallHandle handle, OpenCall &call, const CallRequest &request,
                base::TimePoint now);
  CallStep planKeyed(CallHandle handle, OpenCall &call,
                     const CallRequest &request, base::TimePoint now);
  CallStep runHere(CallHandle handle, OpenCall &call, base::TimePoint now);
  CallStep forward(const OpenCall &call, const KeyOwnership::Verdict &owner);
  CallStep afterForward(const AttemptResult &result);
  CallStep beginKey(CallHandle handle, OpenCall &call, base::TimePoint now);
  void beginKeyAgain(CallHandle handle, base::TimePoint now);
  void finishKey(OpenCall &call, base::TimePoint now);
  void resumeCall(CallHandle handle, CallStep step);
  void expireWaiters(base::TimePoint now);

  BrokerSettings Settings;
  Quarantine *Quarantined;
  CallPlanner Planner;
  IdempotencyTable Keys; ///< Before Owners: it records the trace's first entry.
  KeyOwnership Owners;
  TrafficSplitter TrafficSplit;
  base::Random Randomness;
  std::unordered_map<CallHandle, OpenCall> Open;
  std::set<CallHandle> Waiting;
  CallHandle LastHandle = 0;
  Resumed OnResumed;
};

} // namespace radishcross::calls
