#include <LibFleet/NodeDirectory.h>
#include <LogFile.h>

#include <algorithm>
#include <chrono>
#include <doctest/doctest.h>

using namespace radishcross;
using namespace radishcross::fleet;
using namespace std::chrono_literals;

namespace {

constexpr base::TimePoint Start{1h};

DirectoryEntry entryOf(const std::string &id, uint64_t incarnation = 1) {
  return {id, incarnation, {"10.0.0.1", 7620}};
}

log::KeyedRecord recordOf(const DirectoryEntry &entry) {
  return {0, entry.Id, encodeDirectoryEntry(entry)};
}

} // namespace

TEST_CASE("an entry with this node's address is written once") {
  NodeDirectory first(entryOf("a", 1));
  CHECK(first.mustWrite());
  first.written();
  CHECK_FALSE(first.mustWrite());
  // The next process finds the entry and leaves it unchanged.
  NodeDirectory second(entryOf("a", 2));
  CHECK_FALSE(second.applyRecord(recordOf(entryOf("a", 1))));
  CHECK_FALSE(second.mustWrite());
  // An entry with another address, or dropped by another node, is written
  // again.
  auto moved = entryOf("a", 1);
  moved.Gossip.Port = 7700;
  second.applyRecord(recordOf(moved));
  CHECK(second.mustWrite());
  second.written();
  second.applyRecord({5, "a", ""});
  CHECK(second.mustWrite());
}

TEST_CASE("a node's address is reported once, and again when it changes") {
  NodeDirectory it(entryOf("a"));
  CHECK(it.applyRecord(recordOf(entryOf("b"))) == entryOf("b").Gossip);
  CHECK_FALSE(it.applyRecord(recordOf(entryOf("b"))));
  auto moved = entryOf("b");
  moved.Gossip.Port = 7700;
  CHECK(it.applyRecord(recordOf(moved)) == moved.Gossip);
}

TEST_CASE("malformed entries are ignored") {
  NodeDirectory it(entryOf("a"));
  for (const char *text : {"{", "[]", "7", R"({"incarnation": 1})",
                           R"({"incarnation": "1", "gossip": "10.0.0.1:1"})",
                           R"({"incarnation": 1, "gossip": "nowhere"})"}) {
    INFO(text);
    CHECK_FALSE(it.applyRecord({0, "b", text}));
  }
  CHECK(it.entries().empty());
}

TEST_CASE("an odd entry in place of this node's own is written over") {
  NodeDirectory it(entryOf("a"));
  it.written();
  REQUIRE_FALSE(it.mustWrite());
  it.applyRecord({3, "a", R"({"incarnation": 1e400, "gossip": "10.0.0.1:1"})"});
  CHECK(it.mustWrite());
  it.written();
  CHECK_FALSE(it.mustWrite());
}

TEST_CASE("an entry with a number or port out of range names no node") {
  auto nested = [](const std::string &open, const std::string &close) {
    constexpr int Levels = 1'000'000;
    std::string out;
    for (int n = 0; n < Levels; ++n)
      out += open;
    out += "1";
    for (int n = 0; n < Levels; ++n)
      out += close;
    return out;
  };
  std::vector<std::string> texts = {"NaN", "\xff", "{}", nested("[", "]"),
                                    nested("{\"a\":", "}")};
  for (const char *number :
       {"1e400", "-1e400", "1e308", "18446744073709551616", "-1", "0.5", "NaN",
        "Infinity", "\"1\"", "null", "[]"})
    texts.push_back(std::string(R"({"gossip": "10.0.0.1:1", "incarnation": )") +
                    number + "}");
  texts.push_back(R"({"gossip": "10.0.0.1:1", "incarnation": )" +
                  nested("[", "]") + "}");
  for (const char *port : {"0", "65536", "99999999999999999999", "-1", "1e3",
                           " 80", "+80", "80 ", "0x50", ""})
    texts.push_back(std::string(R"({"incarnation": 1, "gossip": "10.0.0.1:)") +
                    port + "\"}");
  for (const auto &text : texts) {
    CAPTURE(text.substr(0, 64));
    NodeDirectory it(entryOf("a"));
    CHECK_FALSE(it.applyRecord({0, "b", text}));
    CHECK(it.entries().empty());
    CHECK(it.applyRecord(recordOf(entryOf("c"))) == entryOf("c").Gossip);
  }
}

TEST_CASE("an odd entry that is listed again and again is logged once, and no "
          "more than a few odd entries are") {
  tests::LogFile log;
  NodeDirectory it(entryOf("a"));
  for (int listing = 0; listing < 3; ++listing)
    for (int n = 0; n < 200; ++n)
      it.applyRecord({0, "b" + std::to_string(n), "{"});
  auto lines = log.lines();
  auto logged = std::count_if(lines.begin(), lines.end(), [](const auto &line) {
    return tests::textAt(line, "event") == "directory entry ignored";
  });
  CHECK(logged > 1);
  CHECK(logged <= 100);
  auto ofOne = std::count_if(lines.begin(), lines.end(), [](const auto &line) {
    return tests::textAt(line, "key") == "b0";
  });
  CHECK(ofOne == 1);
}

TEST_CASE("the first live node drops the entry of a node absent for long") {
  NodeDirectory first(entryOf("a"));
  NodeDirectory second(entryOf("b"));
  for (auto *it : {&first, &second})
    for (const char *id : {"a", "b", "c"})
      it->applyRecord(recordOf(entryOf(id)));
  const std::set<NodeId> live{"a", "b"};
  const std::set<NodeId> all{"a", "b", "c"};
  CHECK_FALSE(first.entryToDrop(live, true, Start));
  CHECK_FALSE(first.entryToDrop(live, true, Start + 4min));
  // The absence of a node that returned in between starts anew.
  CHECK_FALSE(first.entryToDrop(all, true, Start + 4min + 30s));
  CHECK_FALSE(first.entryToDrop(live, true, Start + 5min));
  CHECK_FALSE(first.entryToDrop(live, true, Start + 9min));
  CHECK(first.entryToDrop(live, true, Start + 10min) == "c");
  CHECK_FALSE(second.entryToDrop(live, false, Start));
  CHECK_FALSE(second.entryToDrop(live, false, Start + 10min));
  first.applyRecord({9, "c", ""});
  CHECK_FALSE(first.entryToDrop(live, true, Start + 20min));
}
