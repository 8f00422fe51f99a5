#include "StandIns.h"

#include <LibBase/Hash.h>
#include <LibBase/Random.h>
#include <LibCalls/CallTypes.h>
#include <LibHttp/Client.h>
#include <LibHttp/ConnectionPool.h>
#include <LibHttp/Responses.h>
#include <LibHttp/Server.h>

#include <absl/flags/flag.h>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <cstdlib>
#include <deque>
#include <set>
#include <unordered_map>

ABSL_FLAG(std::string, node, "", "IP:PORT of the node's targets listener");
ABSL_FLAG(std::string, service, "", "configuration/name of the service");
ABSL_FLAG(std::string, target_id, "",
          "id of the target; the listening address if empty");
ABSL_FLAG(uint32_t, slots, 9, "calls to run concurrently");
ABSL_FLAG(uint32_t, connections, 120, "connections to accept");
ABSL_FLAG(double, work_ms, 5, "mean duration of a call");
ABSL_FLAG(uint32_t, cold_calls, 0, "first calls that take five times as long");
ABSL_FLAG(uint32_t, load_lag_ms, 0, "age of the reported load");
ABSL_FLAG(int32_t, load_lie, -1,
          "reports this fixed load in permille, if not -1");
ABSL_FLAG(bool, allow_crash, false, "aborts at a request with X-Test-Crash: 1");
ABSL_FLAG(std::string, forward, "",
          "IP:PORT of the node's callers' listener, for X-Test-Chain");

namespace radishcross::standins {

namespace {

namespace asio = boost::asio;
namespace json = boost::json;
namespace bh = boost::beast::http;
using Clock = std::chrono::steady_clock;

constexpr double ColdFactor = 5;
constexpr double JitterShare = 0.4; ///< Calls take 0.8 to 1.2 times the mean.
constexpr std::chrono::milliseconds AnnounceRetryDelay{300};
constexpr std::chrono::milliseconds DrainIdleTime{3000};
constexpr std::chrono::seconds ForwardTimeout{5};
constexpr std::string_view ForwardedHeaders[] = {
    calls::CallIdHeader,  calls::RankHeader,    calls::DeadlineHeader,
    calls::HopsHeader,    calls::ServiceHeader, calls::TargetHeader,
    calls::AttemptHeader, calls::ProofHeader};

std::string headerOf(const http::Request &request, std::string_view name) {
  auto it = request.find(name);
  return it == request.end() ? std::string() : std::string(it->value());
}

/// A target with slots, cold start, drain and fault injection.
class Target {
public:
  explicit Target(asio::io_context &context)
      : Context(context), RandomSource(absl::GetFlag(FLAGS_seed)) {}

  asio::awaitable<http::Response> handle(http::IncomingRequest incoming) {
    std::string path(incoming.Message.target());
    bool isPost = incoming.Message.method() == bh::verb::post;
    if (path == "/control/runs")
      co_return isPost ? runCounts(incoming.Message.body()) : runs();
    if (path == "/control")
      co_return control(incoming.Message.body());
    if (isSilent(incoming.Peer))
      co_await pause(Clock::duration::max() / 4, *incoming.Watch);
    if (headerOf(incoming.Message, "X-Test-Crash") == "1" &&
        absl::GetFlag(FLAGS_allow_crash))
      std::abort();
    if (Running >= absl::GetFlag(FLAGS_slots))
      co_return http::makeErrorResponse(base::ResultCode::TargetRefused,
                                        calls::CallOutcome::NotRun,
                                        "all slots are in use");
    co_return co_await run(std::move(incoming));
  }

  /// Sends heartbeat announcements until the target has left.
  asio::awaitable<void> announceLoop(base::Address node,
                                     base::Address ownAddress) {
    OwnAddress = ownAddress;
    while (State != "left") {
      auto wait = co_await announce(node);
      UncancelledWatch.Gone = false;
      co_await pause(wait, UncancelledWatch);
    }
  }

  /// Shuts down gracefully: announces that it drains, waits until it is idle,
  /// announces that it has left.
  asio::awaitable<void> leave(base::Address node) {
    State = "draining";
    co_await announce(node);
    Clock::time_point idleSince = Clock::now();
    while (Running > 0 || Clock::now() - idleSince < DrainIdleTime) {
      if (Running > 0)
        idleSince = Clock::now();
      UncancelledWatch.Gone = false;
      co_await pause(std::chrono::milliseconds(50), UncancelledWatch);
    }
    State = "left";
    co_await announce(node);
    Context.stop();
  }

private:
  asio::awaitable<void> pause(Clock::duration time, http::ClientWatch &watch) {
    asio::steady_timer timer(Context, time);
    watch.OnGone = [&timer] { timer.cancel(); };
    boost::system::error_code ec;
    if (!watch.Gone)
      co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
    watch.OnGone = nullptr;
  }

  /// Runs one call and echoes the values by which the caller verifies the
  /// answer.
  asio::awaitable<http::Response> run(http::IncomingRequest incoming) {
    const http::Request &request = incoming.Message;
    std::string id = headerOf(request, "X-Request-Id");
    Runs[id] += 1;
    Total += 1;
    Running += 1;
    double factor = 1 + JitterShare * (RandomSource.unit() - 0.5);
    if (Total <= absl::GetFlag(FLAGS_cold_calls))
      factor *= ColdFactor;
    std::chrono::duration<double, std::milli> work(
        absl::GetFlag(FLAGS_work_ms) * factor);
    if (work.count() > 0)
      co_await pause(std::chrono::duration_cast<Clock::duration>(work),
                     *incoming.Watch);
    unsigned status = co_await forward(request, id);
    Running -= 1;
    Cancelled += incoming.Watch->Gone ? 1 : 0;
    json::object body{{"id", id},
                      {"path", std::string(request.target())},
                      {"digest", base::hash64(request.body())}};
    http::Response answer =
        http::makeJsonResponse(status, json::serialize(body));
    answer.set("X-Request-Id", id);
    co_return answer;
  }

  /// Sends a nested call through the node while X-Test-Chain is above 0.
  asio::awaitable<unsigned> forward(const http::Request &request,
                                    const std::string &id) {
    int depth = std::atoi(headerOf(request, "X-Test-Chain").c_str());
    base::LastReason reason;
    auto node = base::parseAddress(absl::GetFlag(FLAGS_forward), reason);
    if (depth <= 0 || !node)
      co_return 200;
    http::Request deeper(request.method(), request.target(), 11);
    deeper.set("X-Request-Id", id + "." + std::to_string(depth));
    deeper.set("X-Test-Chain", std::to_string(depth - 1));
    for (std::string_view name : ForwardedHeaders)
      if (std::string value = headerOf(request, name); !value.empty())
        deeper.set(name, value);
    deeper.body() = request.body();
    auto answer = co_await http::fetch(*node, deeper, ForwardTimeout, reason);
    co_return answer ? answer->result_int() : 502;
  }

  /// Returns whether the connection no longer answers. Silences connections
  /// that were open when the command came.
  bool isSilent(const base::Address &peer) {
    SeenPeers.insert(peer);
    if (ConnectionsToSilence > 0 && SilenceCandidates.erase(peer) > 0 &&
        SilentPeers.insert(peer).second)
      ConnectionsToSilence -= 1;
    return SilentPeers.count(peer) != 0;
  }

  void silence(uint32_t count) {
    ConnectionsToSilence = count;
    SilenceCandidates = SeenPeers;
  }

  uint32_t load() {
    if (absl::GetFlag(FLAGS_load_lie) >= 0)
      return static_cast<uint32_t>(absl::GetFlag(FLAGS_load_lie));
    auto now = Clock::now();
    LoadHistory.emplace_back(now, Running * 1000 / absl::GetFlag(FLAGS_slots));
    std::chrono::milliseconds lag(absl::GetFlag(FLAGS_load_lag_ms));
    while (LoadHistory.size() > 1 && LoadHistory[1].first <= now - lag)
      LoadHistory.pop_front();
    return LoadHistory.front().second;
  }

  /// Announces the target once; returns the time until the next announcement.
  asio::awaitable<Clock::duration> announce(const base::Address &node) {
    std::string name = absl::GetFlag(FLAGS_target_id);
    json::object body{{"service", absl::GetFlag(FLAGS_service)},
                      {"target", name.empty() ? OwnAddress.text() : name},
                      {"address", OwnAddress.text()},
                      {"state", State},
                      {"slots", absl::GetFlag(FLAGS_slots)},
                      {"connections", absl::GetFlag(FLAGS_connections)},
                      {"load_permille", load()},
                      {"epoch", Epoch}};
    http::Request request(bh::verb::post, "/v1/targets", 11);
    request.set(bh::field::content_type, "application/json");
    request.body() = json::serialize(body);
    base::LastReason reason;
    auto answer =
        co_await http::fetch(node, request, AnnounceRetryDelay * 5, reason);
    boost::system::error_code ec;
    json::value lease =
        answer ? json::parse(answer->body(), ec) : json::value();
    if (!answer || answer->result_int() != 200 || ec || !lease.is_object()) {
      Epoch = 0; // Epoch 0 requests a new lease.
      co_return AnnounceRetryDelay;
    }
    Epoch = lease.at("epoch").to_number<uint64_t>();
    co_return std::chrono::milliseconds(
        lease.at("lease_ms").to_number<uint64_t>() / 3);
  }

  http::Response runs() const {
    json::array twice;
    for (const auto &[id, n] : Runs)
      if (n > 1)
        twice.push_back({{"id", id}, {"runs", n}});
    return http::makeJsonResponse(
        200, json::serialize(json::object{{"total", Total},
                                          {"running", Running},
                                          {"cancelled", Cancelled},
                                          {"twice", std::move(twice)}}));
  }

  /// Answers {"ids": [...]} with the number of runs of each request id.
  http::Response runCounts(const std::string &body) const {
    boost::system::error_code ec;
    json::value query = json::parse(body, ec);
    if (ec || !query.is_object() || !query.as_object().contains("ids"))
      return http::makeJsonResponse(400, "{}");
    json::array counts;
    for (const json::value &id : query.at("ids").as_array()) {
      auto it = Runs.find(std::string(id.as_string()));
      counts.emplace_back(it == Runs.end() ? 0 : it->second);
    }
    return http::makeJsonResponse(
        200, json::serialize(json::object{{"counts", std::move(counts)}}));
  }

  http::Response control(const std::string &body) {
    boost::system::error_code ec;
    json::value command = json::parse(body, ec);
    if (ec || !command.is_object())
      return http::makeJsonResponse(400, "{}");
    if (const json::value *it = command.as_object().if_contains("silent"))
      silence(it->to_number<uint32_t>());
    return http::makeJsonResponse(200, "{}");
  }

  asio::io_context &Context;
  base::Random RandomSource;
  base::Address OwnAddress;
  std::string State = "ready";
  uint64_t Epoch = 0;
  uint32_t Running = 0;
  uint64_t Total = 0;
  uint64_t Cancelled = 0;
  uint32_t ConnectionsToSilence = 0;
  std::unordered_map<std::string, uint32_t> Runs;
  std::set<base::Address, http::AddressOrder> SeenPeers;
  std::set<base::Address, http::AddressOrder> SilenceCandidates;
  std::set<base::Address, http::AddressOrder> SilentPeers;
  std::deque<std::pair<Clock::time_point, uint32_t>> LoadHistory;
  http::ClientWatch UncancelledWatch;
};

} // namespace

int runTarget() {
  asio::io_context context(1);
  Target target(context);
  base::LastReason reason;
  auto node = base::parseAddress(absl::GetFlag(FLAGS_node), reason);
  http::ServerLimits limits;
  limits.HeaderBytes = 64UL << 10;
  limits.Connections = absl::GetFlag(FLAGS_connections);
  auto server = listenFromFlags(context, limits, [&](http::IncomingRequest it) {
    return target.handle(std::move(it));
  });
  if (!server)
    return 4;
  asio::signal_set signals(context, SIGINT, SIGTERM);
  signals.async_wait([&](auto, int) {
    if (!node)
      return context.stop();
    asio::co_spawn(context, target.leave(*node), asio::detached);
  });
  if (node)
    asio::co_spawn(context, target.announceLoop(*node, server->address()),
                   asio::detached);
  context.run();
  return 0;
}

} // namespace radishcross::standins
