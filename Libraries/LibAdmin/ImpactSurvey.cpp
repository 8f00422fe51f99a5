#include <LibAdmin/ImpactSurvey.h>

#include <LibAdmin/Answers.h>
#include <LibAdmin/ChangeRequest.h>
#include <LibAdmin/ImpactCheck.h>

namespace radishcross::admin {

namespace {

namespace asio = boost::asio;

constexpr base::Duration UsageRequestTimeout = std::chrono::milliseconds(500);
constexpr base::Duration UsageTotalTimeout = std::chrono::seconds(2);

/// The assessment of one planned change, or the reason why it failed.
struct ImpactResult {
  std::optional<ImpactAssessment> Assessment;
  boost::json::object Document;
  base::LastReason Reason;
};

asio::awaitable<ImpactResult> collectImpact(const NodeControl &node,
                                            const ApiRequest &request,
                                            SendRequest send) {
  ImpactResult out;
  auto planned = plannedContent(request, out.Reason);
  if (!planned)
    co_return out;
  FleetQuery query;
  query.Target = "/v1/usage";
  query.Authorization = request.Authorization;
  query.RequestTimeout = UsageRequestTimeout;
  query.TotalTimeout = UsageTotalTimeout;
  auto answers =
      co_await queryFleet(node.members(), std::move(query), std::move(send));
  auto usage = sumUsage(answers);
  out.Assessment = assessImpact(node.fold(), *planned, usage.Sum, out.Reason);
  if (out.Assessment)
    out.Document = impactDocument(*planned, *out.Assessment, usage);
  co_return out;
}

} // namespace

asio::awaitable<http::Response> handleImpact(const NodeControl &node,
                                             const ApiRequest &request,
                                             SendRequest send) {
  auto result = co_await collectImpact(node, request, std::move(send));
  co_return result.Assessment ? jsonResponse(result.Document)
                              : errorResponse(result.Reason);
}

asio::awaitable<std::optional<http::Response>>
rejectHarmfulPublish(const NodeControl &node, const ApiRequest &request,
                     SendRequest send) {
  if (!requiresImpactCheck(request))
    co_return std::nullopt;
  auto result = co_await collectImpact(node, request, std::move(send));
  if (!result.Assessment)
    co_return errorResponse(result.Reason);
  if (result.Assessment->PredictedImpact.isHarmless())
    co_return std::nullopt;
  co_return impactRejection(std::move(result.Document));
}

} // namespace radishcross::admin
