#include <LibLog/FoldDriver.h>
#include <LibLog/HeldVersions.h>
#include <LibLog/InvariantChecks.h>

#include <cstdlib>
#include <doctest/doctest.h>
#include <rapidcheck.h>
#include <string>
#include <vector>

using namespace radishcross;
using log::FleetEvent;

namespace {

constexpr int Configurations = 4;
constexpr int ServicesEach = 3;
constexpr int Nodes = 3;

std::string configurationName(uint32_t i) {
  return "c" + std::to_string(i % Configurations);
}

std::string serviceName(uint32_t i) {
  return "s" + std::to_string(i % ServicesEach);
}

/// Returns content whose services and references are derived from \p bits. Some
/// routes conflict with those of other configurations.
boost::json::value contentFrom(uint32_t configuration, uint32_t bits) {
  std::vector<std::string> services;
  for (uint32_t i = 0; i < ServicesEach; ++i)
    if ((bits >> i) & 1U)
      services.push_back(serviceName(i));
  std::vector<std::string> routes;
  for (uint32_t i = 0; i < 2; ++i) {
    uint32_t part = bits >> (3 + i * 5);
    auto name = part % 16 == 7 ? "shared" : configurationName(configuration);
    if (part & 1U)
      routes.push_back(name + std::to_string(i) + ">" +
                       configurationName(part >> 1) + "/" +
                       serviceName(part >> 3));
  }
  return log::contentOf(services, routes);
}

/// One node with its own fold of the log.
struct Node {
  std::string Name;
  log::Fold Fold;
  log::HeldVersions Held;
};

/// A log, nodes that lag behind it to different degrees, and the observed
/// events.
class Fleet {
public:
  Fleet() {
    for (int i = 0; i < Nodes; ++i) {
      auto name = "n" + std::to_string(i);
      Members.push_back({name, {}, log::HeldVersions(name, {{name, "1"}})});
    }
  }

  /// Executes the step that is encoded in \p code.
  void step(uint32_t code) {
    uint32_t configuration = code >> 4;
    uint32_t bits = code >> 6;
    auto &node = Members[configuration % Nodes];
    switch (code % 8) {
    case 0:
    case 1:
      publish(configuration, newest(configuration), bits);
      break;
    case 2:
      publish(configuration, newest(configuration) - 1, bits);
      break;
    case 3:
      change(log::attach(nextId(), configurationName(configuration),
                         configurationName(configuration), 1 + bits % 4,
                         bits & 8U ? "n1" : ""));
      break;
    case 4:
      change(log::makeDetach(nextId(), log::Badges,
                             {configurationName(configuration)}));
      break;
    case 5:
      restart(node);
      break;
    default:
      advance(node, 1 + bits % 5);
    }
  }

  void finish() {
    for (auto &it : Members)
      advance(it, Log.Log.size());
  }

  log::FoldDriver Log;
  std::vector<Node> Members;
  std::vector<FleetEvent> Events;

private:
  std::string nextId() { return "id" + std::to_string(Log.Log.size()); }

  uint64_t newest(uint32_t configuration) const {
    auto it = Log.State.configurations().find(configurationName(configuration));
    return it == Log.State.configurations().end()
               ? 0
               : it->second.Versions.back().Number;
  }

  void publish(uint32_t configuration, uint64_t base, uint32_t bits) {
    change(log::publish(nextId(), configurationName(configuration), base,
                        contentFrom(configuration, bits),
                        bits & 1U ? "" : "n1"));
  }

  void change(const log::Record &record) {
    auto outcome = Log.append(record);
    if (outcome.Code != base::ResultCode::Ok ||
        record.Kind != log::RecordKind::Publish)
      return;
    base::LastReason reason;
    Events.push_back({FleetEvent::Kind::Accepted,
                      ++Now,
                      {},
                      {{outcome.Configuration, outcome.Version,
                        Log.State.contentOf(outcome.Configuration,
                                            outcome.Version, reason)}}});
  }

  void advance(Node &node, size_t records) {
    while (records-- > 0 && node.Fold.offset() < Log.Log.size())
      node.Fold.apply(Log.Log[node.Fold.offset()]);
    node.Held.update(node.Fold);
    Events.push_back({FleetEvent::Kind::Holding,
                      ++Now,
                      {node.Name},
                      node.Held.snapshot()->versions()});
  }

  /// Restarts a node that lost its held versions: it recovers its fold and
  /// floor.
  void restart(Node &node) {
    Events.push_back({FleetEvent::Kind::Stopped, ++Now, {node.Name}, {}});
    auto floor = node.Held.exceptions();
    base::LastReason reason;
    auto fold = log::Fold::load(node.Fold.save(), reason);
    RC_ASSERT(fold.has_value());
    node.Fold = std::move(*fold);
    node.Held = log::HeldVersions(node.Name, {{node.Name, "1"}});
    node.Held.raiseFloor(floor);
    advance(node, 0);
  }

  int64_t Now = 0;
};

/// Sets the seed unless RC_PARAMS is already set, as for a longer manual run.
bool checkSeeded(const char *parameters) {
  return setenv("RC_PARAMS", parameters, 0) == 0;
}

} // namespace

TEST_CASE("for any changes, all nodes agree and no invariant is violated") {
  REQUIRE(checkSeeded("seed=20261204 max_success=1000 max_size=120"));
  bool holds = rc::check([](const std::vector<uint32_t> &codes) {
    Fleet fleet;
    for (uint32_t it : codes)
      fleet.step(it);
    fleet.finish();
    auto broken = log::checkInvariants(fleet.Events);
    if (!broken.empty())
      RC_FAIL(broken[0].Text);
    for (const auto &[name, configuration] : fleet.Log.State.configurations())
      for (size_t i = 0; i < configuration.Versions.size(); ++i)
        RC_ASSERT(configuration.Versions[i].Number == i + 1);
    for (const auto &it : fleet.Members) {
      RC_ASSERT(it.Fold.hash() == fleet.Log.State.hash());
      for (const auto &waiting : it.Held.waiting())
        RC_ASSERT(!waiting.Reason.empty());
    }
  });
  CHECK(holds);
}
