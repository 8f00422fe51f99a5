#include <LibAdmin/MetricsPage.h>

#include <LibAdmin/Answers.h>
#include <LibBase/LastReason.h>

#include <boost/beast/http/verb.hpp>

namespace radishcross::admin {

// When g++ 12 inlines a coroutine frame's operator new, it reports a false
// mismatch with the frame's operator delete.
#pragma GCC diagnostic ignored "-Wmismatched-new-delete"

boost::asio::awaitable<http::Response>
MetricsPage::handle(http::IncomingRequest incoming) {
  const auto &request = incoming.Message;
  if (request.method() == boost::beast::http::verb::get &&
      request.target() == "/metrics")
    co_return textResponse(Node.metrics().prometheusText(), PrometheusType);
  base::LastReason reason;
  reason.fail(base::ResultCode::NotFound,
              "only GET /metrics is available here");
  co_return errorResponse(reason);
}

} // namespace radishcross::admin
