#include <LibNode/MockPlatform.h>

#include <chrono>
#include <doctest/doctest.h>
#include <optional>
#include <platform/StoreClient.h>

using namespace radishcross;
using namespace std::chrono_literals;

TEST_CASE("keys are dropped atomically in one append") {
  boost::asio::io_context context(1);
  test::MockPlatform platform(context);
  base::Metrics counters;
  platform::StoreClient client(context, {platform.address()}, counters);
  auto runUntil = [&](auto condition) {
    for (int n = 0; n < 100 && !condition(); ++n)
      context.run_one_for(100ms);
    REQUIRE(condition());
  };
  int written = 0;
  for (const char *key : {"a", "b", "c"})
    client.put(log::Topic::Changes, key, "{}",
               [&](const log::PutAnswer &) { ++written; });
  runUntil([&] { return written == 3; });
  auto drop = [&] {
    std::optional<log::PutAnswer> result;
    client.drop(log::Topic::Changes, {"a", "c"},
                [&](const log::PutAnswer &it) { result = it; });
    runUntil([&] { return result.has_value(); });
    return result->Outcome;
  };
  auto kept = [&] {
    std::optional<log::TopicAnswer> result;
    client.list(log::Topic::Changes,
                [&](const log::TopicAnswer &it) { result = it; });
    runUntil([&] { return result.has_value(); });
    return result->Records;
  };
  platform.Store.setOutage(true);
  CHECK(drop() == log::PutAnswer::Kind::Refused);
  platform.Store.setOutage(false);
  CHECK(kept().size() == 3);
  CHECK(drop() == log::PutAnswer::Kind::Accepted);
  REQUIRE(kept().size() == 1);
  CHECK(kept()[0].Key == "b");
  // Each dropped key takes an offset; both were dropped in one append.
  CHECK(platform.size() == 5);
  CHECK(platform.Store.Appends == 4);
}
