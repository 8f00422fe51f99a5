#pragma once

#include <LibBase/EnumNames.h>

#include <array>
#include <cstdint>
#include <string>

namespace radishcross::trace {

/// The decision modules whose inputs and outcomes are recorded.
enum class Module : uint8_t {
  Fold,
  Snapshot,
  Membership,
  Spreader,
  Recovery,
  TargetLease,
  Admission,
  TargetChoice,
  TargetHealth,
  RetryBudget,
  CallPlan,
  Idempotency,
  Quarantine,
};

constexpr base::EnumName<Module> ModuleNames[] = {
    {Module::Fold, "fold"},
    {Module::Snapshot, "snapshot"},
    {Module::Membership, "membership"},
    {Module::Spreader, "spreader"},
    {Module::Recovery, "recovery"},
    {Module::TargetLease, "target-lease"},
    {Module::Admission, "admission"},
    {Module::TargetChoice, "target-choice"},
    {Module::TargetHealth, "target-health"},
    {Module::RetryBudget, "retry-budget"},
    {Module::CallPlan, "call-plan"},
    {Module::Idempotency, "idempotency"},
    {Module::Quarantine, "quarantine"},
};

constexpr size_t InputCount = 6;
constexpr size_t OutcomeCount = 4;

/// The set-up event of a module whose table of events has one. Modules that a
/// RingRecorder can start from a later set-up entry put their whole state into
/// it and may record it again at any time.
constexpr uint8_t SetUpEvent = 0;

using Inputs = std::array<int64_t, InputCount>;
using Outcome = std::array<int64_t, OutcomeCount>;

/// One input event of a decision module and the decision it made. Each module
/// defines the meaning of the numbers; see its player. A plain value, so
/// recording on a hot path costs one copy.
struct Entry {
  int64_t AtMicroseconds = 0;
  Module Source = Module::Fold;
  uint8_t Event = 0; ///< Index into the module's table of events.
  Inputs Numbers{};  ///< Numeric inputs of the event.
  std::string Text;  ///< Text or bytes of the event, such as a record.
  Outcome Decided{}; ///< Numeric outcome of the decision.

  bool operator==(const Entry &) const = default;
};

} // namespace radishcross::trace
