#include <LibLog/Fold.h>
#include <LibLog/FoldDriver.h>
#include <LibLog/FoldLimits.h>

#include <boost/json/serialize.hpp>
#include <doctest/doctest.h>
#include <string>

using namespace radishcross;
using base::ResultCode;
using log::FoldDriver;

namespace {

const boost::json::value One = log::contentOf({"s"}, {"r>s"});
const boost::json::value Two = log::contentOf({"s", "t"}, {"r>t"});

} // namespace

TEST_CASE("conflicting publishes: the first one in the log wins") {
  FoldDriver log;
  CHECK(log.append(log::publish("p1", "badges", 0, One)).Version == 1);
  auto won = log.append(log::publish("p2", "badges", 1, Two));
  CHECK(won.Code == ResultCode::Ok);
  CHECK(won.Version == 2);
  auto lost = log.append(log::publish("p3", "badges", 1, One));
  CHECK(lost.Code == ResultCode::StaleBase);
  CHECK(lost.WinnerAt == 2);
  CHECK(lost.Reason == "base 1 is stale: version 2 was accepted at offset 2");
  CHECK(log.State.configurations().at("badges").Versions.back().Number == 2);
  CHECK(log.State.attachments().at("badges").Version == 2);
  CHECK(log.State.audit().size() == 3);
  // The rejected author sees the difference from the accepted version.
  CHECK(boost::json::serialize(log.State.audit().back().Difference) ==
        R"({"services":{"removed":["t"]},)"
        R"("routes":{"changed":{"r":{"service":["t","s"]}}}})");
  auto retried = log.append(log::publish("p4", "badges", 2, One));
  CHECK(retried.Version == 3);
  checkRoundTrip(log.State);
}

TEST_CASE("duplicate record: an append repeated after a lost answer is applied "
          "once") {
  FoldDriver log;
  auto record = log::publish("p1", "badges", 0, One);
  log.append(record);
  auto again = log.append(record);
  CHECK(again.Code == ResultCode::DuplicateRecord);
  CHECK(again.Version == 1);
  CHECK(log.State.outcomeOf("p1")->Code == ResultCode::Ok);
  CHECK(log.State.outcomeOf("p1")->At == 1);
  CHECK_FALSE(log.State.outcomeOf("p2"));
  CHECK(log.State.configurations().at("badges").Versions.size() == 1);
  // Applying the same offset twice changes nothing.
  uint64_t hash = log.State.hash();
  CHECK(log.State.apply(log.Log[0]).Code == ResultCode::DuplicateRecord);
  CHECK(log.State.apply({9, log.Log[0].Bytes}).Code ==
        ResultCode::RecordExpired);
  CHECK(log.State.hash() == hash);
}

TEST_CASE("every rule rejects with its own code and the fold continues") {
  FoldDriver log;
  log.append(log::publish("p1", "badges", 0, One));
  log.append(log::publish("p2", "surf", 0, One, "", log::Surf));
  struct Row {
    log::Record Change;
    ResultCode Code;
  };
  auto dangling = log::contentOf({}, {"r>gone"});
  const Row table[] = {
      {log::publish("x1", "badges", 7, Two), ResultCode::UnknownVersion},
      {log::publish("x2", "badges", 0, Two), ResultCode::StaleBase},
      {log::publish("x3", "badges", 1, dangling),
       ResultCode::DanglingReference},
      {log::publish("x4", "badges", 1, Two, "", log::Surf),
       ResultCode::WrongTeam},
      {log::publish("x5", "new", 0, Two, "", {"", "a", ""}),
       ResultCode::WrongTeam},
      {log::attach("x6", "a", "badges", 1, "", log::Surf),
       ResultCode::WrongTeam},
      {log::attach("x7", "a", "badges", 2, ""), ResultCode::UnknownVersion},
      {log::attach("x8", "a", "none", 1, ""), ResultCode::UnknownConfiguration},
      {log::attach("x9", "surf", "badges", 1, ""), ResultCode::DuplicateName},
      {log::makeDetach("x10", log::Badges, {"none"}), ResultCode::NotFound},
      {log::makeDetach("x11", log::Surf, {"badges"}), ResultCode::WrongTeam},
      {log::makeDrain("x12", log::Surf, {"service:badges/s", true}),
       ResultCode::WrongTeam},
      {log::makeDrain("x13", log::Surf, {"rack:1", true}),
       ResultCode::RecordMalformed},
      {{"x14", log::RecordKind::Publish, log::Badges, boost::json::object{}},
       ResultCode::RecordMalformed},
  };
  auto before = log.State.configurations().at("badges").ChangedAt;
  for (const auto &row : table) {
    CAPTURE(row.Change.Id);
    auto outcome = log.append(row.Change);
    CHECK(outcome.Code == row.Code);
    CHECK_FALSE(outcome.Reason.empty());
    CHECK(log.State.outcomeOf(row.Change.Id)->Code == row.Code);
  }
  CHECK(log.append(std::string("not json")).Code ==
        ResultCode::RecordMalformed);
  CHECK(log.append(std::string(log::MaximumRecordBytes + 1, 'x')).Code ==
        ResultCode::RecordTooLarge);
  CHECK(log.State.configurations().at("badges").ChangedAt == before);
  CHECK(log.State.attachments().size() == 2);
  CHECK(log.State.drained().empty());
  CHECK(log.append(log::publish("p3", "badges", 1, Two)).Version == 2);
  checkRoundTrip(log.State);
}

TEST_CASE("attachments and drains are part of the state") {
  FoldDriver log;
  log.append(log::publish("p1", "badges", 0, One, "none"));
  CHECK(log.State.attachments().empty());
  log.append(log::attach("a1", "edge", "badges", 1, "tier=edge"));
  CHECK(log.State.attachments().at("edge").NodeSelector.text() == "tier=edge");
  log.append(log::makeDetach("d1", log::Badges, {"edge"}));
  CHECK(log.State.attachments().empty());
  log.append(log::makeDrain("x1", log::Badges, {"vm:n1", true}));
  log.append(log::makeDrain("x2", log::Badges, {"service:badges/s", true}));
  CHECK(log.State.drained().size() == 2);
  log.append(log::makeDrain("x3", log::Badges, {"vm:n1", false}));
  CHECK(log.State.drained().size() == 1);
  checkRoundTrip(log.State);
}

TEST_CASE("a record of a retired kind changes only the offset") {
  FoldDriver with;
  FoldDriver without;
  for (auto *log : {&with, &without}) {
    log->append(log::publish("p1", "badges", 0, One));
    auto record = log::retired("b1");
    // An empty record also changes only the offset.
    auto bytes = log == &with ? log::encodeRecord(record) : std::string();
    log->append(std::move(bytes));
    log->append(log::publish("p2", "badges", 1, Two));
  }
  CHECK(with.State.offset() == 3);
  CHECK(with.State.hash() == without.State.hash());
  CHECK_FALSE(with.State.outcomeOf("b1"));
  CHECK(with.State.audit().size() == 2);
  // The number stays reserved: the kinds in the audit trail are part of the
  // hash.
  CHECK(static_cast<int>(log::RecordKind::Retired) == 4);
  CHECK(static_cast<int>(log::RecordKind::Snapshot) == 5);
  CHECK(static_cast<int>(log::RecordKind::Drain) == 6);
}

TEST_CASE("a state saved by an older release loads without its retired "
          "entries") {
  FoldDriver log;
  log.append(log::publish("p1", "badges", 0, One));
  auto older = log.State.save();
  CHECK_FALSE(older.as_object().contains("beacons"));
  older.as_object()["beacons"] = boost::json::array{
      boost::json::object{{"node", "n1"}, {"gossip", "127.0.0.1:1"}}};
  base::LastReason reason;
  auto loaded = log::Fold::load(older, reason);
  REQUIRE_MESSAGE(loaded, reason.text());
  CHECK(loaded->hash() == log.State.hash());
  CHECK(loaded->save() == log.State.save());
}

TEST_CASE("equal records give equal hashes, different records different ones") {
  FoldDriver a;
  FoldDriver b;
  for (auto *log : {&a, &b})
    log->append(log::publish("p1", "badges", 0, One));
  CHECK(a.State.hash() == b.State.hash());
  a.append(log::publish("p2", "badges", 1, One, "", {"badges", "x", ""}));
  b.append(log::publish("p2", "badges", 1, One, "", {"badges", "y", ""}));
  CHECK(a.State.hash() != b.State.hash());
}
