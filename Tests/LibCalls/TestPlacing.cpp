#include <LibCalls/RefusingTargets.h>

#include <doctest/doctest.h>
#include <iostream>
#include <string>

using namespace radishcross;
using namespace radishcross::calls::testing;

namespace {

/// 66 callers and targets whose times differ by three times.
RefusingTargets::Settings mixed(size_t targets, base::Duration interval) {
  RefusingTargets::Settings out;
  out.Callers = 66;
  out.Targets = targets;
  out.RefusedPercent = 0;
  out.Speeds = {67, 100, 200, 80, 150, 100};
  out.Interval = interval;
  return out;
}

RefusingTargets::Totals play(const std::string &name,
                             const RefusingTargets::Settings &settings) {
  auto out = RefusingTargets(settings).run();
  std::cout << name << (settings.StatesTime ? "" : " untold")
            << ": calls=" << out.Calls << " in_objective=" << out.Answered
            << " refused_at_gates=" << out.RefusedAtGates
            << " mean_us=" << out.mean() << " p99_us=" << out.percentile99()
            << '\n';
  return out;
}

struct Row {
  std::string Name;
  RefusingTargets::Settings Settings;
};

} // namespace

TEST_CASE("calls placed by the targets' times are refused at fewer gates and "
          "take no longer") {
  auto noisy = mixed(36, 625us);
  noisy.Noise = 600ms;
  const Row rows[] = {
      {"36 targets, 60%", mixed(36, 833us)},
      {"36 targets, 75%", mixed(36, 625us)},
      {"36 targets, 75%, noise", noisy},
      {"4 targets, 75%", mixed(4, 5'600us)},
  };
  for (const auto &row : rows) {
    CAPTURE(row.Name);
    auto settings = row.Settings;
    auto told = play(row.Name, settings);
    settings.StatesTime = false;
    auto untold = play(row.Name, settings);
    CHECK(told.RefusedAtGates * 4 <= untold.RefusedAtGates * 3);
    CHECK(told.Answered >= untold.Answered);
    CHECK(told.mean() <= untold.mean());
    CHECK(told.percentile99() <= untold.percentile99());
  }
}

TEST_CASE("times don't cost answers where the targets are overloaded") {
  auto noisy = mixed(36, 500us);
  noisy.Noise = 600ms;
  const Row rows[] = {{"36 targets, 95%", mixed(36, 500us)},
                      {"36 targets, 105%, noise", noisy},
                      {"4 targets, 95%", mixed(4, 4'500us)}};
  for (const auto &row : rows) {
    CAPTURE(row.Name);
    auto settings = row.Settings;
    auto told = play(row.Name, settings);
    settings.StatesTime = false;
    auto untold = play(row.Name, settings);
    CHECK(told.Answered * 100 >= untold.Answered * 98);
  }
}
