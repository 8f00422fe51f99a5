#include <LibBase/Random.h>
#include <LibConfig/ExternalConfiguration.h>

#include <doctest/doctest.h>
#include <string>

using namespace radishcross;
using base::ResultCode;
using config::ExternalConfiguration;

namespace {

/// A version with one service named after it and a route to it.
config::ExternalVersion versionOf(uint64_t number) {
  config::ExternalVersion out;
  out.Version = number;
  std::string service = "s" + std::to_string(number);
  out.Content.Services.push_back({service, {}});
  config::Route route;
  route.Name = "r";
  route.Service = service;
  out.Content.Routes.push_back(route);
  return out;
}

std::string serviceHeld(const ExternalConfiguration &held) {
  return held.current().Content->Services.at(0).Name;
}

} // namespace

TEST_CASE("nothing is held before the first version") {
  ExternalConfiguration held;
  CHECK(held.version() == 0);
  CHECK_FALSE(held.current().Content);
  CHECK(held.current().Configuration == config::ExternalConfigurationName);
}

TEST_CASE("a higher number wins and a lower or equal one changes nothing") {
  ExternalConfiguration held;
  base::LastReason reason;
  CHECK(held.update(versionOf(7), reason));
  auto kept = held.current().Content;
  for (uint64_t number : {0, 1, 6, 7}) {
    CHECK_FALSE(held.update(versionOf(number), reason));
    CHECK(reason.code() == ResultCode::StaleBase);
    CHECK(held.version() == 7);
    CHECK(held.current().Content == kept);
  }
  CHECK(held.update(versionOf(19), reason));
  CHECK(held.version() == 19);
  CHECK(serviceHeld(held) == "s19");
}

TEST_CASE("a version that is not closed in itself changes nothing at all") {
  ExternalConfiguration held;
  base::LastReason reason;
  REQUIRE(held.update(versionOf(3), reason));
  auto dangling = versionOf(4);
  dangling.Content.Routes.push_back(dangling.Content.Routes[0]);
  dangling.Content.Routes[1].Match.PathPrefix = "/b/";
  dangling.Content.Routes[1].Service = "gone";
  CHECK_FALSE(held.update(dangling, reason));
  CHECK(reason.code() == ResultCode::DanglingReference);
  auto part = versionOf(5);
  part.Content.Routes[0].Split = {{"s5", 1}, {"gone", 1}};
  CHECK_FALSE(held.update(part, reason));
  auto twice = versionOf(6);
  twice.Content.Routes.push_back(twice.Content.Routes[0]);
  CHECK_FALSE(held.update(twice, reason));
  CHECK(reason.code() == ResultCode::AmbiguousRoute);
  CHECK(held.version() == 3);
  CHECK(serviceHeld(held) == "s3");
  // Its number is not used up.
  CHECK(held.update(versionOf(4), reason));
}

TEST_CASE("whatever the order of arrival, the highest number is held") {
  base::Random random(11);
  for (int round = 0; round < 500; ++round) {
    ExternalConfiguration held;
    base::LastReason reason;
    uint64_t highest = 0;
    for (int i = 0; i < 20; ++i) {
      uint64_t number = random.below(40);
      bool isNewer = number > highest;
      REQUIRE(held.update(versionOf(number), reason) == isNewer);
      highest = isNewer ? number : highest;
      REQUIRE(held.version() == highest);
      if (highest > 0)
        REQUIRE(serviceHeld(held) == "s" + std::to_string(highest));
    }
  }
}
