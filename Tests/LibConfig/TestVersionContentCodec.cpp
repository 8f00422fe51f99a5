#include <LibConfig/VersionContentCodec.h>

#include <boost/json/parse.hpp>
#include <doctest/doctest.h>
#include <string>

using namespace radishcross;
using base::ResultCode;

namespace {

struct Defect {
  std::string Routes; ///< Elements of "routes".
  ResultCode Code;
  std::string_view Reason;
};

boost::json::value withRoutes(const std::string &routes) {
  return boost::json::parse(R"({"services":[{"name":"lookup"}],"routes":[)" +
                            routes + "]}");
}

} // namespace

TEST_CASE("a version's document is read, normalised and written back") {
  base::LastReason reason;
  auto document = boost::json::parse(R"({
    "services": [{"name": "lookup", "limits": {"queue_length": 9}}],
    "routes": [{"name": "r", "service": "lookup", "rank": "standard",
      "match": {"methods": ["POST", "GET", "GET"], "host": "Badges.Example",
                "path_prefix": "/badges/"},
      "deadline_ms": 250, "idempotent": true},
      {"name": "other", "service": "payments/pay"}]})");
  auto content = config::decodeVersionContent(document, reason);
  REQUIRE_MESSAGE(content, reason.text());
  CHECK(content->Services[0].Limits.QueueLength == 9);
  CHECK(content->Services[0].Limits.RetryBudgetPercent == 10);
  const auto &route = content->Routes[0];
  CHECK(route.Match.Methods == std::vector<std::string>{"GET", "POST"});
  CHECK(route.Match.Host == "badges.example");
  CHECK(route.Match.PathPrefix == "/badges");
  CHECK(route.Deadline == std::chrono::milliseconds(250));
  CHECK(route.CallRank == config::Rank::Standard);
  CHECK(route.Idempotent);
  auto written = config::encodeVersionContent(*content);
  auto again = config::decodeVersionContent(written, reason);
  REQUIRE_MESSAGE(again, reason.text());
  CHECK(config::encodeVersionContent(*again) == written);
  CHECK(config::decodeVersionContent(boost::json::parse("{}"), reason));
}

TEST_CASE("every defect by meaning is named with its code and key") {
  const Defect table[] = {
      {R"({"name":"r","service":"gone"})", ResultCode::DanglingReference,
       "routes[0].service: found \"gone\""},
      {R"({"name":"r","service":"a/b/c"})", ResultCode::BadValue,
       "routes[0].service"},
      {R"({"name":"-r","service":"lookup"})", ResultCode::BadValue,
       "routes[0].name"},
      {R"({"name":"r","service":"lookup"},)"
       R"({"name":"r","service":"lookup","match":{"path_prefix":"/a"}})",
       ResultCode::DuplicateName, "routes[1].name"},
      {R"({"name":"r","service":"lookup","match":{"path_prefix":"/a"}},)"
       R"({"name":"s","service":"lookup","match":{"path_prefix":"/a/"}})",
       ResultCode::AmbiguousRoute, "routes[1].match"},
      {R"({"name":"r","service":"lookup","match":{"methods":["GET","PUT"]}},)"
       R"({"name":"s","service":"lookup","match":{"methods":["PUT"]}})",
       ResultCode::AmbiguousRoute, "routes[1].match"},
      {R"({"name":"r","service":"lookup","match":{"path_prefix":"a"}})",
       ResultCode::BadRoute, "routes[0].match.path_prefix"},
      {R"({"name":"r","service":"lookup","match":{"path_prefix":"/a//b"}})",
       ResultCode::BadRoute, "path_prefix"},
      {R"({"name":"r","service":"lookup","match":{"path_prefix":"/a/../b"}})",
       ResultCode::BadRoute, "path_prefix"},
      {R"({"name":"r","service":"lookup","match":{"path_prefix":"/a%2fb"}})",
       ResultCode::BadRoute, "path_prefix"},
      {R"({"name":"r","service":"lookup","match":{"host":"a b"}})",
       ResultCode::BadRoute, "routes[0].match.host"},
      {R"({"name":"r","service":"lookup","rank":"urgent"})",
       ResultCode::BadValue, "routes[0].rank: found \"urgent\""},
      {R"({"name":"r","service":"lookup","deadline_ms":0})",
       ResultCode::NumberOutOfRange, "routes[0].deadline_ms"},
      {R"({"name":"r","service":"lookup","deadline_ms":900.0})",
       ResultCode::WrongType, "routes[0].deadline_ms"},
      {R"({"name":"r","service":"lookup","deadline_ms":18446744073709551615})",
       ResultCode::NumberOutOfRange, "routes[0].deadline_ms"},
      {R"({"name":"r"})", ResultCode::MissingKey, "routes[0].service"},
      {R"({"name":"r","service":"lookup","weight":1})", ResultCode::UnknownKey,
       "routes[0].weight"},
  };
  for (const auto &row : table) {
    CAPTURE(row.Routes);
    base::LastReason reason;
    CHECK_FALSE(config::decodeVersionContent(withRoutes(row.Routes), reason));
    CAPTURE(reason.text());
    CHECK(reason.code() == row.Code);
    CHECK(reason.text().find(row.Reason) != std::string::npos);
  }
}

TEST_CASE("a route with methods may stand beside one without") {
  base::LastReason reason;
  CHECK(config::decodeVersionContent(
      withRoutes(R"({"name":"r","service":"lookup"},)"
                 R"({"name":"s","service":"lookup",)"
                 R"("match":{"methods":["PUT"]}})"),
      reason));
}
