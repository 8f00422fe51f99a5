#include <LibAdmin/ImpactSurvey.h>

#include <LibAdmin/Answers.h>
#include <LibAdmin/ChangeRequest.h>
#include <LibAdmin/ImpactCheck.h>

namespace radishcross::admin {

namespace {

namespace asio = boost::asio;

constexpr base::Duration UsageAskTimeout = std::chrono::milliseconds(500);
constexpr base::Duration UsagePatience = std::chrono::seconds(2);

/// The impact of one planned change, or the answer to give without it.
struct Survey {
  std::optional<ImpactAssessment> Found;
  boost::json::object Document;
  base::LastReason Reason;
};

asio::awaitable<Survey> survey(const NodeControl &node,
                               const ApiRequest &request, Ask ask) {
  Survey out;
  auto planned = plannedContent(request, out.Reason);
  if (!planned)
    co_return out;
  FleetQuestion question;
  question.Target = "/v1/usage";
  question.Authorization = request.Authorization;
  question.AskTimeout = UsageAskTimeout;
  question.GivesUpAfter = UsagePatience;
  auto answers =
      co_await askFleet(node.members(), std::move(question), std::move(ask));
  auto usage = sumUsage(answers);
  out.Found = assessImpact(node.fold(), *planned, usage.Sum, out.Reason);
  if (out.Found)
    out.Document = impactDocument(*planned, *out.Found, usage);
  co_return out;
}

} // namespace

asio::awaitable<http::Response>
answerImpact(const NodeControl &node, const ApiRequest &request, Ask ask) {
  auto found = co_await survey(node, request, std::move(ask));
  co_return found.Found ? jsonAnswer(found.Document)
                        : failureAnswer(found.Reason);
}

asio::awaitable<std::optional<http::Response>>
rejectHarmfulPublish(const NodeControl &node, const ApiRequest &request,
                     Ask ask) {
  if (!requiresImpactCheck(request))
    co_return std::nullopt;
  auto found = co_await survey(node, request, std::move(ask));
  if (!found.Found)
    co_return failureAnswer(found.Reason);
  if (found.Found->Found.isHarmless())
    co_return std::nullopt;
  co_return impactRefusal(std::move(found.Document));
}

} // namespace radishcross::admin
