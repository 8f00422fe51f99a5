#include <LibConfig/VersionContentCodec.h>
#include <LibLog/FoldDriver.h>
#include <LibLog/HeldVersions.h>
#include <LibLog/ImpactPreview.h>

#include <doctest/doctest.h>
#include <memory>
#include <string>
#include <vector>

using namespace radishcross;
using base::ResultCode;
using log::FoldDriver;
using log::HeldVersions;

namespace {

const config::Labels Edge{{"tier", "edge"}};

/// A log, its fold and the held versions of one proxy.
struct Proxy {
  FoldDriver Log;
  HeldVersions Held{"n1", Edge};

  bool append(const log::Record &record) {
    auto outcome = Log.append(record);
    REQUIRE_MESSAGE(outcome.Code == ResultCode::Ok, outcome.Reason);
    return Held.update(Log.State);
  }
  uint64_t version(std::string_view configuration) const {
    return Held.snapshot()->versionOf(configuration);
  }
};

} // namespace

TEST_CASE("the highest attached version is held as a whole") {
  Proxy proxy;
  CHECK(proxy.version("a") == 0);
  CHECK(
      proxy.append(log::publish("1", "a", 0, log::contentOf({"s"}, {"r>s"}))));
  CHECK(proxy.version("a") == 1);
  CHECK(proxy.Held.snapshot()->offset() == 1);
  auto old = proxy.Held.snapshot();
  CHECK(
      proxy.append(log::publish("2", "a", 1, log::contentOf({"t"}, {"q>t"}))));
  CHECK(proxy.version("a") == 2);
  CHECK(proxy.Held.snapshot()->findRoute("GET", "", "/q").ServiceName == "a/t");
  // A request that started before the update keeps its snapshot.
  CHECK(old->findRoute("GET", "", "/r").ServiceName == "a/s");
  CHECK_FALSE(proxy.Held.update(proxy.Log.State));
}

TEST_CASE("narrowed selector: the proxy keeps its version as a holdover") {
  Proxy proxy;
  proxy.append(log::publish("1", "a", 0, log::contentOf({"s"}, {}), ""));
  proxy.append(log::publish("2", "a", 1, log::contentOf({"s"}, {}), ""));
  CHECK_FALSE(proxy.append(log::attach("3", "a", "a", 2, "tier=back")));
  CHECK(proxy.version("a") == 2);
  CHECK(proxy.Held.holdovers() == std::vector<std::string>{"a"});
  // Attaching an older version later does not downgrade the proxy.
  CHECK_FALSE(proxy.append(log::attach("4", "a", "a", 1, "tier=edge")));
  CHECK(proxy.version("a") == 2);
  CHECK(proxy.Held.holdovers() == std::vector<std::string>{"a"});
  CHECK(proxy.Held.waiting().empty());
  CHECK_FALSE(proxy.append(log::makeDetach("5", log::Badges, {"a"})));
  CHECK(proxy.version("a") == 2);
  // To roll back, a new version with the old content is published.
  CHECK(proxy.append(log::publish("6", "a", 2, log::contentOf({"s"}, {}))));
  CHECK(proxy.version("a") == 3);
  CHECK(proxy.Held.holdovers().empty());
}

TEST_CASE(
    "crossing updates: routes wait for their service, others are not delayed") {
  Proxy proxy;
  CHECK_FALSE(proxy.append(
      log::publish("1", "front", 0, log::contentOf({}, {"r>back/s"}))));
  REQUIRE(proxy.Held.waiting().size() == 1);
  CHECK(proxy.Held.waiting()[0].Configuration == "front");
  CHECK(proxy.Held.waiting()[0].Code == ResultCode::WaitingForReference);
  CHECK(proxy.Held.waiting()[0].Reason ==
        "route front/r needs service back/s, which is not held");
  CHECK(proxy.append(log::publish("2", "other", 0, log::contentOf({"o"}, {}))));
  CHECK(proxy.version("front") == 0);
  CHECK(proxy.version("other") == 1);
  CHECK(proxy.append(log::publish("3", "back", 0, log::contentOf({"s"}, {}))));
  CHECK(proxy.version("front") == 1);
  CHECK(proxy.version("back") == 1);
  CHECK(proxy.Held.waiting().empty());
}

TEST_CASE("removal before its routes: the removal waits") {
  Proxy proxy;
  proxy.append(log::publish("1", "back", 0, log::contentOf({"s", "t"}, {})));
  proxy.append(log::publish("2", "front", 0, log::contentOf({}, {"r>back/s"})));
  CHECK_FALSE(
      proxy.append(log::publish("3", "back", 1, log::contentOf({"t"}, {}))));
  CHECK(proxy.version("back") == 1);
  REQUIRE(proxy.Held.waiting().size() == 1);
  CHECK(proxy.Held.waiting()[0].Reason ==
        "route front/r still uses service back/s");
  // A new route to a service of the waiting configuration is not delayed.
  CHECK(proxy.append(log::publish(
      "4", "front", 1, log::contentOf({}, {"r>back/s", "q>back/t"}))));
  CHECK(proxy.version("back") == 1);
  CHECK(proxy.append(
      log::publish("5", "front", 2, log::contentOf({}, {"q>back/t"}))));
  CHECK(proxy.version("front") == 3);
  CHECK(proxy.version("back") == 2);
  CHECK(proxy.Held.waiting().empty());
}

TEST_CASE("crossing removal and new use: the use is taken, the removal waits") {
  Proxy proxy;
  proxy.append(log::publish("1", "back", 0, log::contentOf({"s"}, {})));
  proxy.append(log::publish("2", "front", 0, log::contentOf({}, {})));
  // Both arrive between two updates of the proxy.
  proxy.Log.append(log::publish("3", "back", 1, log::contentOf({}, {})));
  CHECK(proxy.append(
      log::publish("4", "front", 1, log::contentOf({}, {"r>back/s"}))));
  CHECK(proxy.version("front") == 2);
  CHECK(proxy.version("back") == 1);
}

TEST_CASE("versions that depend on each other are taken together") {
  Proxy proxy;
  proxy.append(
      log::publish("1", "a", 0, log::contentOf({"s"}, {"r>b/t"}), "none"));
  proxy.append(log::publish("2", "b", 0, log::contentOf({"t"}, {"q>a/s"})));
  CHECK(proxy.version("b") == 0);
  CHECK(proxy.append(log::attach("3", "a", "a", 1, "")));
  CHECK(proxy.version("a") == 1);
  CHECK(proxy.version("b") == 1);
}

TEST_CASE("routes that conflict with those of another configuration wait") {
  Proxy proxy;
  proxy.append(log::publish("1", "a", 0, log::contentOf({"s"}, {"r>s"})));
  CHECK_FALSE(
      proxy.append(log::publish("2", "b", 0, log::contentOf({"s"}, {"r>s"}))));
  REQUIRE(proxy.Held.waiting().size() == 1);
  CHECK(proxy.Held.waiting()[0].Code == ResultCode::AmbiguousRoute);
  CHECK(proxy.append(log::publish("3", "a", 1, log::contentOf({"s"}, {}))));
  CHECK(proxy.version("a") == 2);
  CHECK(proxy.version("b") == 1);
}

TEST_CASE("a restarted proxy takes no version below its floor") {
  FoldDriver log;
  log.append(log::publish("1", "a", 0, log::contentOf({"s"}, {})));
  HeldVersions held("n1", Edge);
  held.raiseFloor({{"a", 2}});
  held.raiseFloor({{"a", 1}});
  CHECK_FALSE(held.update(log.State));
  CHECK(held.snapshot()->versionOf("a") == 0);
  REQUIRE(held.waiting().size() == 1);
  CHECK(held.waiting()[0].Code == ResultCode::UnknownVersion);
  // The version is held as soon as the fold has it, even if it is not selected.
  log.append(log::publish("2", "a", 1, log::contentOf({"s"}, {}), "none"));
  log.append(log::publish("3", "a", 2, log::contentOf({"s"}, {}), "none"));
  CHECK(held.update(log.State));
  CHECK(held.snapshot()->versionOf("a") == 2);
  CHECK(held.holdovers() == std::vector<std::string>{"a"});
}

TEST_CASE("a restarted proxy restores its held versions from its exceptions") {
  Proxy proxy;
  proxy.append(log::publish("1", "a", 0, log::contentOf({"s"}, {})));
  proxy.append(log::publish("2", "b", 0, log::contentOf({"t"}, {"r>a/s"})));
  proxy.append(log::publish("3", "c", 0, log::contentOf({"u"}, {})));
  CHECK(proxy.Held.exceptions().empty());
  // The next b waits for a service that does not exist, the next a for the
  // route of b; the selector of c no longer matches.
  proxy.append(log::publish("4", "b", 1, log::contentOf({"t"}, {"r>a/gone"})));
  proxy.append(log::publish("5", "a", 1, log::contentOf({}, {})));
  proxy.append(log::attach("6", "c", "c", 1, "tier=back"));
  using Versions = std::map<std::string, uint64_t>;
  CHECK(proxy.Held.exceptions() == Versions{{"a", 1}, {"b", 1}, {"c", 1}});
  HeldVersions restarted("n1", Edge);
  restarted.raiseFloor(proxy.Held.exceptions());
  CHECK(restarted.update(proxy.Log.State));
  CHECK(restarted.exceptions() == proxy.Held.exceptions());
  CHECK(restarted.waiting().size() == 2);
  // Without the exceptions it would hold less.
  HeldVersions withoutExceptions("n1", Edge);
  withoutExceptions.update(proxy.Log.State);
  CHECK(withoutExceptions.snapshot()->versionOf("b") == 0);
}

TEST_CASE("a restarted proxy takes no new version before those it held") {
  Proxy proxy;
  // x waits for its service. Then a and that service are taken, and now the
  // route of x conflicts with that of a.
  proxy.append(log::publish("1", "x", 0, log::contentOf({}, {"r>back/s"})));
  proxy.append(log::publish("2", "a", 0, log::contentOf({"t"}, {"r>t"})));
  proxy.append(log::publish("3", "back", 0, log::contentOf({"s"}, {})));
  REQUIRE(proxy.version("a") == 1);
  REQUIRE(proxy.version("x") == 0);
  HeldVersions restarted("n1", Edge);
  restarted.raiseFloor(proxy.Held.exceptions());
  CHECK(restarted.update(proxy.Log.State));
  CHECK(restarted.snapshot()->versionOf("a") == 1);
  CHECK(restarted.snapshot()->versionOf("x") == 0);
  REQUIRE(restarted.waiting().size() == 1);
  CHECK(restarted.waiting()[0].Code == ResultCode::AmbiguousRoute);
}

TEST_CASE("a restarted proxy takes what it held before newer ones that wait") {
  Proxy proxy;
  proxy.append(log::publish("1", "a", 0, log::contentOf({"s"}, {})));
  proxy.append(log::publish("2", "b", 0, log::contentOf({"t"}, {"r>a/s"})));
  // Version 2 waits for a service that does not exist.
  proxy.append(log::publish("3", "b", 1, log::contentOf({"t"}, {"r>a/gone"})));
  CHECK(proxy.version("b") == 1);
  HeldVersions restarted("n1", Edge);
  restarted.raiseFloor({{"a", 1}, {"b", 1}});
  CHECK(restarted.update(proxy.Log.State));
  CHECK(restarted.snapshot()->versionOf("b") == 1);
  REQUIRE(restarted.waiting().size() == 1);
  CHECK(restarted.waiting()[0].Version == 2);
  CHECK_FALSE(restarted.update(proxy.Log.State));
  CHECK(restarted.waiting().size() == 1);
}

TEST_CASE("the impact of a version is computed from the held versions") {
  Proxy proxy;
  proxy.append(log::publish("1", "a", 0, log::contentOf({"s"}, {"r>s"})));
  auto preview = [&](uint64_t number, const std::vector<std::string> &routes,
                     base::LastReason &reason) {
    auto content =
        config::decodeVersionContent(log::contentOf({"s"}, routes), reason);
    REQUIRE(content);
    config::Usage usage;
    usage.CallsPerSecond["a/r"] = 7;
    return log::previewImpact(
        proxy.Held,
        {"a", number, std::make_shared<const config::VersionContent>(*content)},
        usage, reason);
  };
  base::LastReason reason;
  CHECK(preview(2, {"r>s", "q>s"}, reason)->isHarmless());
  CHECK(preview(2, {"q>s"}, reason)->LostRoutes.size() == 1);
  CHECK(preview(1, {"q>s"}, reason)->isHarmless());
  CHECK_FALSE(preview(2, {"r>b/t"}, reason));
  CHECK(reason.code() == ResultCode::WaitingForReference);
  CHECK(proxy.version("a") == 1);
}
