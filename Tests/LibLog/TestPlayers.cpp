#include <LibLog/FoldDriver.h>
#include <LibLog/HeldPlayer.h>

#include <doctest/doctest.h>
#include <string>
#include <vector>

using namespace radishcross;

namespace {

/// A node that records all its decisions.
struct RecordedNode {
  log::FoldDriver Log;
  log::HeldVersions Held{"n1", {{"tier", "edge"}}};
  std::vector<trace::Entry> Entries;
  int64_t Now = 0;

  void setUp() {
    Entries.push_back(log::traceLoad(Now, Log.State));
    Entries.push_back(log::traceStart(Now, Held));
  }
  void append(const log::Record &record) {
    for (auto &it : log::splitRecord(record)) {
      auto outcome = Log.append(std::move(it));
      Entries.push_back(
          log::traceApply(++Now, Log.Log.back(), outcome, Log.State));
      bool changed = Held.update(Log.State);
      Entries.push_back(log::traceUpdate(Now, changed, Held));
    }
  }
  void raiseFloor(const std::map<std::string, uint64_t> &versions) {
    Held.raiseFloor(versions);
    Entries.push_back(log::traceRaiseFloor(++Now, versions, Held));
  }
};

/// Returns the index of the first entry with a different decision, or -1.
int firstDifference(const std::vector<trace::Entry> &entries) {
  log::FoldPlayer fold;
  log::HeldPlayer held(fold);
  for (size_t i = 0; i < entries.size(); ++i) {
    bool isFold = entries[i].Source == trace::Module::Fold;
    auto decided = isFold ? fold.play(entries[i]) : held.play(entries[i]);
    if (decided != entries[i].Decided)
      return static_cast<int>(i);
  }
  return -1;
}

} // namespace

TEST_CASE("a recording of the fold and the held versions replays identically") {
  RecordedNode node;
  node.setUp();
  node.append(log::publish("1", "a", 0, log::contentOf({"s"}, {"r>s"})));
  node.append(log::publish("2", "b", 0, log::contentOf({}, {"q>a/t"})));
  node.append(log::publish("2", "b", 0, log::contentOf({}, {"q>a/t"})));
  node.append(log::publish("3", "a", 0, log::contentOf({"t"}, {})));
  node.raiseFloor({{"a", 2}});
  node.append(log::publish("4", "a", 1, log::contentOf({"s", "t"}, {"r>s"})));
  CHECK(node.Held.snapshot()->versions().size() == 2);
  CHECK(firstDifference(node.Entries) == -1);
  auto altered = node.Entries;
  altered[2].Decided[1] += 1;
  CHECK(firstDifference(altered) == 2);
  altered = node.Entries;
  altered.back().Decided[3] += 1;
  CHECK(firstDifference(altered) == static_cast<int>(altered.size()) - 1);
}

TEST_CASE(
    "a recording that starts in mid-operation replays from its initial state") {
  RecordedNode node;
  node.append(log::publish("1", "a", 0, log::contentOf({"s"}, {})));
  node.append(log::publish("2", "b", 0, log::contentOf({}, {"q>a/s"})));
  node.append(log::attach("3", "a", "a", 1, "tier=back"));
  node.append(log::publish("4", "a", 1, log::contentOf({}, {}), "none"));
  node.Entries.clear();
  node.setUp();
  node.append(log::attach("5", "a", "a", 2, ""));
  node.append(log::publish("6", "b", 1, log::contentOf({}, {})));
  CHECK(node.Held.snapshot()->versionOf("a") == 2);
  CHECK(firstDifference(node.Entries) == -1);
  node.Entries[0].Text.pop_back();
  CHECK(firstDifference(node.Entries) == 0);
}
