#include <LibAdmin/Players.h>
#include <LibLog/FoldPlayer.h>
#include <LibLog/HeldPlayer.h>
#include <LibLog/RecordBodies.h>
#include <LibTrace/TraceText.h>

#include <boost/json/parse.hpp>
#include <doctest/doctest.h>
#include <filesystem>
#include <fstream>
#include <iterator>

using namespace radishcross;

namespace {

const std::filesystem::path Folder = RADISHCROSS_SOURCE_DIR "/Tests/Traces";

std::string readWhole(const std::filesystem::path &path) {
  std::ifstream file(path, std::ios::binary);
  return {std::istreambuf_iterator<char>(file), {}};
}

/// A fold and held versions whose decisions are recorded as a trace.
class ScriptedNode {
public:
  ScriptedNode() : Held("north-1", {{"data_centre", "north"}}) {
    Out.Node = "north-1";
    take(log::traceLoad(Now, Fold));
    take(log::traceStart(Now, Held));
  }

  /// Applies a record one second after the previous one.
  void apply(const log::Record &record) {
    Now += 1000000;
    log::StoredRecord stored{Fold.offset() + 1, log::encodeRecord(record)};
    auto outcome = Fold.apply(stored);
    take(log::traceApply(Now, stored, outcome, Fold));
    bool isChanged = Held.update(Fold);
    take(log::traceUpdate(Now, isChanged, Held));
  }

  void publish(const std::string &id, const std::string &actor, uint64_t base,
               const std::string &content, const std::string &selector) {
    base::LastReason reason;
    auto chosen = config::Selector::create(selector, reason);
    REQUIRE(chosen);
    log::PublishBody body;
    body.Configuration = "badges";
    body.Base = base;
    body.Content = boost::json::parse(content);
    body.Attach.push_back({"badges", std::move(*chosen)});
    apply(log::makePublish(id, {"permits", actor, "127.0.0.1"}, body));
  }

  trace::Trace Out;

private:
  void take(trace::Entry entry) { Out.Entries.push_back(std::move(entry)); }

  int64_t Now = 0;
  log::Fold Fold;
  log::HeldVersions Held;
};

constexpr const char *First = R"({"services": [{"name": "lookup"}],
  "routes": [{"name": "look", "service": "lookup"}]})";
constexpr const char *Second = R"({"services": [{"name": "lookup"},
  {"name": "payment"}], "routes": [{"name": "look", "service": "lookup"},
  {"name": "pay", "service": "payment", "match": {"path_prefix": "/pay"}}]})";

/// Two operators publish from the same base; one response is lost and its
/// record is appended again; then the selector no longer matches this node.
trace::Trace racingOperators() {
  ScriptedNode node;
  node.Out.About = "Two operators publish from one base: the first in the log "
                   "wins, a record appended twice counts once, and narrowing "
                   "the selector moves nobody back.";
  node.publish("r-1", "anna", 0, First, "");
  node.publish("r-2", "anna", 1, Second, "");
  node.publish("r-3", "bert", 1, First, "");
  node.publish("r-2", "anna", 1, Second, "");
  node.publish("r-4", "bert", 2, First, "data_centre=south");
  node.apply(log::makeDetach("r-5", {"permits", "anna", ""}, {"badges"}));
  node.apply({"r-6", log::RecordKind::Publish, {"permits", "anna", ""}, 7});
  return node.Out;
}

} // namespace

TEST_CASE(
    "every trace replays identically, and an altered outcome is detected") {
  size_t traces = 0;
  for (const auto &file : std::filesystem::directory_iterator(Folder)) {
    if (file.path().extension() != ".trace")
      continue;
    ++traces;
    CAPTURE(file.path().string());
    base::LastReason reason;
    auto trace = trace::readTrace(readWhole(file.path()), reason);
    CAPTURE(reason.line());
    REQUIRE(trace);
    CHECK_FALSE(trace->About.empty());
    auto players = admin::allPlayers();
    auto report = players.run(*trace);
    if (report.FirstDifference)
      FAIL_CHECK(trace::describeDifference(*report.FirstDifference));
    CHECK(report.NotPlayed.empty());
    CHECK(report.Played == trace->Entries.size());
    size_t middle = trace->Entries.size() / 2;
    trace->Entries[middle].Decided[0] ^= 1;
    report = players.run(*trace);
    REQUIRE(report.FirstDifference);
    CHECK(report.FirstDifference->Index == middle);
  }
  CHECK(traces > 0);
}

TEST_CASE(
    "a trace whose state holds entries of a retired kind replays identically") {
  auto trace = racingOperators();
  auto &state = trace.Entries.front().Text;
  state.insert(1, R"("beacons":[{"node":"n1","gossip":"127.0.0.1:1"}],)");
  CHECK_FALSE(admin::allPlayers().run(trace).FirstDifference);
}

TEST_CASE("the scripted race reproduces its committed trace") {
  CHECK(trace::writeTrace(racingOperators()) ==
        readWhole(Folder / "racing-operators.trace"));
}

// Run by hand after an intended change of the format or of a decision:
// TestLibAdmin --no-skip --test-case="write the scripted traces"
TEST_CASE("write the scripted traces" * doctest::skip()) {
  std::filesystem::create_directories(Folder);
  std::ofstream(Folder / "racing-operators.trace")
      << trace::writeTrace(racingOperators());
}
