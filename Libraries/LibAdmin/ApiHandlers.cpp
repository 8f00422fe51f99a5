#include <LibAdmin/ApiHandlers.h>

#include <LibAdmin/Answers.h>
#include <LibAdmin/AttachPreview.h>
#include <LibAdmin/AuditQuery.h>
#include <LibAdmin/ChangeAnswer.h>
#include <LibAdmin/ChangeRequest.h>
#include <LibAdmin/ConfigurationReport.h>
#include <LibAdmin/FleetReport.h>
#include <LibAdmin/ImpactSurvey.h>
#include <LibAdmin/StatusReport.h>

#include <boost/json/array.hpp>

namespace radishcross::admin {

namespace {

namespace asio = boost::asio;
namespace json = boost::json;
using base::ResultCode;

constexpr uint64_t DefaultRecordingSeconds = 60;
constexpr uint64_t MaximumRecordingSeconds = 3600;
constexpr std::string_view TraceType = "application/x-ndjson";

http::Response failure(ResultCode code, std::string text) {
  base::LastReason reason;
  reason.fail(code, std::move(text));
  return errorResponse(reason);
}

json::object document(const fleet::Member &member) {
  const auto &self = member.Identity;
  json::object labels;
  for (const auto &[key, value] : self.NodeLabels)
    labels[key] = value;
  json::array targets;
  for (const auto &it : member.Targets)
    targets.push_back(
        json::object{{"service", it.Service},
                     {"target", it.TargetId},
                     {"state", base::nameOf(fleet::TargetStateNames, it.State)},
                     {"slots", it.Slots},
                     {"connections", it.Connections},
                     {"load_permille", it.LoadPermille}});
  return {
      {"node", self.Id},
      {"data_centre", self.DataCentre},
      {"region", self.Region},
      {"state", base::nameOf(fleet::MemberStateNames, member.State)},
      {"incarnation", member.Incarnation},
      {"offset", member.ConfigOffset},
      {"administration", self.Administration.text()},
      {"labels", std::move(labels)},
      {"targets", std::move(targets)},
  };
}

} // namespace

http::Response ApiHandlers::health(const ApiRequest &) {
  return textResponse("ok\n", "text/plain");
}

http::Response ApiHandlers::readiness(const ApiRequest &) {
  if (Node.ready())
    return textResponse("ready\n", "text/plain");
  return failure(ResultCode::NotRecovered,
                 "the node has not recovered its configuration yet");
}

http::Response ApiHandlers::metrics(const ApiRequest &) {
  return textResponse(Node.metrics().prometheusText(), PrometheusType);
}

http::Response ApiHandlers::status(const ApiRequest &request) {
  return jsonResponse(statusReport(Node, queryText(request, "configuration")));
}

ApiHandlers::AsyncResponse ApiHandlers::fleet(ApiRequest request) {
  auto name = queryText(request, "configuration");
  if (!name.empty() && !Node.fold().configurations().contains(name))
    co_return failure(ResultCode::UnknownConfiguration,
                      "no configuration is named " + name);
  FleetQuery query;
  query.Target = "/v1/status";
  if (!name.empty())
    query.Target += "?configuration=" + percentEncode(name);
  query.Authorization = std::move(request.Authorization);
  auto answers = co_await queryFleet(Node.members(), std::move(query), Send);
  co_return jsonResponse(fleetReport(Node.fold(), name, answers));
}

http::Response ApiHandlers::members(const ApiRequest &) {
  json::array rows;
  for (const auto &it : Node.members())
    rows.push_back(document(it));
  return jsonResponse(json::object{{"members", std::move(rows)}});
}

http::Response ApiHandlers::configurations(const ApiRequest &) {
  return jsonResponse(
      json::object{{"configurations", configurationReports(Node.fold())}});
}

http::Response ApiHandlers::configuration(const ApiRequest &request) {
  const auto &name = request.Captures.at(0);
  auto it = Node.fold().configurations().find(name);
  if (it == Node.fold().configurations().end())
    return failure(ResultCode::UnknownConfiguration,
                   "no configuration is named " + name);
  return jsonResponse(configurationReport(Node.fold(), it->second));
}

http::Response ApiHandlers::version(const ApiRequest &request) {
  base::LastReason reason;
  const auto &name = request.Captures.at(0);
  auto number = parseNumber(request.Captures.at(1), "version", reason);
  if (!number)
    return errorResponse(reason);
  auto content = Node.fold().documentOf(name, *number, reason);
  if (!content)
    return errorResponse(reason);
  return jsonResponse(json::object{{"configuration", name},
                                   {"version", *number},
                                   {"content", std::move(*content)}});
}

ApiHandlers::AsyncResponse ApiHandlers::impact(ApiRequest request) {
  co_return co_await handleImpact(Node, request, Send);
}

ApiHandlers::AsyncResponse ApiHandlers::publish(ApiRequest request) {
  return handleChange(Node, std::move(request), {publishRecord, true}, Send,
                      Pending);
}

ApiHandlers::AsyncResponse ApiHandlers::attach(ApiRequest request) {
  return handleChange(Node, std::move(request), {attachRecord, false}, Send,
                      Pending);
}

http::Response ApiHandlers::previewAttach(const ApiRequest &request) {
  base::LastReason reason;
  auto planned = plannedAttachment(request, Node.fold(), reason);
  if (!planned)
    return errorResponse(reason);
  return jsonResponse(attachPreview(Node.fold(), *planned, Node.members()));
}

ApiHandlers::AsyncResponse ApiHandlers::detach(ApiRequest request) {
  return handleChange(Node, std::move(request), {detachRecord, false}, Send,
                      Pending);
}

ApiHandlers::AsyncResponse ApiHandlers::drain(ApiRequest request) {
  return handleChange(Node, std::move(request), {drainRecord, false}, Send,
                      Pending);
}

http::Response ApiHandlers::audit(const ApiRequest &request) {
  base::LastReason reason;
  auto report = auditReport(request, Node.fold(), reason);
  return report ? jsonResponse(*report) : errorResponse(reason);
}

http::Response ApiHandlers::record(const ApiRequest &request) {
  const auto &id = request.Captures.at(0);
  auto outcome = Node.fold().outcomeOf(id);
  if (!outcome)
    return failure(ResultCode::NotFound,
                   "the log holds no record " + id + " up to offset " +
                       std::to_string(Node.fold().offset()) +
                       ", or its outcome is no longer kept");
  outcome->RecordId = id;
  return jsonResponse(outcomeDocument(*outcome, Node.fold()));
}

http::Response ApiHandlers::drainSelf(const ApiRequest &) {
  Node.drainSelf();
  return jsonResponse(
      json::object{{"node", Node.identity().Id}, {"draining", true}});
}

http::Response ApiHandlers::allotments(const ApiRequest &) {
  return jsonResponse(json::object{{"allotments", Node.allotments()}});
}

http::Response ApiHandlers::quarantine(const ApiRequest &) {
  return jsonResponse(json::object{{"quarantine", Node.quarantine()}});
}

http::Response ApiHandlers::liftQuarantine(const ApiRequest &request) {
  base::LastReason reason;
  const auto &text = request.Captures.at(0);
  auto fingerprint = parseNumber(text, "fingerprint", reason);
  if (!fingerprint)
    return errorResponse(reason);
  if (!Node.liftQuarantine(*fingerprint))
    return failure(ResultCode::NotFound,
                   "no quarantined request has this fingerprint");
  return jsonResponse(json::object{{"lifted", text}});
}

http::Response ApiHandlers::recording(const ApiRequest &request) {
  base::LastReason reason;
  auto seconds = queryNumber(request, "seconds", DefaultRecordingSeconds,
                             MaximumRecordingSeconds, reason);
  if (!seconds)
    return errorResponse(reason);
  return textResponse(Node.recording(static_cast<uint32_t>(*seconds)),
                      TraceType);
}

http::Response ApiHandlers::route(const ApiRequest &request) {
  RouteQuestion question;
  question.Method = queryText(request, "method");
  question.Host = queryText(request, "host");
  question.Path = queryText(request, "path");
  question.CallerService = queryText(request, "caller");
  question.Tenant = queryText(request, "tenant");
  if (question.Method.empty() || !question.Path.starts_with("/"))
    return failure(ResultCode::UsageError,
                   "method and path are needed, and a path begins with /");
  const auto rank = queryText(request, "rank");
  question.CallRank = base::fromName(config::RankNames, rank);
  if (!rank.empty() && !question.CallRank)
    return failure(ResultCode::UsageError,
                   "rank: found \"" + rank +
                       "\", expected critical, standard or background");
  return jsonResponse(Node.route(question));
}

http::Response ApiHandlers::usage(const ApiRequest &) {
  return jsonResponse(Node.usage());
}

} // namespace radishcross::admin
