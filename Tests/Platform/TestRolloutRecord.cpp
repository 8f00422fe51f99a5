#include <LibHttp/Mesh.h>

#include <doctest/doctest.h>
#include <platform/RolloutRecord.h>
#include <platform/StoreClient.h>

using namespace radishcross;
using namespace radishcross::tests;
using namespace std::chrono_literals;

TEST_CASE("an order is decoded as a whole") {
  base::LastReason reason;
  const auto it = platform::decodeRolloutOrder(
      "rollout/a", R"({"service":"a","targetVersion":"v2","period":12})",
      reason);
  REQUIRE(it);
  CHECK(it->Service == "a");
  CHECK(it->Version == "v2");
  CHECK(it->Period == 12s);
  for (const auto *text :
       {"", "[]", "{}", R"({"service":"b","targetVersion":"v2","period":12})",
        R"({"service":"a","targetVersion":"","period":12})",
        R"({"service":"a","targetVersion":2,"period":12})",
        R"({"service":"a","targetVersion":"v2","period":0})",
        R"({"service":"a","targetVersion":"v2","period":-1})",
        R"({"service":"a","targetVersion":"v2","period":"12"})",
        R"({"service":"a","targetVersion":"v2","period":1e300})",
        R"({"service":"a","targetVersion":"v2"})"}) {
    CAPTURE(text);
    CHECK_FALSE(platform::decodeRolloutOrder("rollout/a", text, reason));
    CHECK(reason.code() == base::ResultCode::BadValue);
  }
}

TEST_CASE("a state is read as it was written") {
  using rollout::Phase;
  base::LastReason reason;
  for (const auto state :
       {Phase::Running, Phase::Completed, Phase::RolledBack}) {
    const rollout::Progress it{7, "v2", state, 3, 4500ms};
    const auto text = platform::encodeRolloutStatus(it);
    const auto out = platform::decodeRolloutStatus(text, reason);
    REQUIRE(out);
    CHECK(*out == it);
  }
  CHECK(platform::encodeRolloutStatus({1, "v2", Phase::RolledBack, 0, 0s})
            .starts_with(R"({"state":"rolled_back","targetVersion":"v2",)"));
  for (const auto *text :
       {"", "{}",
        R"({"state":"gone","targetVersion":"v","order":1,"step":0,)"
        R"("ageMs":0})",
        R"({"state":"running","targetVersion":"v","order":1,"step":0,)"
        R"("ageMs":99999999999})"})
    CHECK_FALSE(platform::decodeRolloutStatus(text, reason));
}

TEST_CASE("a conditional append that the store turns down is refused") {
  for (const bool isAccepted : {true, false}) {
    asio::io_context context(1);
    RawServer store(context, isAccepted ? "HTTP/1.1 200 OK\r\nContent-Length: "
                                          "12\r\n\r\n{\"offset\":4}"
                                        : "HTTP/1.1 412 No\r\nContent-Length: "
                                          "15\r\n\r\n{\"endOffset\":5}");
    base::Metrics counters;
    platform::StoreClient client(context, {store.address()}, counters);
    std::optional<log::PutAnswer> got;
    client.putAt(log::Topic::Status, 4, "rollout/a", "{}",
                 [&](log::PutAnswer it) { got = std::move(it); });
    runUntil(context, [&] { return got.has_value(); });
    CHECK(got->Outcome == (isAccepted ? log::PutAnswer::Kind::Accepted
                                      : log::PutAnswer::Kind::Refused));
  }
}
