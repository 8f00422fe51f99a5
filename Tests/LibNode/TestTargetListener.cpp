#include <LibNode/TargetListener.h>

#include <LibHttp/Client.h>
#include <LibTrace/Recorder.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <doctest/doctest.h>
#include <string>

using namespace radishcross;
using namespace std::chrono_literals;

namespace {

/// A listener whose handler is called directly, without a socket.
struct Listener {
  trace::NullRecorder Recorder;
  admission::TargetLeases Leases{Recorder};
  base::SystemClock Time;
  int ChangeCount = 0;
  node::TargetListener Targets{
      Leases, Time, {"external/till", base::Address{"10.1.0.8", 8301}}, [this] {
        ++ChangeCount;
      }};

  unsigned post(const std::string &path, std::string body) {
    boost::asio::io_context context;
    http::IncomingRequest request;
    request.Message = http::Request(boost::beast::http::verb::post, path, 11);
    request.Message.body() = std::move(body);
    unsigned status = 0;
    boost::asio::co_spawn(
        context,
        [&]() -> boost::asio::awaitable<void> {
          auto answer = co_await Targets.handle(std::move(request));
          status = answer.result_int();
        },
        boost::asio::detached);
    context.run();
    return status;
  }

  unsigned sendHeartbeat(const std::string &body) {
    return post("/v1/targets/i-7f/heartbeat", body);
  }
};

constexpr const char *ValidHeartbeat =
    R"({"service":"till","address":"10.1.0.8:8301","data_centre":"north",
    "version":"v1","slots":9,"state":"ready","warm_up_ms":0,"sequence":4,
    "born":1764824231000})";

} // namespace

TEST_CASE("a valid heartbeat and a leave are acknowledged") {
  Listener it;
  CHECK(it.sendHeartbeat(ValidHeartbeat) == 200);
  REQUIRE(it.Leases.current().size() == 1);
  const auto target = it.Leases.current()[0];
  CHECK(target.Service == "external/till");
  CHECK(target.TargetId == "i-7f");
  CHECK(target.Slots == 9);
  CHECK(target.WarmUpMs == 0);
  CHECK(it.post("/v1/targets/i-7f/leave", "") == 200);
  CHECK(it.Leases.current()[0].State == fleet::TargetState::Left);
  CHECK(it.post("/v1/targets/unknown/leave", "") == 200);
  CHECK(it.ChangeCount == 3);
}

TEST_CASE("a malformed or foreign heartbeat is rejected and changes nothing") {
  const char *bad[] = {
      "",
      "\xff\xfe",
      "[]",
      R"({"service":"till","address":"10.1.0.8:8301","state":"ready"})",
      R"({"service":"till","address":"10.1.0.8:8301","slots":"9",
          "state":"ready","sequence":4})",
      R"({"service":"till","address":"10.1.0.8:8301","slots":9,
          "state":"resting","sequence":4})",
      R"({"service":"other","address":"10.1.0.8:8301","slots":9,
          "state":"ready","sequence":4})",
      R"({"service":"till","address":"10.1.0.9:8301","slots":9,
          "state":"ready","sequence":4})",
      R"({"service":"till","address":"nowhere","slots":9,
          "state":"ready","sequence":4})",
      R"({"service":"till","address":"10.1.0.8:8301","slots":1e400,
          "state":"ready","sequence":4})",
      R"({"service":"till","address":"10.1.0.8:8301","slots":0.5,
          "state":"ready","sequence":4})",
      R"({"service":"till","address":"10.1.0.8:8301","slots":9,
          "state":"ready","sequence":-1})",
      R"({"service":"till","address":"10.1.0.8:8301","slots":9,
          "state":"ready","sequence":1e308})",
      R"({"service":"till","address":"10.1.0.8:8301","slots":9,
          "state":"ready","sequence":18446744073709551616})",
      R"({"service":"till","address":"10.1.0.8:8301","slots":9,
          "state":"ready","sequence":9223372036854775808})",
      R"({"service":"till","address":"10.1.0.8:8301","slots":9,
          "state":"ready","sequence":4,"started_unix_ms":-1})",
      R"({"service":"till","address":"10.1.0.8:8301","slots":9,
          "state":"ready","sequence":4,"started_unix_ms":1e19})",
      R"({"service":"till","address":"10.1.0.8:8301","slots":9,
          "state":"ready","sequence":4,"sequence":5})",
      R"({"service":"till","address":"10.1.0.8:8301","slots":9,
          "state":"ready","sequence":[[[[[4]]]]]})",
  };
  Listener it;
  CHECK(it.sendHeartbeat(ValidHeartbeat) == 200);
  for (const char *body : bad) {
    INFO(body);
    const auto status = it.sendHeartbeat(body);
    CHECK(status >= 400);
    CHECK(status < 500);
  }
  REQUIRE(it.Leases.current().size() == 1);
  CHECK(it.Leases.current()[0].State == fleet::TargetState::Ready);
  CHECK(it.ChangeCount == 1);
}

TEST_CASE("without a target address in the settings any target is accepted") {
  Listener it;
  it.Targets.setLocalTarget({});
  CHECK(it.sendHeartbeat(
            R"({"service":"other","address":"10.1.0.9:8301","slots":9,
    "state":"ready","sequence":4})") == 200);
}

TEST_CASE("a heartbeat or announcement with a port out of range names no "
          "target") {
  for (const char *port :
       {"0", "65536", "99999999999999999999", "-1", "1e3", " 80", "+80", ""}) {
    CAPTURE(std::string(port));
    Listener it;
    it.Targets.setLocalTarget({});
    auto address = std::string(R"("address":"10.1.0.8:)") + port + "\"";
    CHECK(it.sendHeartbeat(R"({"service":"till",)" + address +
                           R"(,"slots":9,"state":"ready","sequence":4})") ==
          400);
    CHECK(it.post("/v1/targets",
                  R"({"service":"external/till","target":"i-7f",)" + address +
                      R"(,"slots":9,"connections":9,"state":"ready"})") == 400);
    CHECK(it.Leases.current().empty());
  }
}

TEST_CASE("a deeply nested heartbeat or announcement is refused") {
  Listener it;
  for (const std::string open : {"[", "{\"service\":"}) {
    std::string text;
    for (int n = 0; n < 1'000'000; ++n)
      text += open;
    CHECK(it.sendHeartbeat(text) >= 400);
    CHECK(it.post("/v1/targets", text) >= 400);
  }
  CHECK(it.Leases.current().empty());
}
