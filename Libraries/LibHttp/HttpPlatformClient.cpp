#include <LibHttp/HttpPlatformClient.h>

#include <LibHttp/Client.h>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>
#include <boost/json/value_to.hpp>
#include <optional>

namespace radishcross::http {

namespace {

namespace asio = boost::asio;
namespace json = boost::json;

constexpr base::Duration AppendTimeout = std::chrono::seconds(5);
/// Time for an answer beyond the wait that was asked for.
constexpr base::Duration ReadSlack = std::chrono::seconds(5);

constexpr unsigned StatusOk = 200;
constexpr unsigned StatusUnavailable = 503;

std::optional<json::object> parseObject(const std::string &body) {
  boost::system::error_code ec;
  json::value document = json::parse(body, ec);
  if (ec || !document.is_object())
    return std::nullopt;
  return std::move(document.as_object());
}

std::optional<uint64_t> numberAt(const json::object &object,
                                 std::string_view key) {
  const json::value *it = object.if_contains(key);
  if (it == nullptr || !it->is_number())
    return std::nullopt;
  boost::system::error_code ec;
  auto n = it->to_number<uint64_t>(ec);
  return ec ? std::nullopt : std::optional<uint64_t>(n);
}

std::optional<log::StoredRecord> decodeStored(const json::value &entry) {
  const json::object *object = entry.if_object();
  if (object == nullptr)
    return std::nullopt;
  auto at = numberAt(*object, "offset");
  const json::value *bytes = object->if_contains("bytes");
  if (!at || bytes == nullptr || !bytes->is_string())
    return std::nullopt;
  return log::StoredRecord{*at, std::string(bytes->as_string())};
}

/// Returns nothing when the answer is not of the agreed form.
std::optional<log::ReadAnswer> decodeRead(const std::string &body) {
  auto object = parseObject(body);
  if (!object)
    return std::nullopt;
  auto first = numberAt(*object, "first");
  auto end = numberAt(*object, "end");
  const json::value *records = object->if_contains("records");
  if (!first || !end || records == nullptr || !records->is_array())
    return std::nullopt;
  log::ReadAnswer answer;
  answer.Reached = true;
  answer.First = *first;
  answer.End = *end;
  for (const json::value &entry : records->as_array()) {
    auto record = decodeStored(entry);
    if (!record)
      return std::nullopt;
    answer.Records.push_back(std::move(*record));
  }
  return answer;
}

/// Reads the answer to an append. Refused only where the platform says that
/// nothing was appended: 4xx and 503.
log::AppendAnswer decodeAppend(const Response &response) {
  log::AppendAnswer answer;
  unsigned status = response.result_int();
  auto object = parseObject(response.body());
  auto offset = object ? numberAt(*object, "offset") : std::nullopt;
  if (status == StatusOk && offset) {
    answer.Outcome = log::AppendAnswer::Kind::Accepted;
    answer.At = *offset;
    return answer;
  }
  bool refused = (status >= 400 && status < 500) || status == StatusUnavailable;
  answer.Outcome = refused ? log::AppendAnswer::Kind::Refused
                           : log::AppendAnswer::Kind::Unknown;
  auto code = base::ResultCode::OutcomeUnknown;
  if (refused)
    code = status == 413 ? base::ResultCode::RecordTooLarge
                         : base::ResultCode::PlatformUnavailable;
  answer.Reason.fail(code, "the platform answered " + std::to_string(status));
  return answer;
}

} // namespace

struct HttpPlatformClient::Implementation {
  Implementation(asio::io_context &context,
                 std::vector<base::Address> addresses, base::Metrics &metrics)
      : Context(&context), Addresses(std::move(addresses)),
        Appends(&metrics.counter("platform_appends_total")),
        Reads(&metrics.counter("platform_reads_total")),
        Failures(&metrics.counter("platform_failures_total")),
        Sent(&metrics.counter("platform_bytes_total{direction=\"sent\"}")),
        Received(
            &metrics.counter("platform_bytes_total{direction=\"received\"}")) {}

  /// Sends to the address that last answered, then to the others in turn while
  /// no byte has gone out, or, for a read, at any failure.
  asio::awaitable<std::optional<Response>>
  send(Request request, base::Duration timeout, base::LastReason &reason);
  asio::awaitable<void> append(std::string bytes,
                               std::function<void(log::AppendAnswer)> done);
  asio::awaitable<void> read(std::string target, base::Duration timeout,
                             std::function<void(log::ReadAnswer)> done);

  asio::io_context *Context;
  std::vector<base::Address> Addresses;
  uint64_t *Appends;
  uint64_t *Reads;
  uint64_t *Failures;
  uint64_t *Sent;
  uint64_t *Received;
  size_t Preferred = 0;
  bool Stopped = false;
};

asio::awaitable<std::optional<Response>>
HttpPlatformClient::Implementation::send(Request request,
                                         base::Duration timeout,
                                         base::LastReason &reason) {
  reason.fail(base::ResultCode::NodeUnreachable, "no platform address is set");
  bool isRead = request.method() == boost::beast::http::verb::get;
  for (size_t i = 0; i < Addresses.size() && !Stopped; ++i) {
    size_t choice = (Preferred + i) % Addresses.size();
    *Sent += request.body().size();
    auto answer = co_await fetch(Addresses[choice], request, timeout, reason);
    if (Stopped)
      break; // The counters may be gone with the client's owner.
    if (answer) {
      Preferred = choice;
      *Received += answer->body().size();
      co_return answer;
    }
    *Failures += 1;
    if (!isRead && reason.code() != base::ResultCode::NodeUnreachable)
      break; // The append may have taken effect.
  }
  co_return std::nullopt;
}

asio::awaitable<void> HttpPlatformClient::Implementation::append(
    std::string bytes, std::function<void(log::AppendAnswer)> done) {
  Request request(boost::beast::http::verb::post, "/v1/records", 11);
  request.body() = std::move(bytes);
  *Appends += 1;
  log::AppendAnswer answer;
  auto response =
      co_await send(std::move(request), AppendTimeout, answer.Reason);
  if (response)
    answer = decodeAppend(*response);
  else if (answer.Reason.code() == base::ResultCode::NodeUnreachable)
    answer.Outcome = log::AppendAnswer::Kind::Refused;
  if (!Stopped)
    done(std::move(answer));
}

asio::awaitable<void> HttpPlatformClient::Implementation::read(
    std::string target, base::Duration timeout,
    std::function<void(log::ReadAnswer)> done) {
  *Reads += 1;
  log::ReadAnswer answer;
  auto response =
      co_await send(Request(boost::beast::http::verb::get, target, 11), timeout,
                    answer.Reason);
  if (response && response->result_int() == StatusOk) {
    auto decoded = decodeRead(response->body());
    if (decoded)
      answer = std::move(*decoded);
    else
      answer.Reason.fail(base::ResultCode::PlatformUnavailable,
                         "the platform's answer cannot be read");
  } else if (response) {
    answer.Reason.fail(base::ResultCode::PlatformUnavailable,
                       "the platform answered " +
                           std::to_string(response->result_int()));
  }
  if (!Stopped)
    done(std::move(answer));
}

HttpPlatformClient::HttpPlatformClient(asio::io_context &context,
                                       std::vector<base::Address> addresses,
                                       base::Metrics &metrics)
    : Held(std::make_shared<Implementation>(context, std::move(addresses),
                                            metrics)) {}

HttpPlatformClient::~HttpPlatformClient() { Held->Stopped = true; }

void HttpPlatformClient::append(std::string bytes,
                                std::function<void(log::AppendAnswer)> done) {
  asio::co_spawn(
      *Held->Context,
      [held = Held, bytes = std::move(bytes), done = std::move(done)] {
        return held->append(bytes, done);
      },
      asio::detached);
}

void HttpPlatformClient::read(log::Offset from, uint32_t maximumRecords,
                              base::Duration wait,
                              std::function<void(log::ReadAnswer)> done) {
  auto waitMs = std::chrono::duration_cast<std::chrono::milliseconds>(wait);
  std::string target = "/v1/records?from=" + std::to_string(from) +
                       "&maximum=" + std::to_string(maximumRecords) +
                       "&wait_ms=" + std::to_string(waitMs.count());
  asio::co_spawn(
      *Held->Context,
      [held = Held, target = std::move(target), wait, done = std::move(done)] {
        return held->read(target, wait + ReadSlack, done);
      },
      asio::detached);
}

} // namespace radishcross::http
