#include <LibHttp/Answers.h>

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <string>

namespace radishcross::http {

Response makeJson(unsigned status, std::string body) {
  Response answer;
  answer.version(11);
  answer.result(status);
  answer.set(boost::beast::http::field::content_type, "application/json");
  answer.body() = std::move(body);
  answer.prepare_payload();
  return answer;
}

Response makeAnswer(base::ResultCode code, calls::CallOutcome outcome,
                    std::string_view reason, base::Duration retryAfter) {
  const auto &row = base::describe(code);
  std::string_view name = base::nameOf(calls::CallOutcomeNames, outcome);
  boost::json::object body;
  body["code"] = static_cast<int>(code);
  body["name"] = row.Name;
  body["outcome"] = name;
  body["reason"] = reason.empty() ? row.Meaning : reason;
  Response answer = makeJson(row.HttpStatus, boost::json::serialize(body));
  answer.set(calls::CodeHeader, std::to_string(static_cast<int>(code)));
  answer.set(calls::OutcomeHeader, name);
  if (retryAfter.count() > 0) {
    auto seconds = std::chrono::ceil<std::chrono::seconds>(retryAfter);
    answer.set(boost::beast::http::field::retry_after,
               std::to_string(seconds.count()));
  }
  return answer;
}

} // namespace radishcross::http
