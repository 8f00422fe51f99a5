#include <LibLog/FoldDriver.h>
#include <LibLog/KeyedLog.h>
#include <LibLog/ModelStore.h>
#include <LibLog/SnapshotParts.h>

#include <algorithm>
#include <doctest/doctest.h>
#include <iterator>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

using namespace radishcross;
using log::KeyedLog;
using log::ModelStore;
using log::Offset;

namespace {

constexpr uint32_t RecordsPerRead = 256;
constexpr Offset SnapshotInterval = 400;

/// A node's dealings with the log: it folds what it reads, starts from a
/// snapshot where the log has lost what comes next, and may write one.
class Reader {
public:
  Reader(ModelStore &store, std::string name, uint64_t seed)
      : Name(std::move(name)), Log(store, seed) {}

  /// Asks for what comes next, unless a read is under way.
  void read() {
    if (std::exchange(IsReading, true))
      return;
    auto from = needsState() ? std::max(ScanFrom, next()) : next();
    Log.read(from, RecordsPerRead, {}, [this](const log::ReadAnswer &answer) {
      IsReading = false;
      if (answer.Reached)
        take(answer);
    });
  }

  /// Writes a snapshot once the log has grown enough since the last.
  void writeSnapshot() {
    if (State.offset() < LastSnapshot + SnapshotInterval || needsState())
      return;
    LastSnapshot = State.offset();
    for (const auto &it : log::makeSnapshotParts(State, {"", Name, ""}))
      Log.append(log::encodeRecord(it), [](const log::AppendAnswer &) {});
  }

  bool needsState() const { return First > next(); }

  std::string Name;
  KeyedLog Log;
  log::Fold State;
  uint32_t StartedFromSnapshots = 0;

private:
  Offset next() const { return State.offset() + 1; }

  void take(const log::ReadAnswer &answer) {
    First = answer.First;
    for (const auto &it : answer.Records)
      scan(it);
    if (needsState()) {
      ScanFrom = answer.Records.empty() ? 1 : answer.Records.back().At + 1;
      if (!Candidate)
        return;
      State = std::move(Candidate->State);
      ++StartedFromSnapshots;
    }
    Candidate.reset();
    for (const auto &it : answer.Records)
      if (it.At == next())
        State.apply(it);
  }

  void scan(const log::StoredRecord &record) {
    base::LastReason reason;
    if (record.Bytes.find("\"snapshot\"") == std::string::npos)
      return;
    auto decoded = log::decodeRecord(record.Bytes, reason);
    if (!decoded || decoded->Kind != log::RecordKind::Snapshot)
      return;
    auto found = Assembler.take(*decoded, record.At, reason);
    if (!found)
      return;
    if (found->Writer == Name)
      Log.truncateUpTo(found->State.offset());
    if (found->State.offset() > State.offset())
      Candidate = std::move(found);
  }

  bool IsReading = false;
  Offset First = 1;
  Offset ScanFrom = 1;
  Offset LastSnapshot = 0;
  log::SnapshotAssembler Assembler;
  std::optional<log::LogSnapshot> Candidate;
};

/// Folds everything that was ever written.
log::Fold foldOf(const ModelStore &store) {
  log::Fold out;
  for (const auto &it : store.Records)
    out.apply({it.At + 1, it.Value});
  return out;
}

/// Nodes that read, write, restart and fall behind in an order drawn from a
/// seed, over one store.
class Race {
public:
  explicit Race(uint64_t seed) : Store(seed), Dice(seed + 1), Seed(seed) {
    for (const char *name : {"n1", "n2", "n3"})
      start(name);
  }

  void run(size_t changes) {
    for (size_t made = 0; made < changes;) {
      Store.LossPercent = Dice.below(4) == 0 ? 30 : 0;
      if (Store.pending() < 30 && Dice.below(3) == 0) {
        change(made++);
      }
      act(*Nodes[Dice.below(Nodes.size())]);
      for (auto it = Dice.below(6); it > 0; --it)
        Store.step();
      if (Dice.below(400) == 0)
        Store.forgetHistory(Dice.below(Store.Records.size() + 1));
      if (Dice.below(2000) == 0)
        start(Nodes[Dice.below(Nodes.size())]->Name);
      MostKept = std::max(MostKept, Store.Newest.size());
    }
  }

  /// Lets all end what they do; nobody writes any more.
  bool settle() {
    Store.LossPercent = 0;
    for (int n = 0; n < 20000 && !areEven(); ++n) {
      for (auto &it : Nodes)
        it->read();
      while (Store.pending() > 0)
        Store.step();
    }
    return areEven();
  }

  bool areEven() const {
    for (const auto &it : Nodes)
      if (it->State.offset() != Store.Records.size())
        return false;
    return Store.pending() == 0;
  }

  ModelStore Store;
  std::vector<std::unique_ptr<Reader>> Nodes;
  std::vector<std::unique_ptr<Reader>> Gone; ///< Answers may still reach them.
  size_t MostKept = 0;

private:
  /// Starts a node without state, in place of one of that name.
  void start(const std::string &name) {
    auto made = std::make_unique<Reader>(Store, name, Seed * 1000 + ++Started);
    for (auto &it : Nodes)
      if (it->Name == name) {
        std::swap(it, made);
        Gone.push_back(std::move(made));
        return;
      }
    Nodes.push_back(std::move(made));
  }

  void change(size_t n) {
    auto id = "c" + std::to_string(n);
    auto &log = Nodes[Dice.below(Nodes.size())]->Log;
    auto record =
        n % 10 == 0
            ? log::publish(id, "line" + std::to_string(Dice.below(5)),
                           Dice.below(n / 50 + 1), log::contentOf({"s"}, {}))
            : log::makeDrain(id, log::Badges,
                             {"vm:n" + std::to_string(Dice.below(50)),
                              Dice.below(2) == 0});
    log.append(log::encodeRecord(record), [](const log::AppendAnswer &) {});
  }

  void act(Reader &node) {
    node.read();
    if (Dice.below(20) == 0)
      node.writeSnapshot();
    node.Log.continueTruncation();
  }

  base::Random Dice;
  uint64_t Seed;
  uint64_t Started = 0;
};

} // namespace

TEST_CASE("all nodes fold to one state while covered records are dropped, and "
          "what the store keeps stays bounded over 5,000 changes") {
  uint32_t starts = 0;
  for (uint64_t seed : {1, 2, 3}) {
    CAPTURE(seed);
    Race race(seed);
    race.run(5000);
    REQUIRE(race.settle());
    auto whole = foldOf(race.Store);
    for (const auto &it : race.Nodes) {
      CHECK(it->State.hash() == whole.hash());
      starts += it->StartedFromSnapshots;
    }
    for (const auto &it : race.Gone)
      starts += it->StartedFromSnapshots;
    // An interval of changes, those of a snapshot on the way, and its parts.
    MESSAGE("most kept ", race.MostKept, " of ", race.Store.Records.size());
    CHECK(race.MostKept < 2500);
    // A node that comes now, with no history left, ends there too.
    race.Store.forgetHistory(race.Store.Records.size());
    Reader late(race.Store, "late", 99);
    for (int n = 0; n < 100 && late.State.offset() < whole.offset(); ++n) {
      late.read();
      while (race.Store.pending() > 0)
        race.Store.step();
    }
    CHECK(late.State.hash() == whole.hash());
  }
  CHECK(starts > 0);
}

TEST_CASE("a record that is dropped between two pages of a listing is not "
          "taken for nothing") {
  ModelStore store(1);
  store.KeysPerPage = 90;
  KeyedLog writer(store, 1);
  for (int n = 0; n < 100; ++n)
    writer.append(log::encodeRecord(log::makeDrain(
                      std::to_string(n), log::Badges, {"vm:n", true})),
                  [](const log::AppendAnswer &) {});
  while (store.pending() > 0)
    store.step();
  store.forgetHistory(store.Records.size());
  KeyedLog reader(store, 2);
  std::optional<log::ReadAnswer> got;
  reader.read(1, 256, {}, [&](const log::ReadAnswer &answer) { got = answer; });
  store.step(); // The history is gone,
  store.step(); // the first page is read,
  REQUIRE_FALSE(got);
  // and what is covered goes before the second one. The cover's own key is one
  // of those already passed.
  auto kept = store.Newest;
  REQUIRE(std::prev(kept.end(), 10)->first > "covered-90");
  store.append("covered-90", "{}");
  for (const auto &[key, at] : kept)
    if (at < 90)
      store.append(key, "");
  while (store.pending() > 0)
    store.step();
  REQUIRE(got);
  CHECK(got->Reached);
  CHECK(got->First == 91);
  REQUIRE(got->Records.size() == 10);
  CHECK(got->Records.front().At == 91);
  for (const auto &it : got->Records)
    CHECK_FALSE(it.Bytes.empty());
}

TEST_CASE("a cover that stands before what it covers is none") {
  ModelStore store(1);
  store.put(log::Topic::Changes, "covered-18446744073709551615", "{}",
            [](const log::PutAnswer &) {});
  store.put(log::Topic::Changes, "covered-x", "{}",
            [](const log::PutAnswer &) {});
  while (store.pending() > 0)
    store.step();
  store.forgetHistory(2);
  KeyedLog reader(store, 1);
  std::optional<log::ReadAnswer> got;
  reader.read(1, 256, {}, [&](const log::ReadAnswer &answer) { got = answer; });
  while (store.pending() > 0)
    store.step();
  REQUIRE(got);
  CHECK(got->Reached);
  CHECK(got->First == 1);
  CHECK(got->Records.size() == 2);
}
