#include <LibCalls/RefusingTargets.h>

#include <doctest/doctest.h>
#include <iostream>
#include <string>

using namespace radishcross;
using namespace radishcross::calls::testing;

namespace {

using Settings = RefusingTargets::Settings;

/// 66 callers and targets whose times differ by three times, at \p percent of
/// what they can run.
Settings mixed(size_t targets, int64_t percent) {
  constexpr int64_t MeanSpeed = 116;
  Settings out;
  out.Callers = 66;
  out.Targets = targets;
  out.RefusedPercent = 0;
  out.Speeds = {67, 100, 200, 80, 150, 100};
  const auto slots = static_cast<int64_t>(targets) * out.Slots;
  out.Interval = out.Work * MeanSpeed / slots / percent;
  out.Length = 24s;
  return out;
}

/// The same with work that takes long for its objective now and then, and
/// targets that are slow at times. Clients come back.
Settings uneven(int64_t percent) {
  auto out = mixed(36, percent);
  out.Noise = 600ms;
  out.HasTails = true;
  out.Work = out.Work * 3 / 2;
  out.Interval = out.Interval * 3 / 2;
  out.ComesBack = true;
  return out;
}

RefusingTargets::Totals play(const std::string &name, const Settings &load) {
  auto out = RefusingTargets(load).run();
  std::cout << name << ": calls=" << out.Calls
            << " in_objective=" << out.Answered
            << " late=" << out.Latencies.size() - out.Answered
            << " patient=" << out.PatientAnswered << "/" << out.Patient
            << " lost_below=" << out.LostBelow << " mean_us=" << out.mean()
            << " longest_refusal_ms=" << out.LongestRefusal / 1ms << '\n';
  return out;
}

struct Row {
  std::string Name;
  Settings Load;
  uint64_t LeastPercent; ///< Of the calls that are to meet their objective.
};

} // namespace

TEST_CASE(
    "calls meet their objective under any load that the targets can run") {
  auto wave = mixed(36, 75);
  wave.Rates = {60, 80, 100, 120, 130, 120, 100, 90};
  auto burst = mixed(36, 70);
  burst.Rates = {100, 100, 170, 100, 100, 100, 100, 100};
  auto noisy = mixed(36, 75);
  noisy.Noise = 600ms;
  auto tails = mixed(21, 70);
  tails.HasTails = true; // 3% of the work is longer than the objective.
  auto impatient = mixed(36, 95);
  impatient.ImpatientPercent = 30;
  const Row rows[] = {
      {"wave", wave, 98},           {"burst of 1.7", burst, 98},
      {"noise", noisy, 98},         {"tails", tails, 96},
      {"impatient", impatient, 98}, {"4 targets", mixed(4, 75), 98}};
  for (const auto &row : rows) {
    CAPTURE(row.Name);
    auto load = row.Load;
    load.ComesBack = true;
    const auto out = play(row.Name, load);
    CHECK(out.Answered * 100 >= out.Calls * row.LeastPercent);
    // Impatient clients don't push out patient ones.
    CHECK(out.PatientAnswered * 100 >= out.Patient * row.LeastPercent);
    CHECK(out.LongestRefusal < 500ms);
  }
}

TEST_CASE(
    "work that waits for nested calls holds its slots more briefly if these "
    "wait only where nothing else is left") {
  for (const int64_t percent : {75, 90, 120}) {
    CAPTURE(percent);
    auto load = uneven(percent);
    load.Below = 9;
    const auto name = "chain " + std::to_string(percent) + "%";
    const auto told = play(name, load);
    load.TellsElsewhere = false;
    const auto untold = play(name + " untold", load);
    CHECK(told.Answered * 100 >= untold.Answered * 102);
    CHECK(told.LostBelow * 1000 <= told.Calls);
  }
}

TEST_CASE("a pace that targets state costs no answers") {
  for (const int64_t percent : {75, 90, 120}) {
    CAPTURE(percent);
    auto load = uneven(percent);
    const auto name = "pace " + std::to_string(percent) + "%";
    const auto untold = play(name + " untold", load);
    load.StatesPace = true;
    const auto told = play(name, load);
    CHECK(told.Answered * 100 >= untold.Answered * 98);
  }
}
