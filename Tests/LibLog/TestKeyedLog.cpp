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

/// The part of a node that uses the log: it folds the records that it reads,
/// starts from a snapshot if the log no longer has the next record, and may
/// write snapshots.
class Reader {
public:
  Reader(ModelStore &store, std::string name, uint64_t seed)
      : Name(std::move(name)), Log(store, seed) {}

  /// Reads the next records unless a read is pending.
  void read() {
    if (std::exchange(IsReading, true))
      return;
    auto from = needsState() ? std::max(ScanFrom, next()) : next();
    Log.read(from, RecordsPerRead, {}, [this](const log::ReadAnswer &answer) {
      IsReading = false;
      if (answer.Reached)
        process(answer);
    });
  }

  /// Writes a snapshot if the log has grown enough since the last one.
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

  void process(const log::ReadAnswer &answer) {
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

/// Folds all records ever written.
log::Fold foldOf(const ModelStore &store) {
  log::Fold out;
  for (const auto &it : store.Records)
    out.apply({it.At + 1, it.Value});
  return out;
}

/// Several nodes on one store that read, write, restart and fall behind in a
/// pseudo-random order that the seed determines.
class InterleavingModel {
public:
  explicit InterleavingModel(uint64_t seed)
      : Store(seed), Generator(seed + 1), Seed(seed) {
    for (const char *name : {"n1", "n2", "n3"})
      start(name);
  }

  void run(size_t changes) {
    for (size_t made = 0; made < changes;) {
      Store.LossPercent = Generator.below(4) == 0 ? 30 : 0;
      if (Store.pending() < 30 && Generator.below(3) == 0) {
        change(made++);
      }
      act(*Nodes[Generator.below(Nodes.size())]);
      for (auto it = Generator.below(6); it > 0; --it)
        Store.step();
      if (Generator.below(400) == 0)
        Store.forgetHistory(Generator.below(Store.Records.size() + 1));
      if (Generator.below(2000) == 0)
        start(Nodes[Generator.below(Nodes.size())]->Name);
      MaximumKept = std::max(MaximumKept, Store.Newest.size());
    }
  }

  /// Runs until all nodes have read all records, without further changes.
  /// Returns whether they have.
  bool runUntilCaughtUp() {
    Store.LossPercent = 0;
    for (int n = 0; n < 20000 && !areCaughtUp(); ++n) {
      for (auto &it : Nodes)
        it->read();
      while (Store.pending() > 0)
        Store.step();
    }
    return areCaughtUp();
  }

  bool areCaughtUp() const {
    for (const auto &it : Nodes)
      if (it->State.offset() != Store.Records.size())
        return false;
    return Store.pending() == 0;
  }

  ModelStore Store;
  std::vector<std::unique_ptr<Reader>> Nodes;
  std::vector<std::unique_ptr<Reader>>
      ReplacedNodes; ///< Replaced; may still get answers.
  size_t MaximumKept = 0;

private:
  /// Starts a node without state; it replaces the one with that name.
  void start(const std::string &name) {
    auto made = std::make_unique<Reader>(Store, name, Seed * 1000 + ++Started);
    for (auto &it : Nodes)
      if (it->Name == name) {
        std::swap(it, made);
        ReplacedNodes.push_back(std::move(made));
        return;
      }
    Nodes.push_back(std::move(made));
  }

  void change(size_t n) {
    auto id = "c" + std::to_string(n);
    auto &log = Nodes[Generator.below(Nodes.size())]->Log;
    auto record =
        n % 10 == 0
            ? log::publish(id, "line" + std::to_string(Generator.below(5)),
                           Generator.below(n / 50 + 1),
                           log::contentOf({"s"}, {}))
            : log::makeDrain(id, log::Badges,
                             {"vm:n" + std::to_string(Generator.below(50)),
                              Generator.below(2) == 0});
    log.append(log::encodeRecord(record), [](const log::AppendAnswer &) {});
  }

  void act(Reader &node) {
    node.read();
    if (Generator.below(20) == 0)
      node.writeSnapshot();
    node.Log.continueTruncation();
  }

  base::Random Generator;
  uint64_t Seed;
  uint64_t Started = 0;
};

} // namespace

TEST_CASE("all nodes reach the same state while covered records are dropped, "
          "and the store's size stays limited over 5,000 changes") {
  uint32_t starts = 0;
  for (uint64_t seed : {1, 2, 3}) {
    CAPTURE(seed);
    InterleavingModel model(seed);
    model.run(5000);
    REQUIRE(model.runUntilCaughtUp());
    auto whole = foldOf(model.Store);
    for (const auto &it : model.Nodes) {
      CHECK(it->State.hash() == whole.hash());
      starts += it->StartedFromSnapshots;
    }
    for (const auto &it : model.ReplacedNodes)
      starts += it->StartedFromSnapshots;
    // The limit covers the changes of one interval, those appended while a
    // snapshot is written, and its parts.
    MESSAGE("most kept ", model.MaximumKept, " of ",
            model.Store.Records.size());
    CHECK(model.MaximumKept < 2500);
    // A node that starts now, without any history, reaches the same state.
    model.Store.forgetHistory(model.Store.Records.size());
    Reader late(model.Store, "late", 99);
    for (int n = 0; n < 100 && late.State.offset() < whole.offset(); ++n) {
      late.read();
      while (model.Store.pending() > 0)
        model.Store.step();
    }
    CHECK(late.State.hash() == whole.hash());
  }
  CHECK(starts > 0);
}

TEST_CASE("a record that is dropped between two pages of a listing is not "
          "read as an empty record") {
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
  store.step(); // The history is no longer available,
  store.step(); // the first page is read,
  REQUIRE_FALSE(got);
  // and the covered records are dropped before the second page is read. The key
  // of the marker is before those still to be listed.
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

TEST_CASE("a marker that precedes the records it covers is ignored") {
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

TEST_CASE("a listed record that cannot be decoded is not read as an empty "
          "record") {
  ModelStore store(1);
  store.append("a", "one");
  store.append("b", "two");
  store.forgetHistory(2);
  KeyedLog reader(store, 1);
  std::optional<log::ReadAnswer> got;
  auto read = [&] {
    got.reset();
    reader.read(1, 256, {},
                [&](const log::ReadAnswer &answer) { got = answer; });
    while (store.pending() > 0)
      store.step();
    REQUIRE(got);
  };
  store.UnreadableItems = 1;
  read();
  CHECK_FALSE(got->Reached);
  CHECK(got->Reason.code() == base::ResultCode::RecordMalformed);
  CHECK(got->Records.empty());
  store.UnreadableItems = 0;
  read();
  CHECK(got->Reached);
  CHECK(got->Records.size() == 2);
}

TEST_CASE("a record with an empty key and value keeps the log's offsets") {
  ModelStore store(1);
  store.append("a", "one");
  store.append("", "");
  store.append("b", "two");
  KeyedLog reader(store, 1);
  for (uint64_t first : {0, 3}) {
    store.forgetHistory(first);
    std::optional<log::ReadAnswer> got;
    reader.read(1, 256, {},
                [&](const log::ReadAnswer &answer) { got = answer; });
    while (store.pending() > 0)
      store.step();
    REQUIRE(got);
    CHECK(got->Reached);
    REQUIRE(got->Records.size() == 3);
    CHECK(got->Records[1].At == 2);
    CHECK(got->Records[1].Bytes.empty());
    CHECK(got->Records[2].Bytes == "two");
  }
}
