#include <LibNode/FreeListeners.h>
#include <LibNode/MockPlatform.h>
#include <LibNode/NodeProcess.h>
#include <LogFile.h>

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <doctest/doctest.h>
#include <map>
#include <platform/Ports.h>

using namespace radishcross;
using namespace std::chrono_literals;

namespace {

constexpr base::Duration Bound = 2s;

/// Nodes that read the operator's record through the store's client, from a
/// store that can fall silent.
struct Mesh {
  boost::asio::io_context Context{1};
  test::MockPlatform Platform{Context};
  std::vector<std::unique_ptr<node::NodeProcess>> Nodes;

  explicit Mesh(const std::vector<std::string> &dataCentres) {
    publish(1);
    for (const auto &it : dataCentres)
      start(it);
    REQUIRE(runUntil([&] { return allHold(1) && allMet(); }, 10s));
  }

  void start(const std::string &dataCentre) {
    admin::NodeSettings it;
    it.Node = dataCentre + "-" + std::to_string(Nodes.size());
    it.DataCentre = dataCentre;
    it.Region = "south";
    test::setFreeListeners(it);
    it.Platform = {Platform.address()};
    it.HasOperatorConfiguration = true;
    it.InForceBound = Bound;
    it.TrustsNetwork = true;
    auto ports = platform::ports();
    ports.DecodeOperatorRecord =
        [](std::string_view text,
           base::LastReason &) -> std::optional<config::ExternalVersion> {
      config::ExternalVersion out;
      out.Version = std::stoull(std::string(text));
      return out;
    };
    base::LastReason reason;
    auto node =
        node::NodeProcess::create(Context, it, std::move(ports), reason);
    REQUIRE_MESSAGE(node, reason.text());
    Nodes.push_back(std::move(*node));
  }

  void publish(uint64_t version) {
    Platform.Store.write("keyed.op", "config", std::to_string(version));
  }

  /// Runs until \p condition holds or the nodes have run for \p timeout. Time
  /// in which the machine did not run this process does not count.
  template <typename Condition>
  bool runUntil(Condition condition, base::Duration timeout) {
    constexpr base::Duration MaximumStep = 20ms;
    for (base::Duration ran{}; !condition() && ran < timeout;) {
      auto before = base::SystemClock().now();
      Context.run_one_for(MaximumStep);
      ran += std::min(base::SystemClock().now() - before, MaximumStep);
    }
    return condition();
  }

  void run(base::Duration time) {
    runUntil([] { return false; }, time);
  }

  bool allHold(uint64_t version) const {
    return std::all_of(Nodes.begin(), Nodes.end(), [&](const auto &it) {
      auto held = it->holdingSince();
      return std::any_of(held.begin(), held.end(), [&](const auto &holding) {
        return holding.Configuration == config::ExternalConfigurationName &&
               holding.Version == version;
      });
    });
  }

  bool allMet() const {
    return std::all_of(Nodes.begin(), Nodes.end(), [&](const auto &it) {
      return it->ready() && it->members().size() == Nodes.size();
    });
  }
};

} // namespace

TEST_CASE("a node whose reads are not answered does not tell how old its "
          "configuration is") {
  tests::LogFile log;
  Mesh mesh({"a"});
  mesh.run(Bound * 2);
  mesh.Platform.Store.setSilent(true);
  auto warned = [&] {
    auto lines = log.lines();
    return std::any_of(lines.begin(), lines.end(), [](const auto &it) {
      return tests::textAt(it, "event") == "external configuration unconfirmed";
    });
  };
  CHECK(mesh.runUntil(warned, Bound * 3));
  const auto &node = *mesh.Nodes.front();
  REQUIRE(node.externalAge());
  CHECK(*node.externalAge() > Bound);
}

TEST_CASE("a read that is never answered keeps nodes on an old version") {
  for (const std::vector<std::string> &dataCentres :
       {std::vector<std::string>{"a"},
        {"a", "a", "b"},
        {"a", "a", "a", "a", "a", "a"}}) {
    CAPTURE(dataCentres.size());
    Mesh mesh(dataCentres);
    // Until now a node may read more often, as it may not know all others.
    mesh.run(3s);
    uint64_t version = 1;
    for (auto silence : {400ms, 2500ms}) {
      CAPTURE(silence.count());
      mesh.publish(++version);
      REQUIRE(mesh.runUntil([&] { return mesh.allHold(version); }, Bound));
      // Reads after a new version are spaced; all are open now.
      mesh.run(1500ms);
      mesh.Platform.Store.setSilent(true);
      mesh.run(silence);
      mesh.Platform.Store.setSilent(false);
      mesh.publish(++version);
      CHECK(mesh.runUntil([&] { return mesh.allHold(version); }, Bound));
      if (!mesh.allHold(version))
        break;
    }
  }
}
