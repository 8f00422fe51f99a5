#include <LibConfig/VersionReconciler.h>

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

std::shared_ptr<const config::Snapshot>
reconciled(std::vector<ConfigurationVersion> versions) {
  base::LastReason reason;
  REQUIRE_FALSE(config::Snapshot::create(versions, 1, reason));
  CHECK_FALSE(config::reconcileVersions(versions, "external").empty());
  auto out = config::Snapshot::create(std::move(versions), 1, reason);
  REQUIRE_MESSAGE(out, reason.text());
  return *out;
}

} // namespace

TEST_CASE("a tenant's name in two configurations keeps neither out of force") {
  // Guards against a version of the platform's operator that is never in force
  // because a published one has a tenant of the same name (CONFIG).
  VersionContent published;
  published.Tenants = {{"acme", {"key-1", "shared"}, {}, 9}};
  VersionContent external;
  external.Services = {{"a", {}}};
  external.Routes = {routeTo("new", "a", "/new")};
  external.Tenants = {{"acme", {"key-2"}, {}, 5}, {"other", {"shared"}}};
  for (const char *name : {"alpha", "team"}) {
    auto snapshot =
        reconciled({version(name, published), version("external", external)});
    CHECK(snapshot->findRoute("GET", "", "/new").Matched);
    size_t count = 0;
    for (const auto &it : snapshot->versions())
      for (const auto &tenant : it.Content->Tenants) {
        ++count;
        if (tenant.Name != "acme")
          continue;
        CHECK(tenant.RatePerSecond == 5);
        CHECK(tenant.KeyHashes == std::vector<std::string>{"key-2", "key-1"});
      }
    CHECK(count == 2);
  }
}

TEST_CASE("an equal match in two configurations keeps neither out of force") {
  // Guards against two operators' routes that keep a version out of force.
  VersionContent published;
  published.Services = {{"p", {}}};
  published.Routes = {routeTo("r", "p", "/both"), routeTo("s", "p", "/team")};
  VersionContent external;
  external.Services = {{"a", {}}};
  external.Routes = {routeTo("r", "a", "/both")};
  auto snapshot =
      reconciled({version("alpha", published), version("external", external)});
  CHECK(snapshot->findRoute("GET", "", "/both").ServiceName == "external/a");
  CHECK(snapshot->findRoute("GET", "", "/team").ServiceName == "alpha/p");
}

TEST_CASE("a service that the operator removes keeps no version out of force") {
  // Guards against a published route that pins a version of the operator.
  VersionContent published;
  published.Routes = {routeTo("r", "external/gone", "/team")};
  VersionContent external;
  external.Services = {{"a", {}}};
  external.Routes = {routeTo("r", "a", "/a")};
  auto snapshot =
      reconciled({version("team", published), version("external", external)});
  CHECK(snapshot->findRoute("GET", "", "/team").ServiceName == "external/gone");
  CHECK(snapshot->findRoute("GET", "", "/a").ServiceName == "external/a");
}

TEST_CASE("a configuration with the precedent's name yields to it") {
  VersionContent published;
  published.Services = {{"p", {}}};
  VersionContent external;
  external.Services = {{"a", {}}};
  auto snapshot = reconciled(
      {version("external", published), version("external", external)});
  CHECK(snapshot->findService("external/a"));
  CHECK_FALSE(snapshot->findService("external/p"));
}
