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
