#include <LibLog/FoldDriver.h>
#include <LibLog/GossipForm.h>
#include <LibLog/SnapshotParts.h>
#include <LibLog/SnapshotPolicy.h>

#include <doctest/doctest.h>
#include <optional>
#include <string>
#include <vector>

using namespace radishcross;
using namespace std::chrono_literals;
using base::ResultCode;
using log::FoldDriver;
using log::HashVerdict;
using log::SnapshotPolicy;

namespace {

const log::Author Writer{"", "n1", ""};
const log::Author Other{"", "n2", ""};
const std::vector<std::string> Candidates{"n1", "n2", "n3"};

/// Fills a log until its state takes several parts.
void fill(FoldDriver &log, int configurations) {
  std::vector<std::string> services(40);
  for (size_t i = 0; i < services.size(); ++i)
    services[i] = "service-" + std::to_string(i);
  for (int i = 0; i < configurations; ++i) {
    auto name = "c" + std::to_string(i);
    log.append(log::publish("p" + name, name, 0, log::contentOf(services, {})));
  }
}

} // namespace

TEST_CASE("a snapshot is put together from parts that interleave") {
  FoldDriver log;
  fill(log, 40);
  auto parts = log::makeSnapshotParts(log.State, Writer);
  auto others = log::makeSnapshotParts(log.State, Other);
  REQUIRE(parts.size() > 2);
  uint64_t hash = log.State.hash();
  auto at = log.State.offset();
  log::SnapshotAssembler assembler;
  base::LastReason reason;
  std::vector<log::LogSnapshot> found;
  for (size_t i = 0; i < parts.size(); ++i) {
    for (const auto *it : {&parts[parts.size() - 1 - i], &others[i]}) {
      CHECK(log::encodeRecord(*it).size() <= log::MaximumRecordBytes);
      log.append(*it);
      if (auto done = assembler.take(*it, log.State.offset(), reason))
        found.push_back(std::move(*done));
    }
  }
  REQUIRE(found.size() == 2);
  CHECK(found[0].State.hash() == hash);
  CHECK(found[0].State.offset() == at);
  CHECK(found[0].FirstPartAt == at + 1);
  // The state read from the snapshot goes on as the one that wrote it.
  for (size_t i = at; i < log.Log.size(); ++i)
    found[0].State.apply(log.Log[i]);
  CHECK(found[0].State.hash() == log.State.hash());
}

TEST_CASE("a snapshot whose state was altered is not taken") {
  FoldDriver log;
  fill(log, 2);
  auto parts = log::makeSnapshotParts(log.State, Writer);
  REQUIRE(parts.size() == 1);
  base::LastReason reason;
  auto body = log::decodeSnapshot(parts[0].Body, reason);
  auto altered = *body;
  auto team = altered.Document.find("\"team\":\"badges\"");
  REQUIRE(team != std::string::npos);
  altered.Document.replace(team, 15, "\"team\":\"thieve\"");
  log::SnapshotAssembler assembler;
  CHECK_FALSE(
      assembler.take(log::makeSnapshot("s", Writer, altered), 1, reason));
  CHECK(reason.code() == ResultCode::SnapshotMismatch);
  altered = *body;
  altered.Document.pop_back();
  CHECK_FALSE(
      assembler.take(log::makeSnapshot("s", Writer, altered), 1, reason));
  CHECK(reason.code() == ResultCode::SnapshotMismatch);
  CHECK(assembler.take(parts[0], 1, reason));
}

TEST_CASE("a claim is believed by the own fold or by a second source") {
  log::FoldHashVerifier witness;
  CHECK(witness.verify("n1", 5, 100) == HashVerdict::Unconfirmed);
  witness.addReportedHash("n1", 5, 100);
  CHECK(witness.verify("n1", 5, 100) == HashVerdict::Unconfirmed);
  CHECK(witness.verify("n2", 5, 100) == HashVerdict::Confirmed);
  witness.addReportedHash("n3", 5, 101);
  CHECK(witness.verify("n2", 5, 100) == HashVerdict::Unconfirmed);
  witness.addOwnHash(5, 101);
  CHECK(witness.verify("n2", 5, 100) == HashVerdict::Refuted);
  CHECK(witness.verify("n2", 5, 101) == HashVerdict::Confirmed);
  CHECK(witness.verify("n2", 6, 101) == HashVerdict::Unconfirmed);
}

TEST_CASE("candidates take turns and are silent once a snapshot appears") {
  base::ManualClock time;
  std::vector<SnapshotPolicy> nodes(Candidates.begin(), Candidates.end());
  auto writers = [&](log::Offset offset) {
    std::vector<size_t> out;
    for (size_t i = 0; i < nodes.size(); ++i)
      if (nodes[i].shouldWrite(offset, Candidates, time.now()))
        out.push_back(i);
    return out;
  };
  CHECK(writers(999).empty());
  auto first = writers(1000);
  REQUIRE(first.size() == 1);
  // The first in turn is paused: the second's turn comes, then all have had
  // theirs.
  CHECK(writers(1060).size() == 2);
  CHECK(writers(1110).size() == 3);
  for (auto &it : nodes)
    it.snapshotSeen(1055, time.now());
  CHECK(writers(1110).empty());
  // The paused writer's older snapshot appears after all: nothing changes.
  for (auto &it : nodes)
    it.snapshotSeen(1000, time.now());
  CHECK(writers(6054).empty());
  CHECK(writers(6055).size() == 1);
  // A writer is silent while its snapshot is on the way, and for no longer.
  nodes[writers(6055)[0]].writeStarted(time.now());
  CHECK(writers(6056).empty());
  time.advance(61s);
  CHECK(writers(6056).size() == 3);
}

TEST_CASE("a snapshot is due by records, by time, and the first one sooner") {
  base::ManualClock time;
  SnapshotPolicy policy("n1");
  auto due = [&](log::Offset offset) {
    return policy.shouldWrite(offset, {"n1"}, time.now());
  };
  CHECK_FALSE(due(999));
  CHECK(due(1000));
  time.advance(4min + 59s);
  CHECK_FALSE(due(100));
  time.advance(1s);
  CHECK(due(100));
  policy.snapshotSeen(160, time.now());
  CHECK_FALSE(due(5159));
  CHECK(due(5160));
  time.advance(29min);
  CHECK_FALSE(due(170));
  time.advance(1min);
  CHECK(due(170));
  CHECK_FALSE(due(160));
}

TEST_CASE("a fold that gets a snapshot's parts empty stays the same") {
  FoldDriver whole;
  fill(whole, 3);
  for (const auto &it : log::makeSnapshotParts(whole.State, Writer))
    whole.append(it);
  whole.append(log::publish("last", "c0", 1, log::contentOf({}, {})));
  FoldDriver spread;
  for (const auto &it : whole.Log) {
    spread.append(std::string(log::gossipForm(it)));
  }
  CHECK(spread.State.hash() == whole.State.hash());
  CHECK(spread.State.save() == whole.State.save());
}

TEST_CASE("expired record: a node without state starts from the log's "
          "snapshot") {
  FoldDriver log;
  fill(log, 30);
  auto at = log.State.offset();
  auto hash = log.State.hash();
  log::SnapshotAssembler assembler;
  base::LastReason reason;
  std::optional<log::LogSnapshot> found;
  for (const auto &it : log::makeSnapshotParts(log.State, Writer)) {
    REQUIRE_FALSE(found);
    log.append(it);
    found = assembler.take(it, log.State.offset(), reason);
  }
  REQUIRE(found);
  log.append(log::publish("last", "c0", 1, log::contentOf({}, {})));
  // It cannot fold the first record it can still read, but the snapshot's state
  // can, and ends where the writer is. A second source confirms it.
  CHECK(log::Fold().apply(log.Log[1]).Code == ResultCode::RecordExpired);
  log::FoldHashVerifier witness;
  witness.addReportedHash(found->Writer, at, hash);
  CHECK(witness.verify(found->Writer, at, hash) == HashVerdict::Unconfirmed);
  witness.addReportedHash("n2", at, hash);
  CHECK(witness.verify(found->Writer, at, hash) == HashVerdict::Confirmed);
  for (size_t i = at; i < log.Log.size(); ++i)
    found->State.apply(log.Log[i]);
  CHECK(found->State.hash() == log.State.hash());
  CHECK(found->State.configurations().at("c0").Versions.size() == 2);
}
