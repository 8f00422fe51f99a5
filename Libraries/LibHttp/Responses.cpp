#include <LibHttp/Responses.h>

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <charconv>
#include <string>

namespace radishcross::http {

namespace {

namespace bh = boost::beast::http;

void append(std::string &out, boost::beast::string_view text) {
  out.append(text.data(), text.size());
}

std::string_view versionName(unsigned version) {
  return version == 10 ? "HTTP/1.0" : "HTTP/1.1";
}

// Serialised by hand, as the library's serializer costs three times as much.
void appendFields(const bh::fields &fields, std::string &out) {
  for (const auto &it : fields) {
    append(out, it.name_string());
    out += ": ";
    append(out, it.value());
    out += "\r\n";
  }
}

constexpr unsigned NotExecutedStatuses[] = {408, 421, 429, 503};
constexpr unsigned FirstServerErrorStatus = 500;
constexpr unsigned FirstFinalStatus = 200;
constexpr unsigned LastStatus = 599;
/// Longer delays are of no use to a client and could overflow the clock.
constexpr std::chrono::seconds MaxRetryAfter{3600};

/// Returns the status of \p code, adjusted so that it promises that the call
/// was not run if and only if that is so.
unsigned statusFor(base::ResultCode code, calls::CallOutcome outcome) {
  unsigned status = base::describe(code).HttpStatus;
  bool isPromise = promisesNotRun(status);
  if (isPromise && outcome == calls::CallOutcome::Unknown)
    return static_cast<unsigned>(bh::status::bad_gateway);
  if (status >= FirstServerErrorStatus && !isPromise &&
      outcome == calls::CallOutcome::NotRun)
    return static_cast<unsigned>(bh::status::service_unavailable);
  return status;
}

} // namespace

void appendMessage(const Request &message, std::string_view lines,
                   std::string &out, bool withBody) {
  append(out, message.method_string());
  out += ' ';
  append(out, message.target());
  out += ' ';
  out += versionName(message.version());
  out += "\r\n";
  appendFields(message, out);
  out += lines;
  out += "\r\n";
  if (withBody)
    out += message.body();
}

void appendMessage(const Response &message, std::string &out, bool withBody) {
  out += versionName(message.version());
  out += ' ';
  out += std::to_string(message.result_int());
  out += ' ';
  append(out, message.reason());
  out += "\r\n";
  appendFields(message, out);
  out += "\r\n";
  if (withBody)
    out += message.body();
}

std::optional<Response> parseResponse(std::string_view bytes) {
  bh::response_parser<bh::string_body> parser;
  parser.body_limit(boost::none);
  parser.eager(true);
  boost::system::error_code ec;
  parser.put(boost::asio::buffer(bytes.data(), bytes.size()), ec);
  if (ec || !parser.is_done())
    return std::nullopt;
  unsigned status = parser.get().result_int();
  if (status < FirstFinalStatus || status > LastStatus)
    return std::nullopt;
  return parser.release();
}

bool promisesNotRun(unsigned status) {
  return std::find(std::begin(NotExecutedStatuses),
                   std::end(NotExecutedStatuses),
                   status) != std::end(NotExecutedStatuses);
}

std::string formatRetryAfter(base::Duration time) {
  constexpr int64_t MsPerSecond = 1000;
  auto ms = std::chrono::ceil<std::chrono::milliseconds>(time).count();
  std::string out = std::to_string(ms / MsPerSecond);
  if (ms % MsPerSecond == 0)
    return out;
  std::string digits = std::to_string(MsPerSecond + ms % MsPerSecond);
  return out + "." + digits.substr(1);
}

base::Duration parseRetryAfter(std::string_view text) {
  int64_t seconds = 0;
  auto [end, ec] =
      std::from_chars(text.data(), text.data() + text.size(), seconds);
  if (ec == std::errc::result_out_of_range || seconds < 0 ||
      seconds >= MaxRetryAfter.count())
    return {};
  base::Duration out = std::chrono::seconds(seconds);
  text.remove_prefix(static_cast<size_t>(end - text.data()));
  if (text.empty() || text.front() != '.')
    return out;
  std::string digits(text.substr(1, 3));
  digits.resize(3, '0');
  int64_t ms = 0;
  std::from_chars(digits.data(), digits.data() + digits.size(), ms);
  return out + std::chrono::milliseconds(std::max<int64_t>(ms, 0));
}

Response makeJsonResponse(unsigned status, std::string body) {
  Response response;
  response.version(11);
  response.result(status);
  response.set(boost::beast::http::field::content_type, "application/json");
  response.body() = std::move(body);
  response.prepare_payload();
  return response;
}

Response makeErrorResponse(base::ResultCode code, calls::CallOutcome outcome,
                           std::string_view reason, base::Duration retryAfter) {
  const auto &row = base::describe(code);
  std::string_view name = base::nameOf(calls::CallOutcomeNames, outcome);
  boost::json::object body;
  body["code"] = static_cast<int>(code);
  body["name"] = row.Name;
  body["outcome"] = name;
  body["reason"] = reason.empty() ? row.Meaning : reason;
  Response response =
      makeJsonResponse(statusFor(code, outcome), boost::json::serialize(body));
  response.set(calls::CodeHeader, std::to_string(static_cast<int>(code)));
  response.set(calls::OutcomeHeader, name);
  if (retryAfter.count() > 0)
    response.set(boost::beast::http::field::retry_after,
                 formatRetryAfter(retryAfter));
  return response;
}

} // namespace radishcross::http
