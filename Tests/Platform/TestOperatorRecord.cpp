#include <LibBase/Hash.h>
#include <LibConfig/ExternalConfiguration.h>
#include <LibConfig/VersionContentCodec.h>
#include <MutateInputs.h>

#include <algorithm>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <doctest/doctest.h>
#include <platform/OperatorRecord.h>
#include <platform/StoreFormat.h>
#include <string>
#include <vector>

using namespace radishcross;
using base::ResultCode;
using test::mutateBytes;
using test::mutateValues;
using test::Mutator;

namespace {

constexpr int Inputs = test::MutatedInputs;

constexpr std::string_view ValidRecord = R"({
  "version": 19,
  "services": [
    {"name": "a", "healthPath": "/health", "maxConnections": 120},
    {"name": "b", "healthPath": "/up?deep=1", "maxConnections": 60}],
  "routes": [
    {"name": "r1", "host": "one.example", "pathPrefix": "/x/", "service": "a",
     "priority": 0, "kind": "safe", "timeout": 1000, "targetLatency": 400,
     "maxAttempts": 2},
    {"name": "r2", "host": "one.example", "pathPrefix": "/x/y/",
     "priority": 7, "kind": "unsafe", "timeout": 1200, "targetLatency": 500,
     "maxAttempts": 1, "trafficSplit": [{"service": "a", "weight": 90},
                                        {"service": "b", "weight": 10}]}],
  "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 1048576,
             "headerTimeout": 3000, "idleTimeout": 20000}})";

/// Returns the valid record with the first \p from replaced by \p to.
std::string with(std::string_view from, std::string_view to) {
  std::string out(ValidRecord);
  auto at = out.find(from);
  REQUIRE(at != std::string::npos);
  return out.replace(at, from.size(), to);
}

std::string repeated(std::string_view text, int times) {
  std::string out;
  for (int n = 0; n < times; ++n)
    out += text;
  return out;
}

bool tryRecord(std::string_view text) {
  base::LastReason reason;
  auto read = platform::decodeOperatorRecord(text, reason);
  if (!read) {
    REQUIRE(reason.code() != ResultCode::Ok);
    return false;
  }
  for (const auto &it : read->Content.Routes) {
    REQUIRE(it.Deadline.count() > 0);
    REQUIRE(it.LatencyObjective.count() >= 0);
    REQUIRE(it.MaximumAttempts > 0);
  }
  if (read->Content.Limits)
    REQUIRE(read->Content.Limits->IdleTimeout.count() > 0);
  config::ExternalConfiguration held;
  REQUIRE(held.update(std::move(*read), reason));
  return true;
}

std::string offsetBytes(char end) {
  std::string out(16, '\0');
  out[7] = end;
  return out;
}

} // namespace

TEST_CASE("every field of the operator's record is decoded") {
  base::LastReason reason;
  auto read = platform::decodeOperatorRecord(ValidRecord, reason);
  REQUIRE_MESSAGE(read, reason.text());
  CHECK(read->Version == 19);
  REQUIRE(read->Content.Services.size() == 2);
  CHECK(read->Content.Services[1].HealthPath == "/up?deep=1");
  CHECK(read->Content.Services[1].MaximumConnections == 60);
  REQUIRE(read->Content.Routes.size() == 2);
  const auto &plain = read->Content.Routes[0];
  CHECK(plain.Match.Host == "one.example");
  CHECK(plain.Match.PathPrefix == "/x/");
  CHECK(plain.Service == "a");
  CHECK(plain.CallRank == config::Rank::Critical);
  CHECK(plain.Idempotent);
  CHECK(plain.Deadline == std::chrono::seconds(1));
  CHECK(plain.LatencyObjective == std::chrono::milliseconds(400));
  CHECK(plain.MaximumAttempts == 2);
  const auto &split = read->Content.Routes[1];
  CHECK(split.CallRank == config::Rank::Background);
  CHECK_FALSE(split.Idempotent);
  REQUIRE(split.Split.size() == 2);
  CHECK(split.Split[1].Weight == 10);
  const config::ClientLimits limits{16384, 1048576, std::chrono::seconds(3),
                                    std::chrono::seconds(20)};
  CHECK(read->Content.Limits == limits);
}

TEST_CASE(
    "an unknown field is ignored, and an unknown kind is not idempotent") {
  base::LastReason reason;
  CHECK(platform::decodeOperatorRecord(with("{", R"({"more": [1],)"), reason));
  auto read =
      platform::decodeOperatorRecord(with(R"("safe")", R"("keyed")"), reason);
  REQUIRE(read);
  CHECK_FALSE(read->Content.Routes[0].Idempotent);
}

TEST_CASE("what is no record of a version is rejected") {
  struct Row {
    std::string_view What;
    std::string Text;
  };
  const Row table[] = {
      {"no bytes", ""},
      {"not JSON", "\x81\xa7version"},
      {"cut off", std::string(ValidRecord.substr(0, ValidRecord.size() - 3))},
      {"another type", "[]"},
      {"bytes that are not UTF-8", with("one.example", "\xff\xfe")},
      {"deeply nested lists", std::string(1'000'000, '[')},
      {"deeply nested objects", repeated(R"({"version":)", 1'000'000)},
      {"a deeply nested version",
       with("19", repeated("[", 100'000) + "1" + repeated("]", 100'000))},
      {"a version of 1e400", with("19", "1e400")},
      {"a version of -1e400", with("19", "-1e400")},
      {"a version of 1e308", with("19", "1e308")},
      {"a version of 65 bits", with("19", "18446744073709551616")},
      {"a version that is no number", with("19", "NaN")},
      {"a version that is a list", with("19", "[19]")},
      {"no version", with(R"("version": 19,)", "")},
      {"a version of text", with("19", R"("19")")},
      {"a version below 0", with("19", "-19")},
      {"a version of 0", with("19", "0")},
      {"a fractional version", with("19", "19.5")},
      {"no services", with(R"("services")", R"("servers")")},
      {"services of another type",
       with(R"("services": [)", R"("services": 1, "s": [)")},
      {"no routes", with(R"("routes")", R"("paths")")},
  };
  for (const auto &row : table) {
    CAPTURE(row.What);
    base::LastReason reason;
    CHECK_FALSE(platform::decodeOperatorRecord(row.Text, reason));
    CHECK(reason.code() != ResultCode::Ok);
  }
}

TEST_CASE("no field of an entry keeps the rest of a version out of force") {
  // Guards against nodes that pass an acknowledged version over (CONFIG).
  struct Row {
    std::string_view What;
    std::string Text;
    bool IsRepaired = true;
  };
  const Row table[] = {
      {"a fractional weight", with("90", "0.5"), false},
      {"a weight beyond a counter", with("90", "4294967297"), false},
      {"a weight of text", with("90", R"("90")"), false},
      {"a weight below 0", with("90", "-1")},
      {"a host with capital letters", with("one.example", "One.Example"),
       false},
      {"a host with a port", with("one.example", "one.example:80"), false},
      {"a host with other characters", with("one.example", "o_n~e.example"),
       false},
      {"a prefix with an escaped character", with("/x/y/", "/x/%7Ey/"), false},
      {"a prefix with dots", with("/x/y/", "/x/../"), false},
      {"a prefix with an empty segment", with("/x/y/", "/x//y/"), false},
      {"a prefix beyond ASCII", with("/x/y/", "/x/\xc3\xa9/"), false},
      {"a route's name with a space", with("r2", "r 2"), false},
      {"a route's name of 100 letters", with("r2", std::string(100, 'r')),
       false},
      {"a service's name with a space",
       [] {
         auto text = std::string(ValidRecord);
         for (size_t at = 0;
              (at = text.find(R"("b")", at)) != std::string::npos; at += 3)
           text.replace(at, 3, R"("b b")");
         return text;
       }(),
       false},
      {"a fractional timeout", with("1000", "1000.5"), false},
      {"a timeout with its unit", with("1000", R"("1.5s")"), false},
      {"a timeout that overflows the clock",
       with("1000", "18446744073709551615"), false},
      {"an objective that overflows the clock",
       with("400", "9223372036854775807"), false},
      {"more attempts than a counter holds",
       with(R"("maxAttempts": 2)", R"("maxAttempts": 4294967296)"), false},
      {"more connections than a counter holds", with("120", "4294967297"),
       false},
      {"an idle timeout that overflows the clock",
       with("20000", "9223372036854775807"), false},
      {"a service that is no object",
       with(R"({"name": "a",)", R"(7, {"name": "a",)")},
      {"a service without a name", with(R"("name": "a",)", "")},
      {"two services of one name", with(R"("name": "b")", R"("name": "a")")},
      {"no health path", with(R"("healthPath": "/health", )", "")},
      {"a health path with a line end", with("/health", "/h\\r\\nX: y")},
      {"a route to an unknown service",
       with(R"("service": "a")", R"("service": "z")")},
      {"a split to an unknown service",
       with(R"("service": "b")", R"("service": "z")")},
      {"a route without a service", with(R"("service": "a",)", "")},
      {"all weights 0",
       [] {
         auto text = with("90", "0");
         return text.replace(text.find(R"("weight": 10)"), 12,
                             R"("weight": 0)");
       }()},
      {"a split that is no list",
       with(R"([{"service": "a", "weight")",
            R"(1, "more": [{"service": "a", "weight")")},
      {"two routes of one name", with(R"("r2")", R"("r1")")},
      {"two routes of one match", with("/x/y/", "/x/")},
      {"a prefix that is no path", with("/x/y/", "x/y/")},
      {"no priority", with(R"("priority": 0,)", "")},
      {"no timeout", with(R"("timeout": 1000,)", "")},
      {"a timeout of 0", with("1000", "0")},
      {"no attempt", with(R"("maxAttempts": 2)", R"("maxAttempts": 0)")},
      {"no limits", with(R"("limits")", R"("bounds")")},
      {"limits of another type",
       with(R"("limits": {)", R"("limits": 7, "l": {)")},
      {"a limit that is missing", with(R"("maxBodyBytes": 1048576,)", "")},
      {"an idle timeout of 0", with("20000", "0")},
  };
  for (const auto &row : table) {
    CAPTURE(row.What);
    base::LastReason reason;
    auto read = platform::decodeOperatorRecord(row.Text, reason);
    REQUIRE_MESSAGE(read, reason.text());
    CHECK(read->Repaired.empty() != row.IsRepaired);
    config::ExternalConfiguration held;
    REQUIRE(held.update(std::move(*read), reason));
    auto snapshot = config::Snapshot::create({held.current()}, 1, reason);
    REQUIRE_MESSAGE(snapshot, reason.text());
    const auto plain = (*snapshot)->findRoute("GET", "One.Example", "/x/z");
    const auto split = (*snapshot)->findRoute("GET", "one.example", "/x/y/z");
    // Each row has a fault in one entry at the most.
    CHECK((plain.Matched || split.Matched));
  }
}

TEST_CASE("the proportions of a split hold after decoding") {
  // Guards against a version that is in force with other shares than written.
  struct Row {
    std::string_view First, Second;
    double Share; ///< Of the first.
  };
  for (const Row &row :
       {Row{"0.9", "0.1", 0.9}, Row{"90", "10", 0.9}, Row{"1e-9", "3e-9", 0.25},
        Row{"4294967297", "4294967297", 0.5}, Row{"1e12", "3e12", 0.25},
        Row{"0", "0.001", 0}, Row{"33.3", "66.7", 0.333}}) {
    CAPTURE(row.First);
    base::LastReason reason;
    auto text = with("90", row.First);
    text.replace(text.find(R"("weight": 10)"), 12,
                 R"("weight": )" + std::string(row.Second));
    auto read = platform::decodeOperatorRecord(text, reason);
    REQUIRE(read);
    const auto &split = read->Content.Routes[1].Split;
    REQUIRE(split.size() == 2);
    const double first = split[0].Weight;
    CHECK(first / (first + split[1].Weight) ==
          doctest::Approx(row.Share).epsilon(1e-4));
  }
}

TEST_CASE("a route whose service cannot be told refuses its requests") {
  // Guards against requests that fall to the service of a shorter prefix.
  base::LastReason reason;
  auto read = platform::decodeOperatorRecord(
      with(R"([{"service": "a", "weight")",
           R"(1, "more": [{"service": "a", "weight")"),
      reason);
  REQUIRE(read);
  auto snapshot = config::Snapshot::create(
      {{"external", 19,
        std::make_shared<const config::VersionContent>(read->Content)}},
      1, reason);
  REQUIRE(snapshot);
  const auto route = (*snapshot)->findRoute("GET", "one.example", "/x/y/z");
  REQUIRE(route.Matched);
  CHECK(route.ServiceName ==
        "external/" + std::string(config::MissingServiceName));
}

TEST_CASE("a mutated operator's record is rejected or can be in force") {
  mutateBytes(21, std::string(ValidRecord), tryRecord);
  mutateValues(22, boost::json::parse(ValidRecord), [](const auto &document) {
    return tryRecord(boost::json::serialize(document));
  });
}

TEST_CASE("decoding a mutated read stays within its bytes") {
  std::string read = offsetBytes(3);
  for (int i = 0; i < 3; ++i)
    read += platform::encodeRecord("key" + std::to_string(i), "some value");
  mutateBytes(23, read, [](const std::string &bytes) {
    auto out = platform::decodeRead(bytes, 5);
    if (!out)
      return false;
    size_t sum = 0;
    for (const auto &it : out->Records)
      sum += it.Key.size() + it.Value.size();
    REQUIRE(sum <= bytes.size());
    return true;
  });
}

TEST_CASE(
    "decoding a mutated page of the newest records stays within its bytes") {
  std::string page = R"({"items":[{"key":"a","value":"eA==","offset":1},)"
                     R"({"key":"b","value":"eHl6","offset":2}],)"
                     R"("more":true,"endOffset":3})";
  mutateBytes(24, page, [](const std::string &body) {
    auto out = platform::decodeNewest(body);
    if (!out)
      return false;
    for (const auto &it : out->Answer.Records)
      REQUIRE(it.Key.size() + it.Value.size() <= body.size());
    return true;
  });
}

TEST_CASE(
    "a mutated success answer to an append is never decoded as a refusal") {
  mutateBytes(25, R"({"offset":7,"endOffset":8})", [](const std::string &body) {
    http::Response answer(boost::beast::http::status::ok, 11);
    answer.body() = body;
    auto out = platform::decodeAppend(answer);
    // An unreadable success answer is unknown, never a refusal.
    REQUIRE(out.Outcome != log::PutAnswer::Kind::Refused);
    return out.Outcome == log::PutAnswer::Kind::Accepted;
  });
}

TEST_CASE("an append counts as refused only by the status of the answer") {
  Mutator mutator(26);
  for (int i = 0; i < Inputs; ++i) {
    auto status = static_cast<unsigned>(200 + i % 400);
    http::Response answer;
    answer.result(status);
    answer.body() = mutator.bytes(R"({"offset":7,"endOffset":8})");
    auto out = platform::decodeAppend(answer);
    bool refuses = (status >= 400 && status < 500) || status == 503;
    REQUIRE((out.Outcome == log::PutAnswer::Kind::Refused) == refuses);
    REQUIRE((out.Outcome == log::PutAnswer::Kind::Accepted ||
             out.Reason.code() != ResultCode::Ok));
  }
}

TEST_CASE(
    "no mutated record moves the external configuration to an older version") {
  Mutator mutator(27);
  config::ExternalConfiguration held;
  base::LastReason reason;
  uint64_t before = 0;
  size_t accepted = 0;
  for (int i = 0; i < Inputs; ++i) {
    auto read = platform::decodeOperatorRecord(
        mutator.bytes(std::string(ValidRecord)), reason);
    if (!read)
      continue;
    uint64_t version = read->Version;
    bool isAccepted = held.update(std::move(*read), reason);
    REQUIRE(isAccepted == (version > before));
    REQUIRE(held.version() == std::max(before, version));
    before = held.version();
    accepted += isAccepted ? 1 : 0;
  }
  CHECK(accepted > 0);
}

TEST_CASE(
    "tenants and public routes are decoded, and keys are kept as hashes") {
  base::LastReason reason;
  auto text = with("\"limits\":", R"("tenants": [
      {"name": "acme", "apiKeys": ["k1", "k2"], "priority": 1,
       "ratePerS": 536, "burst": 40},
      {"name": "free", "apiKeys": []}], "limits":)");
  text.replace(text.find("\"maxAttempts\": 2"), 16,
               "\"maxAttempts\": 2, \"public\": true");
  auto read = platform::decodeOperatorRecord(text, reason);
  REQUIRE_MESSAGE(read, reason.text());
  const auto &tenants = read->Content.Tenants;
  REQUIRE(tenants.size() == 2);
  CHECK(tenants[0].Name == "acme");
  CHECK(tenants[0].KeyHashes ==
        std::vector<std::string>{base::sha256Hex("k1"), base::sha256Hex("k2")});
  CHECK(tenants[0].CallRank == config::Rank::Standard);
  CHECK(tenants[0].RatePerSecond == 536);
  CHECK(tenants[0].Burst == 40);
  CHECK_FALSE(tenants[1].CallRank);
  CHECK(tenants[1].RatePerSecond == 0);
  CHECK(read->Content.Routes[0].IsPublic);
  CHECK_FALSE(read->Content.Routes[1].IsPublic);
  const auto written =
      boost::json::serialize(config::encodeVersionContent(read->Content));
  CHECK(written.find("\"k1\"") == std::string::npos);
}

TEST_CASE("no field of a tenant keeps the rest of a version out of force") {
  struct Row {
    std::string_view Tenants;
    std::vector<std::pair<std::string, size_t>> Keys; ///< Number by tenant.
  };
  const Row table[] = {
      {R"([{"name": "a", "apiKeys": ["k"]}, {"name": "b", "apiKeys": ["k"]}])",
       {{"a", 1}, {"b", 0}}},
      {R"([{"name": "a", "apiKeys": ["k"]}, {"name": "a", "apiKeys": ["l"]}])",
       {{"a", 2}}},
      {R"([{"name": "", "apiKeys": ["k"]}])", {}},
      {R"([{"name": "a\r\nX: y", "apiKeys": ["k"]}])", {}},
      {R"([{"name": "a", "apiKeys": ["k"], "ratePerS": -1}])", {{"a", 1}}},
      {R"([{"name": "a", "apiKeys": [7, "k"]}])", {{"a", 1}}},
      {R"([{"name": "a"}, 7])", {{"a", 0}}},
      {R"(7)", {}},
  };
  for (const auto &row : table) {
    CAPTURE(row.Tenants);
    base::LastReason reason;
    auto read = platform::decodeOperatorRecord(
        with("\"limits\":",
             "\"tenants\": " + std::string(row.Tenants) + ", \"limits\":"),
        reason);
    REQUIRE(read);
    std::vector<std::pair<std::string, size_t>> keys;
    for (const auto &it : read->Content.Tenants)
      keys.emplace_back(it.Name, it.KeyHashes.size());
    CHECK(keys == row.Keys);
    CHECK(read->Content.Routes.size() == 2);
    CHECK_FALSE(read->Repaired.empty());
    for (const auto &it : read->Repaired)
      CHECK(it.find("\"k\"") == std::string::npos);
  }
}

TEST_CASE("a download may be repeated, any unknown kind may not") {
  base::LastReason reason;
  auto download = platform::decodeOperatorRecord(
      with("\"kind\": \"safe\"", "\"kind\": \"download\""), reason);
  REQUIRE(download);
  CHECK(download->Content.Routes[0].Idempotent);
  auto unknown = platform::decodeOperatorRecord(
      with("\"kind\": \"safe\"", "\"kind\": \"other\""), reason);
  REQUIRE(unknown);
  CHECK_FALSE(unknown->Content.Routes[0].Idempotent);
}
