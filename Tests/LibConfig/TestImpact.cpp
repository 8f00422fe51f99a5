#include <LibConfig/Impact.h>
#include <LibConfig/VersionContentCodec.h>

#include <boost/json/parse.hpp>
#include <doctest/doctest.h>
#include <memory>
#include <string>

using namespace radishcross;
using config::compareImpact;

namespace {

config::SnapshotPointer snapshotOf(std::string_view document) {
  base::LastReason reason;
  auto content =
      config::decodeVersionContent(boost::json::parse(document), reason);
  REQUIRE_MESSAGE(content, reason.text());
  auto held = std::make_shared<const config::VersionContent>(*content);
  auto out = config::Snapshot::create({{"c", 1, held}}, 1, reason);
  REQUIRE_MESSAGE(out, reason.text());
  return *out;
}

constexpr std::string_view ServicesJson =
    R"("services":[{"name":"s"},{"name":"t"}])";

std::string documentWith(std::string_view routes) {
  return "{" + std::string(ServicesJson) + ",\"routes\":[" +
         std::string(routes) + "]}";
}

const std::string PayRoute =
    R"({"name":"pay","service":"s","rank":"critical",)"
    R"("match":{"methods":["POST","PUT"],"path_prefix":"/pay"}})";
const std::string LookRoute =
    R"({"name":"look","service":"s","rank":"standard",)"
    R"("match":{"path_prefix":"/look"}})";

config::Usage usageOf(std::string_view text) {
  base::LastReason reason;
  auto out = config::decodeUsage(boost::json::parse(text), reason);
  REQUIRE(out);
  return *out;
}

const std::string BusyUsage =
    R"({"routes":[{"route":"c/pay","calls_per_second":12.5,"rank":"critical"},)"
    R"({"route":"c/look","calls_per_second":40}],"services":[{"service":"c/s",)"
    R"("targets":3,"queue_length":30,"retry_percent":4}]})";

} // namespace

TEST_CASE("lost routes are reported with their calls by rank") {
  auto current = snapshotOf(documentWith(PayRoute + "," + LookRoute));
  auto usage = usageOf(BusyUsage);
  CHECK(compareImpact(*current, *current, usage).isHarmless());
  auto impact =
      compareImpact(*current, *snapshotOf(documentWith(LookRoute)), usage);
  REQUIRE(impact.LostRoutes.size() == 1);
  CHECK(impact.LostRoutes[0].Name == "c/pay");
  CHECK(impact.LostCallsPerSecond[0] == 12.5);
  CHECK(impact.LostCallsPerSecond[1] == 0);
  // Losing one of two methods counts as losing the route.
  auto half = snapshotOf(
      documentWith(R"({"name":"pay","service":"s","rank":"critical",)"
                   R"("match":{"methods":["POST"],"path_prefix":"/pay"}},)" +
                   LookRoute));
  CHECK(compareImpact(*current, *half, usage).LostRoutes.size() == 1);
  // Losing a route without calls is harmless.
  CHECK(compareImpact(
            *current, *snapshotOf(documentWith(PayRoute)),
            usageOf(R"({"routes":[{"route":"c/look","calls_per_second":0}]})"))
            .isHarmless());
}

TEST_CASE("a renamed route that matches the same requests is not lost") {
  auto current = snapshotOf(documentWith(LookRoute));
  auto renamed = snapshotOf(
      documentWith(R"({"name":"all","service":"s","rank":"standard"})"));
  CHECK(compareImpact(*current, *renamed, usageOf(BusyUsage)).isHarmless());
  auto demoted = snapshotOf(documentWith(R"({"name":"all","service":"s"})"));
  auto impact = compareImpact(*current, *demoted, usageOf(BusyUsage));
  REQUIRE(impact.DemotedRoutes.size() == 1);
  CHECK(impact.DemotedRoutes[0].Name == "c/look");
}

TEST_CASE("calls moved to a service without targets are reported") {
  auto current = snapshotOf(documentWith(LookRoute));
  auto moved = snapshotOf(
      documentWith(R"({"name":"look","service":"t","rank":"standard",)"
                   R"("match":{"path_prefix":"/look"}})"));
  auto impact = compareImpact(*current, *moved, usageOf(BusyUsage));
  CHECK(impact.WithoutTargets == std::vector<std::string>{"c/t"});
  auto usage = usageOf(BusyUsage);
  CHECK(config::servicesLosingLastTarget(usage, {{"c/s", 2}, {"c/x", 1}})
            .empty());
  CHECK(config::servicesLosingLastTarget(usage, {{"c/s", 3}}) ==
        std::vector<std::string>{"c/s"});
}

TEST_CASE(
    "a split's service without targets is reported unless its weight is 0") {
  auto current = snapshotOf(documentWith(LookRoute));
  auto split = [](const std::string &weight) {
    return snapshotOf(
        documentWith(R"({"name":"look","rank":"standard","split":[)"
                     R"({"service":"s","weight":9},)"
                     R"({"service":"t","weight":)" +
                     weight + R"(}],"match":{"path_prefix":"/look"}})"));
  };
  CHECK(
      compareImpact(*current, *split("1"), usageOf(BusyUsage)).WithoutTargets ==
      std::vector<std::string>{"c/t"});
  CHECK(compareImpact(*current, *split("0"), usageOf(BusyUsage)).isHarmless());
}

TEST_CASE("a limit lowered below its current usage is reported") {
  auto limits = [](std::string_view text) {
    return snapshotOf(R"({"services":[{"name":"s","limits":)" +
                      std::string(text) + "}]}");
  };
  auto current = limits(R"({"queue_length":64,"retry_budget_percent":10})");
  auto impact = compareImpact(
      *current, *limits(R"({"queue_length":20,"retry_budget_percent":5})"),
      usageOf(BusyUsage));
  REQUIRE(impact.TightenedLimits.size() == 1);
  CHECK(impact.TightenedLimits[0].Limit == "queue_length");
  CHECK(impact.TightenedLimits[0].InUse == 30);
  CHECK(impact.TightenedLimits[0].Proposed == 20);
  auto text = config::encodeImpact(impact);
  CHECK(text.at("harmless") == false);
  CHECK(text.at("tightened_limits").at(0).at("service") == "c/s");
  CHECK(compareImpact(*current, *limits(R"({"queue_length":30})"),
                      usageOf(BusyUsage))
            .isHarmless());
}

TEST_CASE("usage is decoded leniently and summed over nodes") {
  base::LastReason reason;
  for (const char *text : {"[]", R"({"routes":1})", R"({"services":{}})"})
    CHECK_FALSE(config::decodeUsage(boost::json::parse(text), reason));
  auto odd = usageOf(R"({"routes":[{"route":"a","calls_per_second":-1},7,)"
                     R"({"route":"b","calls_per_second":"x"}],)"
                     R"("services":[{"service":"s","targets":1e30}]})");
  CHECK(odd.CallsPerSecond.at("a") == 0);
  CHECK(odd.Services.at("s").Targets == UINT32_MAX);
  auto sum = usageOf(BusyUsage);
  sum.add(usageOf(BusyUsage));
  CHECK(sum.CallsPerSecond.at("c/pay") == 25);
  CHECK(sum.Services.at("c/s").Targets == 6);
  CHECK(sum.Services.at("c/s").QueueLength == 30);
  // Without data on targets, no service is reported as without targets.
  auto calls =
      usageOf(R"({"routes":[{"route":"c/look","calls_per_second":1}]})");
  CHECK(compareImpact(
            *snapshotOf(documentWith(LookRoute)),
            *snapshotOf(documentWith(R"({"name":"look","service":"t",)"
                                     R"("rank":"standard",)"
                                     R"("match":{"path_prefix":"/look"}})")),
            calls)
            .isHarmless());
}
