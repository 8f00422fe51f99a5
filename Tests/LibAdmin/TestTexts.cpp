#include <LibAdmin/ApiRequest.h>
#include <LibAdmin/NearestName.h>
#include <LibAdmin/RecordId.h>
#include <LibAdmin/TextTable.h>

#include <doctest/doctest.h>

using namespace radishcross;
using base::ResultCode;

TEST_CASE("a mistyped name suggests the nearest, an unrelated one nothing") {
  const std::vector<std::string> names = {"publish", "attach", "detach",
                                          "status", "watch"};
  const std::pair<const char *, const char *> cases[] = {{"pubilsh", "publish"},
                                                         {"statsu", "status"},
                                                         {"atach", "attach"},
                                                         {"watc", "watch"},
                                                         {"publish", "publish"},
                                                         {"frobnicate", ""},
                                                         {"", ""}};
  for (const auto &[typed, meant] : cases)
    CHECK(admin::nearestName(typed, names) == meant);
}

TEST_CASE("tables align columns and replace control characters") {
  admin::TextTable table({"NODE", "STATE"});
  table.add({"north-17", "a\x1b[2J"});
  CHECK(table.text() == "NODE      STATE\nnorth-17  a?[2J\n");
}

TEST_CASE("request targets are split and decoded, malformed ones rejected") {
  base::LastReason reason;
  auto target = admin::parseTarget("/v1/a%2Fb?x=1&y=a%20b", reason);
  REQUIRE(target);
  CHECK(target->Segments == std::vector<std::string>{"v1", "a/b"});
  CHECK(target->Query.at("y") == "a b");
  CHECK(admin::percentEncode("a/b c") == "a%2Fb%20c");
  for (const char *text : {"", "v1", "//v1", "/v1/%", "/v1/%g1", "/v1?x",
                           "/v1?x=1&x=2", "/1/2/3/4/5/6/7/8/9"}) {
    CAPTURE(text);
    CHECK_FALSE(admin::parseTarget(text, reason));
    CHECK(reason.code() == ResultCode::UsageError);
  }
  CHECK_FALSE(admin::parseTarget("/" + std::string(5000, 'a'), reason));
}

TEST_CASE("generated record ids are unique and valid") {
  auto id = admin::newRecordId();
  CHECK(admin::isRecordId(id));
  CHECK(id != admin::newRecordId());
  for (const char *text : {"", "short", "with space", "a/b/c/d/e"})
    CHECK_FALSE(admin::isRecordId(text));
}
