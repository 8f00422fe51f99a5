#include "StandIns.h"
#include "StoreModel.h"

#include <LibHttp/Responses.h>
#include <LibHttp/Server.h>

#include <absl/flags/flag.h>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

ABSL_FLAG(uint64_t, keep_records, 100000,
          "records of history to keep per topic");

namespace radishcross::standins {

namespace {

namespace asio = boost::asio;
namespace json = boost::json;
namespace bh = boost::beast::http;

constexpr size_t MaximumBodyBytes = 4UL << 20;
constexpr const char *ChangesTopic = "keyed.radishcross-changes";

/// The store model with fault injection at /control.
class Platform {
public:
  Platform(asio::io_context &context, uint64_t historyLimit) : Store(context) {
    Store.HistoryLimit = historyLimit;
  }

  asio::awaitable<http::Response> handle(http::IncomingRequest incoming) {
    if (incoming.Message.target() != "/control")
      co_return co_await Store.handle(std::move(incoming));
    if (incoming.Message.method() == bh::verb::post)
      co_return control(incoming.Message.body());
    co_return counters();
  }

private:
  http::Response control(const std::string &body) {
    boost::system::error_code ec;
    json::value document = json::parse(body, ec);
    if (ec || !document.is_object())
      return http::makeJsonResponse(400, R"({"error":"not an object"})");
    json::object &command = document.as_object();
    if (const json::value *it = command.if_contains("outage"))
      Store.setOutage(it->is_bool() && it->as_bool());
    if (const json::value *it = command.if_contains("delay_ms"))
      Store.DelayMs = it->to_number<uint64_t>();
    if (const json::value *it = command.if_contains("lose_answers"))
      Store.AnswersToLose = it->to_number<uint64_t>();
    if (command.if_contains("forget_history"))
      Store.forgetHistory();
    return counters();
  }

  http::Response counters() {
    return http::makeJsonResponse(
        200,
        json::serialize(json::object{{"reads", Store.Reads},
                                     {"appends", Store.Appends},
                                     {"end", Store.endOffsetOf(ChangesTopic)},
                                     {"outage", Store.Outage}}));
  }

  StoreModel Store;
};

} // namespace

int runPlatform() {
  asio::io_context context(1);
  Platform platform(context, absl::GetFlag(FLAGS_keep_records));
  http::ServerLimits limits;
  limits.BodyBytes = MaximumBodyBytes;
  auto server = listenFromFlags(context, limits, [&](http::IncomingRequest it) {
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
