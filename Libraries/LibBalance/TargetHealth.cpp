#include <LibBalance/TargetHealth.h>

#include <LibBase/Logger.h>

#include <algorithm>
#include <cstdlib>
#include <optional>
#include <string_view>

namespace radishcross::embedded {
extern const std::string_view TargetHealthText;
} // namespace radishcross::embedded

namespace radishcross::balance {

struct TargetHealth::ActionRow {
  std::string Name;
  chart::Machine<TargetHealth>::Action Run;
};

const std::vector<TargetHealth::ActionRow> &TargetHealth::actionTable() {
  static const std::vector<ActionRow> rows = {
      {"clearFailures", &TargetHealth::clearFailures},
      {"countFailure", &TargetHealth::countFailure},
      {"startEjection", &TargetHealth::startEjection},
  };
  return rows;
}

std::vector<std::string> TargetHealth::actionNames() {
  std::vector<std::string> out;
  for (const auto &it : actionTable())
    out.push_back(it.Name);
  return out;
}

namespace {

/// Returns the state chart. It is embedded in the program, so an unsound chart
/// is a defect of the program.
const chart::Chart &healthChart() {
  base::LastReason reason;
  static const auto chart = chart::Chart::create(
      embedded::TargetHealthText, TargetHealth::actionNames(), reason);
  if (chart)
    return *chart;
  base::log(base::LogLevel::Error, "unsound state chart",
            {{"reason", reason.line()}});
  std::abort();
}

} // namespace

TargetHealth::TargetHealth()
    : Machine(healthChart(), [] {
        std::vector<chart::Machine<TargetHealth>::Action> out;
        for (const auto &it : actionTable())
          out.push_back(it.Run);
        return out;
      }()) {}

void TargetHealth::succeeded() { Machine.dispatch(*this, "success"); }

void TargetHealth::failed(base::TimePoint now) {
  Now = now;
  Machine.dispatch(*this, "failure");
  if (Failures >= FailureLimit)
    Machine.dispatch(*this, "limit");
}

void TargetHealth::unreachable(base::TimePoint now) {
  Now = now;
  Machine.dispatch(*this, "failure");
  Machine.dispatch(*this, "limit");
}

bool TargetHealth::tick(base::TimePoint now) {
  return ejected() && now >= EjectedUntil && Machine.dispatch(*this, "expired");
}

void TargetHealth::clearFailures() {
  Failures = 0;
  Ejection = FirstEjection;
}

void TargetHealth::countFailure() { ++Failures; }

void TargetHealth::startEjection() {
  Failures = 0;
  EjectedUntil = Now + Ejection;
  Ejection = std::min(Ejection * 2, LongestEjection);
}

} // namespace radishcross::balance
