#include <LibConfig/Snapshot.h>

#include <doctest/doctest.h>
#include <memory>
#include <string>

using namespace radishcross;
using base::ResultCode;
using config::HeldVersion;
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

HeldVersion hold(std::string configuration, std::vector<std::string> services,
                 std::vector<config::Route> routes) {
  auto content = std::make_shared<config::VersionContent>();
  for (auto &it : services)
    content->Services.push_back({std::move(it), {}});
  content->Routes = std::move(routes);
  return {std::move(configuration), 3, content};
}

config::SnapshotPointer make(std::vector<HeldVersion> versions) {
  base::LastReason reason;
  auto out = Snapshot::create(std::move(versions), 42, reason);
  REQUIRE_MESSAGE(out, reason.text());
  return *out;
}

struct Lookup {
  std::string_view Method;
  std::string_view Host;
  std::string Path;
  std::string_view Route; ///< Empty: none.
};

} // namespace

TEST_CASE("the longest prefix wins, then the host, then the method") {
  auto snapshot = make({hold(
      "badges", {"s"},
      {makeRoute("root", "s", "/", "city.example"), makeRoute("a", "s", "/a"),
       makeRoute("a-get", "s", "/a", "", {"GET"}),
       makeRoute("a-host", "s", "/a", "city.example"),
       makeRoute("a-b-put", "s", "/a/b", "", {"PUT"})})});
  const Lookup table[] = {
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
    auto hit = snapshot->findRoute(row.Method, row.Host, row.Path);
    CHECK((hit.Matched ? hit.Matched->Name : "") == row.Route);
    if (hit.Matched)
      CHECK(hit.ServiceName == "badges/s");
  }
}

TEST_CASE("references resolve across configurations or nothing is built") {
  auto routes = hold("front", {}, {makeRoute("r", "back/s", "/")});
  base::LastReason reason;
  CHECK_FALSE(Snapshot::create({routes}, 1, reason));
  CHECK(reason.code() == ResultCode::DanglingReference);
  CHECK(reason.text() == "route front/r of version 3 points at service "
                         "back/s, which is not held");
  auto snapshot = make({routes, hold("back", {"s"}, {})});
  CHECK(snapshot->findRoute("GET", "", "/x").ServiceName == "back/s");
  CHECK(snapshot->findService("back/s") != nullptr);
  CHECK(snapshot->findService("back/t") == nullptr);
  CHECK(snapshot->versionOf("front") == 3);
  CHECK(snapshot->versionOf("fron") == 0);
  CHECK(snapshot->offset() == 42);
  // A plain name never resolves in another configuration.
  CHECK_FALSE(Snapshot::create(
      {hold("front", {}, {makeRoute("r", "s", "/")}), hold("back", {"s"}, {})},
      1, reason));
}

TEST_CASE("equal precedence across configurations is refused") {
  base::LastReason reason;
  auto one = hold("one", {"s"}, {makeRoute("r", "s", "/a")});
  auto two = hold("two", {"s"}, {makeRoute("q", "s", "/a")});
  CHECK_FALSE(Snapshot::create({one, two}, 1, reason));
  CHECK(reason.code() == ResultCode::AmbiguousRoute);
  CHECK_FALSE(Snapshot::create({one, one}, 1, reason));
  CHECK(reason.code() == ResultCode::DuplicateName);
}
