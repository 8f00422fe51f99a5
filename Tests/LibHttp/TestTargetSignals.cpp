#include <LibHttp/ResponseFields.h>
#include <LibHttp/TwoNodes.h>

#include <doctest/doctest.h>

using namespace radishcross;
using namespace radishcross::tests;

namespace {

const calls::CallHeaders Names;

http::Response withLimits(const std::vector<std::string> &limits) {
  http::Response response;
  for (const auto &it : limits)
    response.insert(Names.RateLimit, it);
  return response;
}

} // namespace

TEST_CASE("a rate limit is a decimal number without sign or exponent") {
  struct Row {
    const char *Text;
    std::optional<balance::MilliRate> Rate;
  };
  const std::string huge(400, '9');
  const Row rows[] = {
      {"16", 16'000},
      {"16.9", 16'900},
      {"0.25", 250},
      {"0", 0},
      {"0.0004", 0},
      {"007", 7'000},
      {"5.", 5'000},
      {"1000000000", 1'000'000'000},
      {"", std::nullopt},
      {"-1", std::nullopt},
      {"+1", std::nullopt},
      {"1e3", std::nullopt},
      {"inf", std::nullopt},
      {"nan", std::nullopt},
      {"0x10", std::nullopt},
      {"16 a", std::nullopt},
      {"16, 17", std::nullopt},
      {"1,5", std::nullopt},
      {" 16", std::nullopt},
      {"many", std::nullopt},
      {huge.c_str(), std::nullopt},
  };
  for (const auto &row : rows) {
    CAPTURE(row.Text);
    base::LastReason reason;
    CHECK(http::parseRateLimit(row.Text, reason) == row.Rate);
    CHECK(reason.code() ==
          (row.Rate ? base::ResultCode::Ok : base::ResultCode::BadValue));
  }
}

TEST_CASE("of several rate limits the lowest valid one counts") {
  auto signals =
      http::readTargetSignals(withLimits({"20", "bad", "16.5"}), Names);
  REQUIRE(signals);
  CHECK(signals->RateLimit == 16'500);
  CHECK_FALSE(signals->IsLimitMalformed);
  signals = http::readTargetSignals(withLimits({"bad", "-2"}), Names);
  REQUIRE(signals);
  CHECK_FALSE(signals->RateLimit);
  CHECK(signals->IsLimitMalformed);
}

TEST_CASE("the answer of another target says nothing of the one meant") {
  auto response = withLimits({"16"});
  response.set(Names.Leaving, "1");
  REQUIRE(http::readTargetSignals(response, Names));
  response.result(bh::status::misdirected_request);
  CHECK_FALSE(http::readTargetSignals(response, Names));
}

TEST_CASE("what a target states reaches its gate and the caller") {
  TwoNodes mesh;
  mesh.TargetFields = {{Names.RateLimit, "2.5"}, {Names.Leaving, "1"}};
  const auto response =
      fetchFrom(mesh.Context, mesh.Near.Proxy->callsAddress(), mesh.post());
  REQUIRE(response);
  CHECK((*response)[Names.RateLimit] == "2.5");
  CHECK((*response)[Names.Leaving] == "1");
  REQUIRE(mesh.Far.Gate.Signals.size() == 1);
  CHECK(mesh.Far.Gate.Signals[0].RateLimit == 2'500);
  CHECK(mesh.Far.Gate.Signals[0].IsLeaving);
  REQUIRE(mesh.Near.Broker.Results.size() == 1);
  REQUIRE(mesh.Near.Broker.Results[0].Signals);
  CHECK(mesh.Near.Broker.Results[0].Signals->RateLimit == 2'500);
  CHECK(mesh.Near.Broker.Results[0].Signals->IsLeaving);
}

TEST_CASE("a node doesn't learn from an answer that its target is leaving") {
  TwoNodes mesh;
  mesh.Far.Local->Epoch = 7;
  mesh.TargetFields = {{Names.Leaving, "1"}};
  REQUIRE(
      fetchFrom(mesh.Context, mesh.Near.Proxy->callsAddress(), mesh.post()));
  REQUIRE(mesh.Far.Leaving.size() == 1);
  CHECK(mesh.Far.Leaving[0] == std::pair<std::string, uint64_t>{"t1", 7});
}

TEST_CASE("a load is three or four numbers in a row") {
  using balance::TargetLoad;
  struct Row {
    const char *Text;
    std::optional<TargetLoad> Load;
  };
  const std::string huge(400, '9');
  const Row rows[] = {
      {"3,0,8", TargetLoad{3, 0, 8, std::nullopt}},
      {"0,12,1,250", TargetLoad{0, 12, 1, 250}},
      {"1000000,0,1000000,1", TargetLoad{1'000'000, 0, 1'000'000, 1}},
      {"", std::nullopt},
      {"3", std::nullopt},
      {"3,0", std::nullopt},
      {"3,0,", std::nullopt},
      {"3,0,0", std::nullopt},
      {"3,0,8,0", std::nullopt},
      {"3,0,8,", std::nullopt},
      {"3,0,8,100,", std::nullopt},
      {"3,0,8,100,1", std::nullopt},
      {",3,0,8", std::nullopt},
      {"-1,0,8", std::nullopt},
      {"+1,0,8", std::nullopt},
      {"1.5,0,8", std::nullopt},
      {"3, 0, 8", std::nullopt},
      {"3;0;8", std::nullopt},
      {"1000001,0,8", std::nullopt},
      {"a,b,c", std::nullopt},
      {huge.c_str(), std::nullopt},
  };
  for (const auto &row : rows) {
    CAPTURE(row.Text);
    base::LastReason reason;
    CHECK((http::parseTargetLoad(row.Text, reason) == row.Load));
    CHECK(reason.code() ==
          (row.Load ? base::ResultCode::Ok : base::ResultCode::BadValue));
  }
}

TEST_CASE("a load that is malformed or stated twice is ignored") {
  http::Response response;
  auto signals = http::readTargetSignals(response, Names);
  REQUIRE(signals);
  CHECK_FALSE(signals->Load);
  CHECK_FALSE(signals->IsLoadMalformed);
  response.insert(Names.Load, "3,0,8");
  signals = http::readTargetSignals(response, Names);
  REQUIRE(signals);
  CHECK(signals->Load);
  response.insert(Names.Load, "4,0,8");
  signals = http::readTargetSignals(response, Names);
  REQUIRE(signals);
  CHECK_FALSE(signals->Load);
  CHECK(signals->IsLoadMalformed);
}

TEST_CASE("a refusing target's load reaches its gate and the judgement the "
          "caller's node") {
  for (const auto kind :
       {balance::RefusalKind::Full, balance::RefusalKind::Spurious}) {
    TwoNodes mesh;
    mesh.Far.Gate.Judgement = kind;
    mesh.TargetFields = {{Names.NotRun, "1"}, {Names.Load, "3,0,8,120"}};
    REQUIRE(
        fetchFrom(mesh.Context, mesh.Near.Proxy->callsAddress(), mesh.post()));
    REQUIRE(mesh.Far.Gate.RefusedWith.size() == 1);
    CHECK((mesh.Far.Gate.RefusedWith[0] == balance::TargetLoad{3, 0, 8, 120}));
    REQUIRE(mesh.Far.Gate.Results.size() == 1);
    CHECK(mesh.Far.Gate.Results[0].Refusal == kind);
    REQUIRE(mesh.Near.Broker.Results.size() == 1);
    CHECK(mesh.Near.Broker.Results[0].Code == base::ResultCode::TargetRefused);
    CHECK(mesh.Near.Broker.Results[0].Refusal == kind);
  }
}

TEST_CASE(
    "the time of a kind of call at its target reaches the caller's node") {
  for (const auto time : {base::Duration{}, base::Duration(81'234)}) {
    TwoNodes mesh;
    mesh.Far.Gate.Expected = time;
    REQUIRE(
        fetchFrom(mesh.Context, mesh.Near.Proxy->callsAddress(), mesh.post()));
    REQUIRE(mesh.Near.Broker.Results.size() == 1);
    CHECK(mesh.Near.Broker.Results[0].ExpectedTime == time);
    CHECK(mesh.Near.Broker.Results[0].PressurePermille == 250);
  }
}

TEST_CASE("what follows the pressure is read in whole or not at all") {
  struct Row {
    const char *Text;
    base::Duration Time;
    bool IsSpurious;
    bool IsNested;
  };
  const Row rows[] = {
      {"500", {}, false, false},
      {"500 nested", {}, false, true},
      {"500 spurious", {}, true, false},
      {"500 spurious time=7 nested", base::Duration(7), true, true},
      {"500 time=7", base::Duration(7), false, false},
      {"500 time=", {}, false, false},
      {"500 time=-7", {}, false, false},
      {"500 time=99999999999999999999", {}, false, false},
  };
  for (const auto &row : rows) {
    CAPTURE(row.Text);
    http::Response response;
    response.set(calls::PressureHeader, row.Text);
    calls::AttemptResult result;
    http::readAttemptResult(response, result);
    CHECK(result.PressurePermille == 500);
    CHECK(result.ExpectedTime == row.Time);
    CHECK((result.Refusal == balance::RefusalKind::Spurious) == row.IsSpurious);
    CHECK(result.IsNested == row.IsNested);
  }
}
