#include "StandIns.h"

#include <LibHttp/Answers.h>
#include <LibHttp/Server.h>

#include <absl/flags/flag.h>
#include <boost/asio/io_context.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <deque>
#include <list>

ABSL_FLAG(uint64_t, keep_records, 100000, "records that the log keeps");

namespace radishcross::standins {

namespace {

namespace asio = boost::asio;
namespace json = boost::json;
namespace bh = boost::beast::http;

constexpr size_t MaximumRecordBytes = 64UL << 10;
constexpr size_t MaximumReadBytes = 1UL << 20;
constexpr std::chrono::seconds LongestWait{60};

/// The platform's append-only log, in memory.
class Platform {
public:
  Platform(asio::io_context &context, uint64_t keep)
      : Context(context), Keep(keep) {}

  asio::awaitable<http::Response> handle(http::IncomingRequest incoming) {
    std::string_view target(incoming.Message.target().data(),
                            incoming.Message.target().size());
    bool isPost = incoming.Message.method() == bh::verb::post;
    if (target == "/control")
      co_return isPost ? control(incoming.Message.body()) : counters();
    if (DelayMs > 0)
      co_await pause(std::chrono::milliseconds(DelayMs));
    if (Outage)
      co_return http::makeJson(503, R"({"error":"outage"})");
    if (isPost && target == "/v1/records")
      co_return co_await append(std::move(incoming.Message.body()));
    if (!isPost && target.starts_with("/v1/records?"))
      co_return co_await read(target, incoming);
    co_return http::makeJson(404, R"({"error":"not found"})");
  }

private:
  asio::awaitable<void> pause(asio::steady_timer::duration time) {
    asio::steady_timer timer(Context, time);
    boost::system::error_code ec;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
  }

  uint64_t end() const { return First + Records.size(); }

  asio::awaitable<http::Response> append(std::string bytes) {
    if (bytes.size() > MaximumRecordBytes)
      co_return http::makeJson(413, R"({"error":"record too large"})");
    Appends += 1;
    uint64_t at = end();
    Records.push_back(std::move(bytes));
    while (Records.size() > Keep) {
      Records.pop_front();
      ++First;
    }
    for (asio::steady_timer *it : Waiting)
      it->cancel();
    if (LoseAnswers == 0)
      co_return http::makeJson(200, R"({"offset":)" + std::to_string(at) + "}");
    LoseAnswers -= 1;
    throw http::DropConnection();
  }

  asio::awaitable<http::Response> read(std::string_view target,
                                       http::IncomingRequest &incoming) {
    Reads += 1;
    uint64_t from = queryNumber(target, "from", 1);
    uint64_t maximum = queryNumber(target, "maximum", 100);
    std::chrono::milliseconds wait(queryNumber(target, "wait_ms", 0));
    if (from >= end() && wait.count() > 0) {
      asio::steady_timer timer(
          Context, std::min<std::chrono::milliseconds>(wait, LongestWait));
      auto it = Waiting.insert(Waiting.end(), &timer);
      incoming.Watch->OnGone = [&timer] { timer.cancel(); };
      boost::system::error_code ec;
      co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
      incoming.Watch->OnGone = nullptr;
      Waiting.erase(it);
    }
    if (Outage)
      co_return http::makeJson(503, R"({"error":"outage"})");
    co_return http::makeJson(200, page(from, maximum));
  }

  std::string page(uint64_t from, uint64_t maximum) const {
    json::array list;
    size_t bytes = 0;
    for (uint64_t at = std::max(from, First); at < end(); ++at) {
      const std::string &record = Records[at - First];
      bytes += record.size();
      if (list.size() >= maximum || (bytes > MaximumReadBytes && !list.empty()))
        break;
      list.push_back({{"offset", at}, {"bytes", record}});
    }
    return json::serialize(json::object{
        {"first", First}, {"end", end()}, {"records", std::move(list)}});
  }

  http::Response control(const std::string &body) {
    boost::system::error_code ec;
    json::value document = json::parse(body, ec);
    if (ec || !document.is_object())
      return http::makeJson(400, R"({"error":"not an object"})");
    json::object &wish = document.as_object();
    if (const json::value *it = wish.if_contains("outage"))
      Outage = it->is_bool() && it->as_bool();
    if (const json::value *it = wish.if_contains("delay_ms"))
      DelayMs = it->to_number<uint64_t>();
    if (const json::value *it = wish.if_contains("lose_answers"))
      LoseAnswers = it->to_number<uint64_t>();
    if (const json::value *it = wish.if_contains("truncate_to"))
      truncate(it->to_number<uint64_t>());
    if (Outage)
      for (asio::steady_timer *it : Waiting)
        it->cancel();
    return counters();
  }

  /// Drops every record from offset \p last + 1 on.
  void truncate(uint64_t last) {
    while (!Records.empty() && end() > last + 1)
      Records.pop_back();
  }

  http::Response counters() const {
    return http::makeJson(200,
                          json::serialize(json::object{{"reads", Reads},
                                                       {"appends", Appends},
                                                       {"first", First},
                                                       {"end", end()},
                                                       {"outage", Outage}}));
  }

  asio::io_context &Context;
  uint64_t Keep;
  std::deque<std::string> Records;
  uint64_t First = 1;
  std::list<asio::steady_timer *> Waiting;
  uint64_t Reads = 0;
  uint64_t Appends = 0;
  uint64_t DelayMs = 0;
  uint64_t LoseAnswers = 0;
  bool Outage = false;
};

} // namespace

int runPlatform() {
  asio::io_context context(1);
  Platform platform(context, absl::GetFlag(FLAGS_keep_records));
  http::ServerLimits limits;
  limits.BodyBytes = 2 * MaximumRecordBytes;
  auto server = listenAsAsked(context, limits, [&](http::IncomingRequest it) {
    return platform.handle(std::move(it));
  });
  if (!server)
    return 4;
  asio::signal_set signals(context, SIGINT, SIGTERM);
  signals.async_wait([&](auto, int) { context.stop(); });
  context.run();
  return 0;
}

} // namespace radishcross::standins
