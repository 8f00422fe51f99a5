#include <LibBase/Random.h>
#include <LibConfig/Snapshot.h>

#include <doctest/doctest.h>
#include <memory>
#include <set>
#include <string>

using namespace radishcross;
using base::ResultCode;
using config::ConfigurationVersion;
using config::Snapshot;

namespace {

config::Route makeRoute(std::string name, std::string service,
                        std::string prefix, std::string host = "",
                        std::vector<std::string> methods = {}) {
  config::Route out;
  out.Name = std::move(name);
  out.Service = std::move(service);
  out.Match = {std::move(methods), std::move(host), std::move(prefix)};
  return out;
}

ConfigurationVersion makeVersion(std::string configuration,
                                 std::vector<std::string> services,
                                 std::vector<config::Route> routes) {
  auto content = std::make_shared<config::VersionContent>();
  for (auto &it : services)
    content->Services.push_back({std::move(it), {}});
  content->Routes = std::move(routes);
  return {std::move(configuration), 3, content};
}

config::SnapshotPointer
makeSnapshot(std::vector<ConfigurationVersion> versions) {
  base::LastReason reason;
  auto out = Snapshot::create(std::move(versions), 42, reason);
  REQUIRE_MESSAGE(out, reason.text());
  return *out;
}

struct RouteLookup {
  std::string_view Method;
  std::string_view Host;
  std::string Path;
  std::string_view Route; ///< Empty: none.
};

} // namespace

TEST_CASE("the longest prefix wins, then the host, then the method") {
  auto snapshot = makeSnapshot({makeVersion(
      "badges", {"s"},
      {makeRoute("root", "s", "/", "city.example"), makeRoute("a", "s", "/a"),
       makeRoute("a-get", "s", "/a", "", {"GET"}),
       makeRoute("a-host", "s", "/a", "city.example"),
       makeRoute("a-b-put", "s", "/a/b", "", {"PUT"})})});
  const RouteLookup table[] = {
      {"GET", "x", "/a", "a-get"},
      {"POST", "x", "/a", "a"},
      {"GET", "city.example", "/a", "a-host"},
      {"GET", "CITY.example:8080", "/a/", "a-host"},
      {"PUT", "city.example", "/a/b", "a-b-put"},
      {"GET", "x", "/a/b/c", "a-get"},
      {"PUT", "x", "/a/b/c?d=/e", "a-b-put"},
      {"POST", "x", "/a?x", "a"},
      {"GET", "x", "/ab", ""},
      {"GET", "x", "/", ""},
      {"GET", "city.example", "/ab", "root"},
      {"GET", "city.example", "", ""},
      {"GET", "city.example", "*", ""},
      {"GET", "x", "/a" + std::string(100000, '/'), "a-get"},
  };
  for (const auto &row : table) {
    CAPTURE(row.Path.substr(0, 40));
    CAPTURE(row.Host);
    auto resolved = snapshot->findRoute(row.Method, row.Host, row.Path);
    CHECK((resolved.Matched ? resolved.Matched->Name : "") == row.Route);
    if (resolved.Matched)
      CHECK(resolved.ServiceName == "badges/s");
  }
}

TEST_CASE("a prefix with a trailing slash matches only paths below it") {
  auto snapshot = makeSnapshot({makeVersion(
      "badges", {"s"},
      {makeRoute("below", "s", "/a/"), makeRoute("deep", "s", "/a/b/c/"),
       makeRoute("same", "s", "/d"), makeRoute("under", "s", "/d/"),
       makeRoute("host", "s", "/d/", "city.example"),
       makeRoute("put", "s", "/e/", "", {"PUT"}),
       makeRoute("any", "s", "/e")})});
  const RouteLookup table[] = {
      {"GET", "x", "/a", ""},
      {"GET", "x", "/a?q=/", ""},
      {"GET", "x", "/a/", "below"},
      {"GET", "x", "/a//", "below"},
      {"GET", "x", "/a/x", "below"},
      {"GET", "x", "/ab/x", ""},
      {"GET", "x", "/a/b/c", "below"},
      {"GET", "x", "/a/b/c/", "deep"},
      {"GET", "x", "/a/b/c/d/e", "deep"},
      {"GET", "x", "/a/b/cd", "below"},
      {"GET", "x", "/d", "same"},
      {"GET", "x", "/d/", "under"},
      {"GET", "x", "/d/x", "under"},
      {"GET", "city.example", "/d/x", "host"},
      {"GET", "city.example", "/d", "same"},
      {"PUT", "x", "/e/x", "put"},
      {"GET", "x", "/e/x", "any"},
      {"GET", "x", "/", ""},
  };
  for (const auto &row : table) {
    CAPTURE(row.Path);
    CAPTURE(row.Host);
    auto resolved = snapshot->findRoute(row.Method, row.Host, row.Path);
    CHECK((resolved.Matched ? resolved.Matched->Name : "") == row.Route);
  }
}

TEST_CASE("the longest of many prefixes wins, as in a linear search") {
  base::Random random(3);
  constexpr std::string_view Segments[] = {"/a", "/b", "/ab", "/"};
  auto pathOf = [&] {
    std::string out;
    for (uint64_t i = 1 + random.below(4); i > 0; --i)
      out += Segments[random.below(std::size(Segments))];
    return out;
  };
  for (int round = 0; round < 200; ++round) {
    std::set<std::string> prefixes;
    for (int i = 0; i < 8; ++i) {
      auto prefix = pathOf();
      if (prefix.find("//") == std::string::npos && prefix != "/")
        prefixes.insert(prefix + (prefix.back() == '/' ? "" : "/"));
    }
    std::vector<config::Route> routes;
    routes.reserve(prefixes.size());
    for (const auto &it : prefixes)
      routes.push_back(makeRoute(it, "s", it));
    auto snapshot = makeSnapshot({makeVersion("c", {"s"}, routes)});
    for (int i = 0; i < 100; ++i) {
      auto path = pathOf();
      CAPTURE(path);
      std::string longest;
      for (const auto &it : prefixes)
        if (path.starts_with(it) && it.size() > longest.size())
          longest = it;
      auto resolved = snapshot->findRoute("GET", "", path);
      REQUIRE((resolved.Matched ? resolved.Matched->Name : "") == longest);
    }
  }
}

TEST_CASE("a split route has all its destinations, none of them dangling") {
  auto split = makeRoute("r", "", "/");
  split.Split = {{"s", 9}, {"back/t", 1}, {"u", 0}};
  base::LastReason reason;
  auto front = makeVersion("front", {"s", "u"}, {split});
  CHECK_FALSE(Snapshot::create({front}, 1, reason));
  CHECK(reason.code() == ResultCode::DanglingReference);
  CHECK(reason.text().find("back/t") != std::string::npos);
  auto snapshot = makeSnapshot({front, makeVersion("back", {"t"}, {})});
  auto resolved = snapshot->findRoute("GET", "", "/x");
  REQUIRE(resolved.Destinations);
  REQUIRE(resolved.Destinations->size() == 3);
  const auto &destinations = *resolved.Destinations;
  CHECK(*destinations[0].ServiceName == "front/s");
  CHECK(*destinations[1].ServiceName == "back/t");
  CHECK(destinations[1].ServiceDefinition == snapshot->findService("back/t"));
  CHECK(destinations[0].Weight == 9);
  CHECK(destinations[2].Weight == 0);
  CHECK(resolved.ServiceName == "front/s");
  // A route without a split has a single destination.
  auto plain =
      makeSnapshot({makeVersion("c", {"s"}, {makeRoute("r", "s", "/")})});
  auto only = plain->findRoute("GET", "", "/");
  REQUIRE(only.Destinations->size() == 1);
  CHECK(only.Destinations->front().ServiceDefinition == only.ServiceDefinition);
}

TEST_CASE("each client limit is the strictest of all versions") {
  auto limited = [](std::string name, config::ClientLimits limits) {
    auto content = std::make_shared<config::VersionContent>();
    content->Limits = limits;
    return ConfigurationVersion{std::move(name), 1, content};
  };
  using std::chrono::seconds;
  CHECK(makeSnapshot({makeVersion("c", {}, {})})->clientLimits() ==
        config::ClientLimits());
  auto snapshot = makeSnapshot({limited("a", {100, 9, seconds(5), seconds(90)}),
                                limited("b", {200, 5, seconds(7), seconds(60)}),
                                makeVersion("c", {}, {})});
  CHECK(snapshot->clientLimits() ==
        config::ClientLimits{100, 5, seconds(5), seconds(60)});
  // A limit above the default applies if it is the only one.
  CHECK(makeSnapshot({limited("a", {1U << 20U, 9, seconds(5), seconds(90)})})
            ->clientLimits()
            .HeaderBytes == 1U << 20U);
}

TEST_CASE("references resolve across configurations or creation fails") {
  auto routes = makeVersion("front", {}, {makeRoute("r", "back/s", "/")});
  base::LastReason reason;
  CHECK_FALSE(Snapshot::create({routes}, 1, reason));
  CHECK(reason.code() == ResultCode::DanglingReference);
  CHECK(reason.text() == "route front/r of version 3 refers to service "
                         "back/s, which is not held");
  auto snapshot = makeSnapshot({routes, makeVersion("back", {"s"}, {})});
  CHECK(snapshot->findRoute("GET", "", "/x").ServiceName == "back/s");
  CHECK(snapshot->findService("back/s") != nullptr);
  CHECK(snapshot->findService("back/t") == nullptr);
  CHECK(snapshot->versionOf("front") == 3);
  CHECK(snapshot->versionOf("fron") == 0);
  CHECK(snapshot->offset() == 42);
  // An unqualified name never resolves to another configuration.
  CHECK_FALSE(
      Snapshot::create({makeVersion("front", {}, {makeRoute("r", "s", "/")}),
                        makeVersion("back", {"s"}, {})},
                       1, reason));
}

TEST_CASE("routes of equal precedence in two configurations are rejected") {
  base::LastReason reason;
  auto one = makeVersion("one", {"s"}, {makeRoute("r", "s", "/a")});
  auto two = makeVersion("two", {"s"}, {makeRoute("q", "s", "/a")});
  CHECK_FALSE(Snapshot::create({one, two}, 1, reason));
  CHECK(reason.code() == ResultCode::AmbiguousRoute);
  CHECK_FALSE(Snapshot::create({one, one}, 1, reason));
  CHECK(reason.code() == ResultCode::DuplicateName);
}
