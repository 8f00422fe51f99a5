#include <LibNode/HeartbeatCodec.h>
#include <LibNode/TargetListener.h>
#include <LibTrace/Recorder.h>
#include <Mutator.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <doctest/doctest.h>
#include <set>
#include <string>

using namespace radishcross;
using test::MutatedInputs;

namespace {

constexpr const char *ValidHeartbeat =
    R"({"service":"till","address":"10.1.0.8:8301","data_centre":"north",
    "version":"v1","slots":9,"state":"ready","warm_up_ms":0,"sequence":4,
    "started_unix_ms":1764824231000})";

/// An acknowledgement or error is never longer than this, in bytes.
constexpr size_t MaxResponseSize = 4096;

bool tryHeartbeat(std::string_view id, const std::string &body) {
  base::LastReason reason;
  auto heartbeat = node::decodeHeartbeat(id, body, reason);
  if (!heartbeat) {
    REQUIRE(reason.code() != base::ResultCode::Ok);
    return false;
  }
  const auto &target = heartbeat->Target;
  REQUIRE(target.TargetId == id);
  REQUIRE(target.Service.find('/') != std::string::npos);
  REQUIRE(target.Where.Port > 0);
  REQUIRE_FALSE(base::nameOf(fleet::TargetStateNames, target.State).empty());
  return true;
}

} // namespace

TEST_CASE("a mutated heartbeat is decoded completely or rejected") {
  test::Mutator bytes(41);
  test::Mutator values(42);
  auto valid = boost::json::parse(ValidHeartbeat);
  int accepted = 0;
  for (int i = 0; i < MutatedInputs; ++i) {
    auto document = valid;
    values.value(document);
    accepted += tryHeartbeat("i-7f", bytes.bytes(ValidHeartbeat)) ? 1 : 0;
    accepted += tryHeartbeat("i-7f", boost::json::serialize(document)) ? 1 : 0;
  }
  CHECK(accepted > MutatedInputs / 1000);
  CHECK(accepted < 2 * MutatedInputs);
}

TEST_CASE("mutated target requests stay within the listener's limits") {
  trace::NullRecorder recorder;
  admission::TargetLeases leases(recorder);
  base::SystemClock time;
  node::TargetListener listener(
      leases, time, {"external/till", base::Address{"10.1.0.8", 8301}}, [] {});
  boost::asio::io_context context(1);
  test::Mutator mutator(43);
  const std::string paths[] = {"/v1/targets/i-7f/heartbeat",
                               "/v1/targets/i-7f/leave", "/v1/targets"};
  size_t accepted = 0;
  for (int i = 0; i < MutatedInputs; ++i) {
    http::IncomingRequest request;
    auto path = paths[i % std::size(paths)];
    if (i % 2 == 0)
      path = mutator.bytes(path);
    request.Message = http::Request(boost::beast::http::verb::post, path, 11);
    request.Message.body() = mutator.bytes(ValidHeartbeat);
    CAPTURE(path);
    CAPTURE(request.Message.body());
    std::optional<http::Response> response;
    boost::asio::co_spawn(context, listener.handle(std::move(request)),
                          [&](const std::exception_ptr &error, auto answer) {
                            REQUIRE_FALSE(error);
                            response = std::move(answer);
                          });
    context.restart();
    context.run();
    REQUIRE(response);
    REQUIRE(response->body().size() <= MaxResponseSize);
    unsigned status = response->result_int();
    accepted += status == 200 ? 1 : 0;
    REQUIRE(
        (status == 200 || (status >= 400 && status < 500) || status == 503));
    auto held = leases.current();
    REQUIRE(held.size() <= admission::TargetLeases::MaximumTargets);
    for (const auto &it : held)
      REQUIRE(it.TargetId.find('/') == std::string::npos);
  }
  CHECK(accepted > MutatedInputs / 1000U);
  CHECK(accepted < static_cast<size_t>(MutatedInputs));
}
