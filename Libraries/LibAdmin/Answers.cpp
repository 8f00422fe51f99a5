#include <LibAdmin/Answers.h>

#include <boost/json/serialize.hpp>

namespace radishcross::admin {

namespace {

namespace beast = boost::beast::http;
namespace json = boost::json;
using base::ResultCode;

constexpr int HttpUnavailable = 503;
constexpr int HttpGatewayTimeout = 504;
constexpr std::string_view RetryAfterSeconds = "1";

http::Response answer(unsigned status, std::string body,
                      std::string_view contentType) {
  http::Response out;
  out.version(11);
  out.result(status);
  out.set(beast::field::content_type, contentType);
  if (status == HttpUnavailable || status == HttpGatewayTimeout)
    out.set(beast::field::retry_after, RetryAfterSeconds);
  out.body() = std::move(body);
  out.prepare_payload();
  return out;
}

http::Response answer(ResultCode code, const json::value &value) {
  return answer(base::describe(code).HttpStatus, json::serialize(value) + "\n",
                "application/json");
}

void addCode(json::object &out, ResultCode code, const std::string &reason) {
  out["code"] = static_cast<int>(code);
  out["name"] = base::describe(code).Name;
  out["reason"] = reason;
}

/// Adds the audit entry of the change that a change with a stale base
/// conflicted with.
void addWinner(json::object &out, log::Offset winner, const log::Fold &fold) {
  for (const auto &entry : fold.audit()) {
    if (entry.Outcome.At != winner)
      continue;
    out["winner"] = auditDocument(entry);
    return;
  }
  out["winner"] = json::object{{"offset", winner}};
}

bool isAccepted(ResultCode code) {
  return code == ResultCode::Ok || code == ResultCode::DuplicateRecord;
}

} // namespace

http::Response jsonResponse(const json::value &value) {
  return answer(ResultCode::Ok, value);
}

http::Response textResponse(std::string text, std::string_view contentType) {
  return answer(200, std::move(text), contentType);
}

http::Response errorResponse(const base::LastReason &reason) {
  json::object out;
  addCode(out, reason.code(), reason.text());
  return answer(reason.code(), out);
}

json::object auditDocument(const log::AuditEntry &entry) {
  const auto &outcome = entry.Outcome;
  json::object out{
      {"offset", outcome.At},
      {"record", outcome.RecordId},
      {"kind", base::nameOf(log::RecordKindNames, entry.Kind)},
      {"team", entry.By.Team},
      {"actor", entry.By.Actor},
      {"address", entry.By.Address},
      {"configuration", outcome.Configuration},
      {"version", outcome.Version},
      {"base", entry.Base},
  };
  addCode(out, outcome.Code, outcome.Reason);
  if (!entry.Difference.is_null())
    out["difference"] = entry.Difference;
  if (!entry.AcceptedImpact.empty())
    out["accepted_impact"] = entry.AcceptedImpact;
  return out;
}

json::object outcomeDocument(const log::RecordOutcome &outcome,
                             const log::Fold &fold) {
  json::object out{{"outcome", "accepted"}, {"record", outcome.RecordId}};
  if (outcome.At != 0)
    out["offset"] = outcome.At;
  if (!outcome.Configuration.empty())
    out["configuration"] = outcome.Configuration;
  if (outcome.Version != 0)
    out["version"] = outcome.Version;
  if (isAccepted(outcome.Code))
    return out;
  out["outcome"] = "rejected";
  addCode(out, outcome.Code, outcome.Reason);
  if (outcome.WinnerAt != 0)
    addWinner(out, outcome.WinnerAt, fold);
  return out;
}

http::Response impactRejection(json::object impact) {
  json::object out{{"outcome", "rejected"}};
  addCode(out, ResultCode::ImpactNotAccepted,
          "the change would harm current traffic and its impact was not "
          "accepted; nothing was appended");
  out["impact"] = std::move(impact);
  return answer(ResultCode::ImpactNotAccepted, out);
}

http::Response changeResponse(const ChangeOutcome &outcome,
                              const log::Fold &fold) {
  if (outcome.Result == ChangeOutcome::Kind::Unknown) {
    json::object out{{"outcome", "unknown"}, {"record", outcome.RecordId}};
    addCode(
        out, ResultCode::OutcomeUnknown,
        "the log did not respond in time; the change may have taken effect");
    return answer(ResultCode::OutcomeUnknown, out);
  }
  auto result = outcome.Outcome;
  result.RecordId = outcome.RecordId;
  // An append connects only to the platform, so an unreachable node means that
  // the platform is unavailable.
  if (result.Code == ResultCode::NodeUnreachable) {
    result.Code = ResultCode::PlatformUnavailable;
    result.Reason = "nothing was appended: " + result.Reason;
  }
  auto code = isAccepted(result.Code) ? ResultCode::Ok : result.Code;
  return answer(code, outcomeDocument(result, fold));
}

} // namespace radishcross::admin
