#include <LibConfig/ContentRepair.h>
#include <LibConfig/Snapshot.h>

#include <algorithm>
#include <doctest/doctest.h>
#include <memory>
#include <string>

using namespace radishcross;
using config::ConfigurationVersion;
using config::VersionContent;

namespace {

config::Route routeTo(const std::string &name, const std::string &service,
                      const std::string &prefix) {
  config::Route out;
  out.Name = name;
  out.Service = service;
  out.Match.PathPrefix = prefix;
  return out;
}

ConfigurationVersion version(const std::string &name, VersionContent content) {
  return {name, 1, std::make_shared<const VersionContent>(std::move(content))};
}

} // namespace

TEST_CASE("a repaired version can be in force and keeps what was valid") {
  VersionContent content;
  content.Services = {{"a", {}}, {"a", {}}};
  content.Routes = {routeTo("r", "a", "/a"), routeTo("r", "gone", "/b"),
                    routeTo("s", "a", "/a")};
  base::LastReason reason;
  REQUIRE_FALSE(config::Snapshot::create({version("x", content)}, 1, reason));
  CHECK(config::repairContent(content).size() == 4);
  auto snapshot = config::Snapshot::create({version("x", content)}, 1, reason);
  REQUIRE_MESSAGE(snapshot, reason.text());
  CHECK((*snapshot)->findRoute("GET", "", "/a").Matched->Name == "r");
  CHECK((*snapshot)->findRoute("GET", "", "/b").Matched->Name == "r~2");
  CHECK((*snapshot)->findService("x/gone"));
  CHECK(config::repairContent(content).empty());
}
