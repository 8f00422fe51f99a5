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

/// The event that sets a module up where its table of events has one. Modules
/// that a Ring starts anew hold all their state in it and may record it again
/// at any time.
constexpr uint8_t SetUpEvent = 0;

using Inputs = std::array<int64_t, InputCount>;
using Outcome = std::array<int64_t, OutcomeCount>;

/// One event given to a decision module and what the module decided. The
/// meaning of the numbers is the module's own; it stands beside the module's
/// player. A plain value, so that recording on a hot path is one copy.
struct Entry {
  int64_t AtMicroseconds = 0;
  Module Source = Module::Fold;
  uint8_t Event = 0; ///< Index into the module's table of events.
  Inputs Numbers{};  ///< The event's numbers.
  std::string Text;  ///< The event's text, such as a record's bytes.
  Outcome Decided{}; ///< What the module answered.

  bool operator==(const Entry &) const = default;
};

} // namespace radishcross::trace
