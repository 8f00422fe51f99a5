#include <LibNode/UsageMeter.h>

#include <LibConfig/Snapshot.h>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <doctest/doctest.h>

using namespace radishcross;
using namespace std::chrono_literals;

namespace {

/// A broker that returns fixed results.
class MockBroker final : public calls::CallBroker {
public:
  calls::CallHandle begin(const calls::CallRequest &, config::SnapshotPointer,
                          base::TimePoint) override {
    return ++Begun;
  }
  calls::CallStep step(calls::CallHandle) const override { return {}; }
  calls::CallStep attemptEnded(calls::CallHandle, const calls::AttemptResult &,
                               base::TimePoint) override {
    return {};
  }
  std::optional<calls::CallStep> hedge(calls::CallHandle call,
                                       base::TimePoint) override {
    return call == Hedged ? std::optional(calls::CallStep()) : std::nullopt;
  }
  void end(calls::CallHandle, base::TimePoint) override {}
  std::string storedAnswer(calls::CallHandle) const override { return "kept"; }

  calls::CallHandle Begun = 0;
  calls::CallHandle Hedged = 7;
};

config::SnapshotPointer snapshotWith(const char *configuration) {
  auto content = std::make_shared<config::VersionContent>();
  content->Services = {{"desk", {}}};
  content->Routes.resize(1);
  content->Routes[0].Name = "lookup";
  content->Routes[0].Service = "desk";
  base::LastReason reason;
  auto out = config::Snapshot::create({{configuration, 1, content}}, 1, reason);
  REQUIRE(out);
  return *out;
}

} // namespace

TEST_CASE("calls are counted by route over the last minute") {
  MockBroker broker;
  node::UsageMeter meter(broker);
  auto first = snapshotWith("badges");
  auto second = snapshotWith("tides");
  base::TimePoint now{1h};
  calls::CallRequest request;
  request.Method = "GET";
  request.Path = "/";
  for (int i = 0; i < 120; ++i)
    meter.begin(request, first, now);
  for (int i = 0; i < 60; ++i)
    meter.begin(request, second, now + 30s);
  request.FromMesh = true;
  meter.begin(request, second, now + 30s);

  auto rows = meter.usage(now + 40s).at("routes").as_array();
  REQUIRE(rows.size() == 2);
  CHECK(rows[0].at("route") == "badges/lookup");
  CHECK(rows[0].at("calls_per_second").as_double() == doctest::Approx(2));
  CHECK(rows[1].at("route") == "tides/lookup");
  CHECK(rows[1].at("calls_per_second").as_double() == doctest::Approx(1));

  rows = meter.usage(now + 75s).at("routes").as_array();
  REQUIRE(rows.size() == 1);
  CHECK(rows[0].at("route") == "tides/lookup");
  CHECK(meter.storedAnswer(1) == "kept");
  CHECK(broker.Begun == 181);
}

TEST_CASE("hedged attempts are decided by the broker") {
  MockBroker broker;
  node::UsageMeter meter(broker);
  CHECK(meter.hedge(7, {}));
  CHECK_FALSE(meter.hedge(8, {}));
}
