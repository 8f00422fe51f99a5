#include <LibLog/FoldDriver.h>
#include <LibLog/InvariantChecks.h>

#include <LibConfig/VersionContentCodec.h>

#include <doctest/doctest.h>
#include <memory>
#include <string>
#include <vector>

using namespace radishcross;
using config::ConfigurationVersion;
using log::FleetEvent;
using Events = std::vector<FleetEvent>;
using Kind = FleetEvent::Kind;

namespace {

ConfigurationVersion version(std::string name, uint64_t number,
                             const std::vector<std::string> &services = {"s"},
                             const std::vector<std::string> &routes = {}) {
  base::LastReason reason;
  auto content =
      config::decodeVersionContent(log::contentOf(services, routes), reason);
  REQUIRE_MESSAGE(content, reason.text());
  return {std::move(name), number,
          std::make_shared<const config::VersionContent>(*content)};
}

constexpr int64_t Second = 1'000'000;

FleetEvent accepted(int64_t second, ConfigurationVersion what,
                    std::vector<std::string> nodes) {
  return {Kind::Accepted, second * Second, std::move(nodes), {std::move(what)}};
}

FleetEvent holding(int64_t second, std::string node,
                   std::vector<ConfigurationVersion> what) {
  return {Kind::Holding, second * Second, {std::move(node)}, std::move(what)};
}

FleetEvent stopped(int64_t second, std::string node) {
  return {Kind::Stopped, second * Second, {std::move(node)}, {}};
}

/// Returns the names of the checks that \p events violate.
std::string failed(const Events &events) {
  std::string out;
  for (const auto &it : log::checkInvariants(events))
    out += std::string(it.Check) + ";";
  return out;
}

} // namespace

TEST_CASE("a valid history violates no invariant") {
  auto a1 = version("a", 1);
  auto a2 = version("a", 2, {"s"}, {"r>b/t"});
  auto b1 = version("b", 1, {"t"});
  CHECK(failed({accepted(0, a1, {"n1", "n2"}), holding(1, "n1", {a1}),
                holding(2, "n2", {a1}), accepted(10, b1, {"n1"}),
                accepted(10, a2, {"n1"}), holding(11, "n1", {a2, b1}),
                stopped(12, "n1"), stopped(13, "n2"),
                holding(40, "n1", {a2, b1}), accepted(50, a2, {"n1", "n3"}),
                stopped(51, "n3"), holding(90, "n1", {a2, b1})}) == "");
  CHECK(failed({}) == "");
}

TEST_CASE("each check finds the history that violates its invariant") {
  auto a1 = version("a", 1);
  auto a2 = version("a", 2);
  auto partial = version("a", 2, {});
  auto dangling = version("b", 1, {}, {"r>a/gone"});
  const Events back{accepted(0, a1, {}),    accepted(0, a2, {}),
                    holding(1, "n1", {a2}), holding(1, "n2", {a1}),
                    stopped(2, "n1"),       holding(3, "n1", {a1})};
  CHECK(failed(back) == "never-back;");
  CHECK(log::checkNeverBack(back)->Text ==
        "n1 went from a version 2 back to 1");
  const Events vanished{accepted(0, a1, {}), holding(1, "n1", {a1}),
                        holding(2, "n1", {})};
  CHECK(failed(vanished) == "never-back;");
  const Events unresolved{accepted(0, a1, {}), accepted(0, dangling, {}),
                          holding(1, "n1", {a1, dangling})};
  CHECK(failed(unresolved) == "no-dangling-reference;");
  CHECK(log::checkNoDanglingReference(unresolved)->Text ==
        "n1 holds route b/r without service a/gone");
  CHECK(failed({accepted(0, a2, {}), holding(1, "n1", {partial})}) ==
        "no-partial-version;");
  CHECK(failed({holding(1, "n1", {a1})}) == "no-partial-version;");
}

TEST_CASE("an accepted version that is late or lost is reported") {
  auto a1 = version("a", 1);
  auto a2 = version("a", 2);
  auto late = Events{accepted(0, a1, {"n1"}), holding(1, "n1", {}),
                     holding(16, "n1", {a1})};
  CHECK(failed(late) == "accepted-in-force;");
  CHECK(log::checkAcceptedInForce(late, 15 * Second)->Text ==
        "n1 does not hold a version 1, which was accepted and selects it");
  CHECK(failed({accepted(0, a1, {"n1"}), holding(16, "n2", {})}) ==
        "accepted-in-force;");
  CHECK(failed({accepted(0, a1, {"n1"}), accepted(0, a2, {"n1"}),
                holding(1, "n1", {a2}), holding(9, "n1", {a1})}) ==
        "never-back;accepted-in-force;");
  // The list ends before the time limit, or the node does not serve.
  CHECK(failed({accepted(0, a1, {"n1"}), holding(14, "n1", {})}) == "");
  CHECK(failed({accepted(0, a1, {"n1"}), stopped(14, "n1"),
                holding(60, "n2", {})}) == "");
}
