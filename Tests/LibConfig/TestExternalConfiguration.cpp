#include <LibBase/Random.h>
#include <LibConfig/ExternalConfiguration.h>

#include <doctest/doctest.h>
#include <string>

using namespace radishcross;
using base::ResultCode;
using config::ExternalConfiguration;

namespace {

/// Returns a version with one service, named after \p number, and a route to
/// it.
config::ExternalVersion makeVersion(uint64_t number) {
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

std::string currentService(const ExternalConfiguration &configuration) {
  return configuration.current().Content->Services.at(0).Name;
}

} // namespace

TEST_CASE("the external configuration is empty before the first version") {
  ExternalConfiguration configuration;
  CHECK(configuration.version() == 0);
  CHECK_FALSE(configuration.current().Content);
  CHECK(configuration.current().Configuration ==
        config::ExternalConfigurationName);
}

TEST_CASE("only a higher version number replaces the current version") {
  ExternalConfiguration configuration;
  base::LastReason reason;
  CHECK(configuration.update(makeVersion(7), reason));
  auto kept = configuration.current().Content;
  for (uint64_t number : {0, 1, 6, 7}) {
    CHECK_FALSE(configuration.update(makeVersion(number), reason));
    CHECK(reason.code() == ResultCode::StaleBase);
    CHECK(configuration.version() == 7);
    CHECK(configuration.current().Content == kept);
  }
  CHECK(configuration.update(makeVersion(19), reason));
  CHECK(configuration.version() == 19);
  CHECK(currentService(configuration) == "s19");
}

TEST_CASE("a version that is invalid on its own is rejected as a whole") {
  ExternalConfiguration configuration;
  base::LastReason reason;
  REQUIRE(configuration.update(makeVersion(3), reason));
  auto dangling = makeVersion(4);
  dangling.Content.Routes.push_back(dangling.Content.Routes[0]);
  dangling.Content.Routes[1].Match.PathPrefix = "/b/";
  dangling.Content.Routes[1].Service = "gone";
  CHECK_FALSE(configuration.update(dangling, reason));
  CHECK(reason.code() == ResultCode::DanglingReference);
  auto part = makeVersion(5);
  part.Content.Routes[0].Split = {{"s5", 1}, {"gone", 1}};
  CHECK_FALSE(configuration.update(part, reason));
  auto twice = makeVersion(6);
  twice.Content.Routes.push_back(twice.Content.Routes[0]);
  CHECK_FALSE(configuration.update(twice, reason));
  CHECK(reason.code() == ResultCode::AmbiguousRoute);
  CHECK(configuration.version() == 3);
  CHECK(currentService(configuration) == "s3");
  // A rejected version does not use up its number.
  CHECK(configuration.update(makeVersion(4), reason));
}

TEST_CASE("the highest version number wins in any order of arrival") {
  base::Random random(11);
  for (int round = 0; round < 500; ++round) {
    ExternalConfiguration configuration;
    base::LastReason reason;
    uint64_t highest = 0;
    for (int i = 0; i < 20; ++i) {
      uint64_t number = random.below(40);
      bool isNewer = number > highest;
      REQUIRE(configuration.update(makeVersion(number), reason) == isNewer);
      highest = isNewer ? number : highest;
      REQUIRE(configuration.version() == highest);
      if (highest > 0)
        REQUIRE(currentService(configuration) == "s" + std::to_string(highest));
    }
  }
}
