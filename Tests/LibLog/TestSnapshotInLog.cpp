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

/// Fills a log so that a snapshot of its state needs several parts.
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

TEST_CASE("a snapshot is assembled from interleaved parts") {
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
  // The state from the snapshot stays equal to the original when later records
  // are applied.
  for (size_t i = at; i < log.Log.size(); ++i)
    found[0].State.apply(log.Log[i]);
  CHECK(found[0].State.hash() == log.State.hash());
}

TEST_CASE("a snapshot with an altered state is rejected") {
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

TEST_CASE("a hash is confirmed by the node's own fold or by a second source") {
  log::FoldHashVerifier verifier;
  CHECK(verifier.verify("n1", 5, 100) == HashVerdict::Unconfirmed);
  verifier.addReportedHash("n1", 5, 100);
  CHECK(verifier.verify("n1", 5, 100) == HashVerdict::Unconfirmed);
  CHECK(verifier.verify("n2", 5, 100) == HashVerdict::Confirmed);
  verifier.addReportedHash("n3", 5, 101);
  CHECK(verifier.verify("n2", 5, 100) == HashVerdict::Unconfirmed);
  verifier.addOwnHash(5, 101);
  CHECK(verifier.verify("n2", 5, 100) == HashVerdict::Refuted);
  CHECK(verifier.verify("n2", 5, 101) == HashVerdict::Confirmed);
  CHECK(verifier.verify("n2", 6, 101) == HashVerdict::Unconfirmed);
}

TEST_CASE("candidates take turns and stop once a snapshot appears") {
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
  // The first candidate is paused: the second one's turn comes, then the third
  // one's.
  CHECK(writers(1060).size() == 2);
  CHECK(writers(1110).size() == 3);
  for (auto &it : nodes)
    it.snapshotSeen(1055, time.now());
  CHECK(writers(1110).empty());
  // The older snapshot of the paused writer appears late and changes nothing.
  for (auto &it : nodes)
    it.snapshotSeen(1000, time.now());
  CHECK(writers(6054).empty());
  CHECK(writers(6055).size() == 1);
  // A writer waits while its own snapshot is pending, but not longer than the
  // timeout.
  nodes[writers(6055)[0]].writeStarted(time.now());
  CHECK(writers(6056).empty());
  time.advance(61s);
  CHECK(writers(6056).size() == 3);
}

TEST_CASE("a snapshot is due by records or by time, and the first one sooner") {
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

TEST_CASE("the gossip form of snapshot parts and of records that are too large "
          "gives the same fold") {
  FoldDriver whole;
  fill(whole, 3);
  for (const auto &it : log::makeSnapshotParts(whole.State, Writer))
    whole.append(it);
  whole.append(std::string(log::MaximumRecordBytes + 1, 'x'));
  whole.append(log::publish("last", "c0", 1, log::contentOf({}, {})));
  FoldDriver gossiped;
  for (const auto &it : whole.Log) {
    gossiped.append(std::string(log::gossipForm(it)));
  }
  CHECK(gossiped.State.hash() == whole.State.hash());
  CHECK(gossiped.State.save() == whole.State.save());
}

TEST_CASE("expired record: a node without state starts from the snapshot in "
          "the log") {
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
  // An empty fold cannot apply the first record that is still kept. The state
  // of the snapshot can, and reaches the writer's state; a second source
  // confirms it.
  CHECK(log::Fold().apply(log.Log[1]).Code == ResultCode::RecordExpired);
  log::FoldHashVerifier verifier;
  verifier.addReportedHash(found->Writer, at, hash);
  CHECK(verifier.verify(found->Writer, at, hash) == HashVerdict::Unconfirmed);
  verifier.addReportedHash("n2", at, hash);
  CHECK(verifier.verify(found->Writer, at, hash) == HashVerdict::Confirmed);
  for (size_t i = at; i < log.Log.size(); ++i)
    found->State.apply(log.Log[i]);
  CHECK(found->State.hash() == log.State.hash());
  CHECK(found->State.configurations().at("c0").Versions.size() == 2);
}
