#include <LibConfig/VersionContentCodec.h>

#include <boost/json/parse.hpp>
#include <doctest/doctest.h>
#include <string>
#include <vector>

using namespace radishcross;
using base::ResultCode;

namespace {

struct InvalidRoutes {
  std::string Routes; ///< Elements of "routes".
  ResultCode Code;
  std::string_view Reason;
};

boost::json::value withRoutes(const std::string &routes) {
  return boost::json::parse(R"({"services":[{"name":"lookup"}],"routes":[)" +
                            routes + "]}");
}

} // namespace

TEST_CASE("a version's document is decoded, normalised and encoded again") {
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

TEST_CASE("splits, objectives, attempts, health paths and limits round-trip") {
  base::LastReason reason;
  auto document = boost::json::parse(R"({
    "services": [{"name": "a", "health_path": "/healthz",
                  "max_connections": 120}, {"name": "b"}],
    "routes": [{"name": "r", "latency_objective_ms": 400, "max_attempts": 2,
      "split": [{"service": "a", "weight": 9},
                {"service": "b", "weight": 1},
                {"service": "pay/c", "weight": 0}]}],
    "limits": {"header_bytes": 8192, "body_bytes": 65536,
               "header_timeout_ms": 2000, "idle_timeout_ms": 30000}})");
  auto content = config::decodeVersionContent(document, reason);
  REQUIRE_MESSAGE(content, reason.text());
  CHECK(content->Services[0].HealthPath == "/healthz");
  CHECK(content->Services[0].MaximumConnections == 120);
  CHECK(content->Services[1].HealthPath.empty());
  const auto &route = content->Routes[0];
  REQUIRE(route.Split.size() == 3);
  CHECK(route.Split[0].Service == "a");
  CHECK(route.Split[0].Weight == 9);
  CHECK(route.Split[2].Service == "pay/c");
  CHECK(route.Split[2].Weight == 0);
  CHECK(route.Service.empty());
  CHECK(route.LatencyObjective == std::chrono::milliseconds(400));
  CHECK(route.MaximumAttempts == 2);
  const config::ClientLimits limits{8192, 65536, std::chrono::seconds(2),
                                    std::chrono::seconds(30)};
  CHECK(content->Limits == limits);
  auto written = config::encodeVersionContent(*content);
  auto again = config::decodeVersionContent(written, reason);
  REQUIRE_MESSAGE(again, reason.text());
  CHECK(config::encodeVersionContent(*again) == written);
  CHECK(again->Limits == limits);
  CHECK(again->Routes[0].Split.size() == 3);
}

TEST_CASE("limits omitted from a document have their defaults") {
  base::LastReason reason;
  auto content = config::decodeVersionContent(
      boost::json::parse(R"({"limits":{"body_bytes":9}})"), reason);
  REQUIRE_MESSAGE(content, reason.text());
  REQUIRE(content->Limits);
  CHECK(content->Limits->BodyBytes == 9);
  CHECK(content->Limits->HeaderBytes == config::ClientLimits().HeaderBytes);
  auto none = config::decodeVersionContent(boost::json::parse("{}"), reason);
  REQUIRE(none);
  CHECK_FALSE(none->Limits);
}

TEST_CASE("invalid limits and services are reported with code and key") {
  struct Row {
    std::string Document;
    ResultCode Code;
    std::string_view Reason;
  };
  const Row table[] = {
      {R"({"limits":{"header_bytes":0}})", ResultCode::NumberOutOfRange,
       "limits.header_bytes"},
      {R"({"limits":{"idle_timeout_ms":"5s"}})", ResultCode::WrongType,
       "limits.idle_timeout_ms"},
      {R"({"limits":{"bytes":1}})", ResultCode::UnknownKey, "limits.bytes"},
      {R"({"services":[{"name":"a","health_path":"healthz"}]})",
       ResultCode::BadValue, "services[0].health_path: found \"healthz\""},
      {R"({"services":[{"name":"a","health_path":"/a b"}]})",
       ResultCode::BadValue, "services[0].health_path"},
      {R"({"services":[{"name":"a","health_path":"/a\r\nX: y"}]})",
       ResultCode::BadValue, "services[0].health_path"},
      {R"({"services":[{"name":"a","max_connections":-1}]})",
       ResultCode::NumberOutOfRange, "services[0].max_connections"},
  };
  for (const auto &row : table) {
    CAPTURE(row.Document);
    base::LastReason reason;
    CHECK_FALSE(
        config::decodeVersionContent(boost::json::parse(row.Document), reason));
    CAPTURE(reason.text());
    CHECK(reason.code() == row.Code);
    CHECK(reason.text().find(row.Reason) != std::string::npos);
  }
}

TEST_CASE("every invalid route is reported with its code and key") {
  const InvalidRoutes table[] = {
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
      {R"({"name":"r","split":[]})", ResultCode::BadValue, "routes[0].split"},
      {R"({"name":"r","split":[{"service":"lookup"}]})", ResultCode::MissingKey,
       "routes[0].split[0].weight"},
      {R"({"name":"r","split":[{"service":"lookup","weight":0}]})",
       ResultCode::BadRoute, "routes[0].split"},
      {R"({"name":"r","split":[{"service":"lookup","weight":1},)"
       R"({"service":"gone","weight":1}]})",
       ResultCode::DanglingReference,
       "routes[0].split[1].service: found \"gone\""},
      {R"({"name":"r","service":"lookup",)"
       R"("split":[{"service":"lookup","weight":1}]})",
       ResultCode::BadRoute, "routes[0].split"},
      {R"({"name":"r","service":"lookup","max_attempts":0})",
       ResultCode::NumberOutOfRange, "routes[0].max_attempts"},
      {R"({"name":"r","service":"lookup","latency_objective_ms":-1})",
       ResultCode::NumberOutOfRange, "routes[0].latency_objective_ms"},
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

TEST_CASE("a route with methods may coexist with one without") {
  base::LastReason reason;
  CHECK(config::decodeVersionContent(
      withRoutes(R"({"name":"r","service":"lookup"},)"
                 R"({"name":"s","service":"lookup",)"
                 R"("match":{"methods":["PUT"]}})"),
      reason));
}

TEST_CASE("tenants round-trip, and faulty ones are refused") {
  const std::string key(64, 'a');
  auto document = [](const std::string &tenants) {
    return boost::json::parse(R"({"services":[{"name":"lookup"}],"routes":[
      {"name":"r","service":"lookup","public":true}],"tenants":[)" +
                              tenants + "]}");
  };
  base::LastReason reason;
  auto content = config::decodeVersionContent(
      document(
          R"({"name":"acme","rank":"critical","rate_per_second":9,"burst":3,
                   "keys_sha256":[")" +
          key + R"("]})"),
      reason);
  REQUIRE_MESSAGE(content, reason.text());
  REQUIRE(content->Tenants.size() == 1);
  CHECK(content->Tenants[0].CallRank == config::Rank::Critical);
  CHECK(content->Tenants[0].RatePerSecond == 9);
  CHECK(content->Routes[0].IsPublic);
  auto written = config::encodeVersionContent(*content);
  auto again = config::decodeVersionContent(written, reason);
  REQUIRE_MESSAGE(again, reason.text());
  CHECK(config::encodeVersionContent(*again) == written);
  const std::string keys = R"(,"keys_sha256":[")" + key + R"("]})";
  auto named = [&keys](const std::string &name) {
    return R"({"name":")" + name + "\"" + keys;
  };
  const std::vector<std::string> faulty = {
      named("a") + "," + named("b"),
      named(""),
      named("a") + R"(,{"name":"a","keys_sha256":[]})",
      R"({"name":"a","keys_sha256":["short"]})",
      R"({"name":"a","keys_sha256":[],"rate_per_second":-1})",
  };
  for (const auto &tenants : faulty) {
    CAPTURE(tenants);
    CHECK_FALSE(config::decodeVersionContent(document(tenants), reason));
  }
}
