#include <LibAdmin/MetricsPage.h>

#include <LibAdmin/Answers.h>
#include <LibBase/LastReason.h>

#include <boost/beast/http/verb.hpp>

namespace radishcross::admin {

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
