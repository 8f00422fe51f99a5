#include <LibNode/MockPlatform.h>

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/status.hpp>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <doctest/doctest.h>

namespace radishcross::test {

namespace {

using namespace std::chrono_literals;

uint64_t parameter(std::string_view target, std::string_view name) {
  size_t at = target.find(std::string(name) + "=");
  if (at == std::string_view::npos)
    return 0;
  return std::stoull(std::string(target.substr(at + name.size() + 1)));
}

http::Response answer(boost::beast::http::status status,
                      const boost::json::object &body) {
  http::Response out(status, 11);
  out.body() = boost::json::serialize(body);
  out.prepare_payload();
  return out;
}

} // namespace

MockPlatform::MockPlatform(boost::asio::io_context &context) {
  base::LastReason reason;
  auto server = http::Server::create(
      context, {"127.0.0.1", 0}, {},
      [this](http::IncomingRequest request) {
        return handle(std::move(request));
      },
      reason);
  REQUIRE_MESSAGE(server, reason.text());
  Listener = *server;
}

boost::asio::awaitable<http::Response>
MockPlatform::handle(http::IncomingRequest request) {
  if (Outage)
    co_return answer(boost::beast::http::status::service_unavailable, {});
  if (request.Message.method() == boost::beast::http::verb::post) {
    Records.push_back(request.Message.body());
    co_return answer(boost::beast::http::status::ok,
                     {{"offset", Records.size()}});
  }
  std::string target(request.Message.target());
  uint64_t from = parameter(target, "from");
  uint64_t maximum = parameter(target, "maximum");
  auto wait = std::chrono::milliseconds(parameter(target, "wait_ms"));
  boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor);
  for (auto waited = 0ms; waited < wait && Records.size() < from && !Outage;
       waited += 5ms) {
    timer.expires_after(5ms);
    co_await timer.async_wait(boost::asio::use_awaitable);
  }
  boost::json::array records;
  for (uint64_t i = from; i <= Records.size() && records.size() < maximum; ++i)
    records.push_back(
        boost::json::object{{"offset", i}, {"bytes", Records[i - 1]}});
  co_return answer(boost::beast::http::status::ok,
                   {{"first", 1},
                    {"end", Records.size() + 1},
                    {"records", std::move(records)}});
}

} // namespace radishcross::test
