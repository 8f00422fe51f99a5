#include <LibConfig/VersionContentCodec.h>
#include <LibLog/FoldDriver.h>
#include <LibLog/FoldLimits.h>
#include <LibSchema/StrictJson.h>

#include <doctest/doctest.h>
#include <string>

using namespace radishcross;
using base::ResultCode;
using log::FoldDriver;

namespace {

boost::json::value numbered(uint64_t i) {
  return log::contentOf({"s" + std::to_string(i)}, {});
}

} // namespace

TEST_CASE("the history is limited; versions in use are kept beyond the limit") {
  FoldDriver log;
  constexpr uint64_t Last = log::MaximumVersions + 50;
  log.append(log::publish("p0", "a", 0, numbered(1), "none"));
  log.append(log::attach("old", "old", "a", 1, "tier=back"));
  for (uint64_t i = 1; i < Last; ++i)
    REQUIRE(log.append(log::publish("p" + std::to_string(i), "a", i,
                                    numbered(i + 1), "tier=edge"))
                .Code == ResultCode::Ok);
  const auto &configuration = log.State.configurations().at("a");
  CHECK(configuration.Versions.size() == log::MaximumVersions + 1);
  CHECK(configuration.Versions.front().Number == 1);
  CHECK(configuration.Versions[1].Number == 51);
  CHECK(log.State.audit().size() == log::MaximumAuditEntries);
  base::LastReason reason;
  for (uint64_t kept : {uint64_t{1}, uint64_t{51}, uint64_t{1234}, Last}) {
    CAPTURE(kept);
    auto document = log.State.documentOf("a", kept, reason);
    REQUIRE(document);
    CHECK(*document == numbered(kept));
    CHECK(log.State.contentOf("a", kept, reason)->Services[0].Name ==
          "s" + std::to_string(kept));
  }
  CHECK_FALSE(log.State.documentOf("a", 50, reason));
  CHECK(reason.code() == ResultCode::UnknownVersion);
  CHECK(log.append(log::attach("x", "x", "a", 50, "")).Code ==
        ResultCode::UnknownVersion);
  checkRoundTrip(log.State);
  // An old version is attached again from the history, then detached.
  log.append(log::attach("y", "y", "a", 60, ""));
  CHECK(configuration.Versions[10].Content != nullptr);
  checkRoundTrip(log.State);
  log.append(log::makeDetach("z", log::Badges, {"y"}));
  CHECK(configuration.Versions[10].Content == nullptr);
  log.append(log::makeDetach("w", log::Badges, {"old"}));
  CHECK(configuration.Versions.front().Number == 51);
  checkRoundTrip(log.State);
}

TEST_CASE(
    "the number of kept record ids is limited, the oldest are dropped first") {
  FoldDriver log;
  for (size_t i = 0; i <= log::MaximumOutcomes; ++i)
    log.append(log::makeDrain("d" + std::to_string(i), log::Badges,
                              {"vm:n", i % 2 == 0}));
  CHECK_FALSE(log.State.outcomeOf("d0"));
  CHECK(log.State.outcomeOf("d1"));
  CHECK(log.append(log::makeDrain("d1", log::Badges, {"vm:n", true})).Code ==
        ResultCode::DuplicateRecord);
  checkRoundTrip(log.State);
}

TEST_CASE("an invalid saved state is rejected") {
  FoldDriver log;
  log.append(log::publish("1", "a", 0, numbered(1)));
  log.append(log::publish("2", "a", 1, numbered(2)));
  const auto sound = schema::canonicalJson(log.State.save());
  const std::pair<std::string, std::string> table[] = {
      {"\"format\":1", "\"format\":2"},
      {"\"number\":2", "\"number\":3"},
      {"\"version\":2", "\"version\":9"},
      {"\"versions\":[", "\"versions\":[{\"at\":1,\"number\":9},"},
      {"\"removed\":1", "\"removed\":7"},
      {"s1", "s!"},
      {"\"outcomes\":[", "\"outcomes\":[{},"},
      {"\"chunks\":[]", "\"beacons\":{},\"chunks\":[]"},
      {"\"drained\":[]", "\"drained\":{}"},
      {"\"chunks\":[]", "\"chunks\":[{\"of\":1}]"},
      {"\"kind\":\"publish\"", "\"kind\":\"x\""},
  };
  base::LastReason reason;
  for (const auto &row : table) {
    CAPTURE(row.second);
    auto text = sound;
    size_t at = text.find(row.first);
    REQUIRE(at != std::string::npos);
    text.replace(at, row.first.size(), row.second);
    auto document = schema::parseStrictJson(text, {}, reason);
    REQUIRE(document);
    auto loaded = log::Fold::load(*document, reason);
    // A state that can be loaded must not have the hash of the original.
    if (loaded)
      CHECK(loaded->hash() != log.State.hash());
    else
      CHECK(reason.code() == ResultCode::SnapshotMismatch);
  }
}
