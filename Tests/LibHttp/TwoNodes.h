#pragma once

#include <LibHttp/Mesh.h>

#include <LibCalls/CallTypes.h>
#include <LibHttp/Responses.h>

#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace radishcross::tests {

/// Two nodes with an echoing target behind the second.
struct TwoNodes {
  TwoNodes() { startTarget({"127.0.0.1", 0}); }

  void startTarget(const base::Address &listen) {
    base::LastReason reason;
    auto server = http::Server::create(
        Context, listen, {},
        [this](http::IncomingRequest in) { return echo(std::move(in)); },
        reason);
    REQUIRE(server);
    Target = *server;
    route(Target->address());
  }

  asio::awaitable<http::Response> echo(http::IncomingRequest in) {
    SeenByTarget.push_back(in.Message);
    asio::steady_timer never(Context, std::chrono::hours(1));
    in.Watch->OnGone = [&never] { never.cancel(); };
    boost::system::error_code ec;
    while (HoldResponses && !Release && !in.Watch->Gone) {
      never.expires_after(std::chrono::milliseconds(1));
      co_await never.async_wait(asio::redirect_error(asio::use_awaitable, ec));
    }
    in.Watch->OnGone = nullptr;
    DisconnectedAtTarget += in.Watch->Gone ? 1 : 0;
    http::Response response =
        http::makeJsonResponse(200, "echo " + in.Message.body());
    response.set(calls::RankHeader, "forged by the target");
    for (const auto &[name, value] : TargetFields)
      response.insert(name, value);
    co_return response;
  }

  void route(const base::Address &target) {
    fleet::TargetRecord record;
    record.Service = "badges/pay";
    record.TargetId = "t1";
    record.Where = target;
    Far.Local = record;
    Near.sendTo(Far, "far", record);
  }

  http::Request post() const {
    http::Request request(bh::verb::post, "/pay?x=1", 11);
    request.body() = "body";
    request.set(calls::RankHeader, "critical");
    request.set("Connection", "close, X-Hop");
    request.set("X-Hop", "dropped");
    return request;
  }

  /// Starts a call at the near node; \p response is set when it has succeeded.
  void begin(std::optional<http::Response> &response) {
    asio::co_spawn(
        Context,
        [this]() -> asio::awaitable<std::optional<http::Response>> {
          base::LastReason reason;
          co_return co_await http::fetch(Near.Proxy->callsAddress(), post(),
                                         std::chrono::seconds(10), reason);
        },
        [&response](const std::exception_ptr &,
                    std::optional<http::Response> got) {
          response = std::move(got);
        });
  }

  asio::io_context Context{1};
  base::ManualClock Clock;
  ProxyNode Near{Context, Clock, "near"};
  ProxyNode Far{Context, Clock, "far"};
  std::shared_ptr<http::Server> Target;
  std::vector<http::Request> SeenByTarget;
  /// Further header fields of the target's responses.
  std::vector<std::pair<std::string, std::string>> TargetFields;
  size_t DisconnectedAtTarget = 0;
  bool HoldResponses = false;
  bool Release = false;
};

/// Returns the result code in a response, as a decimal number.
inline std::string codeOf(const http::Response &response) {
  return std::string(response[calls::CodeHeader]);
}

} // namespace radishcross::tests
