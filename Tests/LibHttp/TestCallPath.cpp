#include <LibHttp/CallLog.h>
#include <LibHttp/CallMetrics.h>
#include <LibHttp/Mesh.h>
#include <LogFile.h>

#include <array>
#include <fcntl.h>
#include <unistd.h>

using namespace radishcross;
using namespace radishcross::tests;
using admission::GateAnswer;

namespace {

constexpr std::string_view RequestIdHeader = "X-Request-Id";

/// A client's node, and a node with a target that responds.
struct TwoNodePath {
  TwoNodePath() {
    base::LastReason reason;
    auto server = http::Server::create(
        Context, {"127.0.0.1", 0}, {},
        [this](http::IncomingRequest) -> asio::awaitable<http::Response> {
          http::Response out(bh::status::ok, 11);
          out.result(Status);
          out.prepare_payload();
          co_return out;
        },
        reason);
    REQUIRE(server);
    Target = *server;
    fleet::TargetRecord record;
    record.Service = "badges/pay";
    record.TargetId = "t1";
    record.Where = Target->address();
    Far.Local = record;
    Near.sendTo(Far, "far", record);
  }

  unsigned call(const std::string &id) {
    http::Request request(bh::verb::get, "/pay", 11);
    request.set(RequestIdHeader, id);
    auto response = fetchFrom(Context, Near.Proxy->callsAddress(), request);
    REQUIRE(response);
    return response->result_int();
  }

  asio::io_context Context{1};
  base::ManualClock Clock;
  ProxyNode Near{Context, Clock, "near"};
  ProxyNode Far{Context, Clock, "far"};
  unsigned Status = 200;
  std::shared_ptr<http::Server> Target;
};

std::string findId(bool sampled) {
  int i = 0;
  while (http::isSampled("r" + std::to_string(i)) != sampled)
    ++i;
  return "r" + std::to_string(i);
}

std::vector<std::string> eventsOf(LogFile &log, const std::string &id) {
  std::vector<std::string> out;
  for (const auto &it : log.lines())
    if (textAt(it, "request") == id)
      out.push_back(textAt(it, "event"));
  return out;
}

const std::vector<std::string> WholePath = {"call at gate",
                                            "call attempt ended", "call ended"};

} // namespace

TEST_CASE(
    "a refused call is logged at both nodes under the client's request id") {
  LogFile log;
  TwoNodePath path;
  path.Far.Gate.Kind = GateAnswer::Kind::Refuse;
  auto id = findId(false);
  CHECK(path.call(id) == 503);
  CHECK(eventsOf(log, id) == WholePath);
  auto gate = log.lines().front();
  CHECK(textAt(gate, "target") == "t1");
  CHECK(textAt(gate, "service") == "badges/pay");
  CHECK(textAt(gate, "decided") == "refused");
  CHECK(textAt(gate, "code") == "5003");
  CHECK(textAt(gate, "told_by") == "own-node");
  auto &counters = path.Far.Counters;
  CHECK(counters.counter(
            R"(gate_refused_total{rank="standard",reason="overloaded"})") == 1);
}

TEST_CASE("both nodes log the same sample of successful calls") {
  LogFile log;
  TwoNodePath path;
  calls::CallStep answered;
  answered.Outcome = calls::CallOutcome::Answered;
  path.Near.Broker.Next = {answered, answered, answered};
  CHECK(path.call(findId(false)) == 200);
  CHECK(log.lines().empty());
  CHECK(path.call(findId(true)) == 200);
  CHECK(eventsOf(log, findId(true)) == WholePath);
  path.Status = 500;
  CHECK(path.call(findId(false)) == 500);
  CHECK(eventsOf(log, findId(false)) == WholePath);
  auto &counters = path.Near.Counters;
  CHECK(counters.counter(
            R"(calls_by_service_total{service="badges/pay",rank="standard",)"
            R"(outcome="answered",reason="ok"})") == 3);
  CHECK(path.Far.Counters.prometheusText().find(
            R"(target_latency_ms_count{rank="standard"} 3)") !=
        std::string::npos);
}

TEST_CASE("calls are served while the log's reader is blocked") {
  std::array<int, 2> ends{-1, -1};
  REQUIRE(::pipe2(ends.data(), O_CLOEXEC) == 0);
  base::LogSettings settings;
  settings.Descriptor = ends[1];
  base::configureLog(settings);
  TwoNodePath path;
  path.Far.Gate.Kind = GateAnswer::Kind::Refuse;
  // Each call logs three lines of about 400 bytes; the pipe and the buffer hold
  // less.
  constexpr int Calls = 800;
  int answered = 0;
  for (int i = 0; i < Calls; ++i)
    answered += path.call("r" + std::to_string(i)) == 503 ? 1 : 0;
  CHECK(answered == Calls);
  CHECK(base::droppedLogLines() > 0);
  settings.Descriptor = -1;
  base::configureLog(settings);
  ::close(ends[0]);
  ::close(ends[1]);
}

TEST_CASE("services beyond the label limit are counted as other") {
  base::Metrics metrics;
  http::CallMetrics callMetrics(metrics);
  for (size_t i = 0; i < 2 * http::CallMetrics::MaxServices; ++i)
    callMetrics.ended("s" + std::to_string(i), config::Rank::Standard,
                      calls::CallOutcome::Answered, base::ResultCode::Ok, {});
  auto text = metrics.prometheusText();
  size_t rows = 0;
  for (size_t at = text.find("calls_by_service_total{");
       at != std::string::npos;
       at = text.find("calls_by_service_total{", at + 1))
    ++rows;
  CHECK(rows == http::CallMetrics::MaxServices + 1);
  CHECK(metrics.counter(R"(calls_by_service_total{service="other",)"
                        R"(rank="standard",outcome="answered",reason="ok"})") ==
        http::CallMetrics::MaxServices);
}
