#include <LibHttp/Exchange.h>

#include <LibCalls/CallTypes.h>
#include <LibHttp/AnswerRest.h>
#include <LibHttp/Responses.h>

#include <algorithm>
#include <charconv>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace radishcross::http {

namespace {

namespace asio = boost::asio;
using calls::AttemptEnd;

/// Within a region a handshake takes a few one-way delays. A lost SYN is
/// retransmitted only after a second, so another server is tried sooner.
constexpr base::Duration ExchangeConnectTimeout =
    std::chrono::milliseconds(250);

/// Maximum number of responses to other requests that an attempt skips.
constexpr size_t MaxSkippedResponses = 2;

/// Which request a response belongs to.
enum class ResponseOwner : uint8_t {
  Own,     ///< This request, as far as the id shows.
  Other,   ///< Another request: a duplicate or late response.
  Missing, ///< No id, though the server echoes ids.
};

std::string_view textOf(boost::beast::string_view value) {
  return {value.data(), value.size()};
}

/// Returns the idle timeout that the server announced (Keep-Alive), or nothing.
std::optional<base::Duration> serverIdleTimeoutOf(const Response &response) {
  constexpr std::string_view Name = "timeout=";
  auto field = response[boost::beast::http::field::keep_alive];
  std::string_view text(field.data(), field.size());
  size_t at = text.find(Name);
  uint32_t seconds = 0;
  if (at == std::string_view::npos)
    return std::nullopt;
  text.remove_prefix(at + Name.size());
  auto [end, ec] =
      std::from_chars(text.data(), text.data() + text.size(), seconds);
  if (ec != std::errc())
    return std::nullopt;
  return std::chrono::seconds(seconds);
}

/// Closes the connection if the client disconnects during the guard's lifetime.
class DisconnectGuard {
public:
  DisconnectGuard(std::shared_ptr<ClientWatch> watch,
                  const ConnectionPointer &connection)
      : Watch(std::move(watch)) {
    Watch->OnGone = [connection] { connection->close(); };
  }
  ~DisconnectGuard() { Watch->OnGone = nullptr; }
  DisconnectGuard(const DisconnectGuard &) = delete;
  DisconnectGuard &operator=(const DisconnectGuard &) = delete;

private:
  std::shared_ptr<ClientWatch> Watch;
};

/// State of one attempt across the connections that it tries.
class Attempt {
public:
  Attempt(ConnectionPool &pool, ExchangePlan plan, const Request &request,
          std::shared_ptr<ClientWatch> watch)
      : Pool(pool), Plan(std::move(plan)), Message(request),
        Watch(std::move(watch)), SentId(fieldOf(request, Plan.IdField)),
        Started(Time.now()) {}

  asio::awaitable<ExchangeResult> run() {
    ExchangeResult result;
    if (Plan.FreshConnection)
      Pool.dropIdle(Plan.Server);
    ConnectionPointer connection =
        Pool.acquireIdle(Plan.Server, Started, SentId);
    if (connection) {
      size_t received = connection->bytesReceived();
      base::Duration rest = Started - connection->lastReceivedAt();
      result.End = co_await send(connection, result.HttpResponse);
      if (result.End == AttemptEnd::Broken &&
          connection->bytesReceived() == received)
        Pool.noteLost(Plan.Server, rest, Time.now() - Started, Time.now());
      // A stale pooled connection that accepted no byte says nothing about the
      // server.
      if (result.End == AttemptEnd::NotSent && !hasTimedOut())
        connection = nullptr;
    }
    if (!connection)
      result.End = co_await sendOnNewConnection(result.HttpResponse);
    result.Latency = Time.now() - Started;
    co_return result;
  }

private:
  base::Duration left() const { return Plan.Timeout - (Time.now() - Started); }
  bool hasTimedOut() const { return left().count() <= 0; }

  asio::awaitable<AttemptEnd> sendOnNewConnection(Response &response) {
    ConnectionPointer connection = Pool.makeNew();
    connection->expireAfter(std::min(left(), ExchangeConnectTimeout));
    {
      DisconnectGuard guard(Watch, connection);
      bool connected = co_await connection->connect(Plan.Server);
      if (Watch->Gone)
        co_return AttemptEnd::CallerGone;
      if (!connected)
        co_return AttemptEnd::NotSent;
    }
    co_return co_await send(connection, response);
  }

  asio::awaitable<AttemptEnd> send(ConnectionPointer connection,
                                   Response &response) {
    DisconnectGuard guard(Watch, connection);
    connection->expireAfter(left());
    connection->startWrite(Message, Plan.Lines);
    if (connection->writeFailed() && connection->bytesWritten() == 0 &&
        !Watch->Gone) {
      connection->close();
      co_return AttemptEnd::NotSent;
    }
    // A response may arrive before the request has been sent completely.
    bool isInSync = true;
    for (size_t n = 0; n <= MaxSkippedResponses; ++n) {
      base::LastReason reason;
      ReadStatus end = co_await connection->readResponse(
          response, Message.method(), Plan.ResponseLimits, reason);
      if (end != ReadStatus::Complete)
        co_return fail(connection, end);
      ResponseOwner owner = findOwner(*connection, response);
      if (owner == ResponseOwner::Own) {
        bool isReusable = isInSync && noteRefusal(*connection, response);
        if (response.Rest)
          keepForRest(connection, response, isReusable);
        else
          releaseOrClose(connection, response, isReusable);
        co_return AttemptEnd::Answered;
      }
      if (owner == ResponseOwner::Missing || !co_await skipRest(response))
        break;
      isInSync = false;
      connection->expireAfter(left());
    }
    co_return fail(connection, ReadStatus::Refused);
  }

  /// Determines by the echoed id which request \p response belongs to.
  ResponseOwner findOwner(Connection &connection, const Response &response) {
    auto [first, last] = response.equal_range(Plan.IdField);
    if (SentId.empty()) {
      bool isRepeated = std::any_of(first, last, [&](const auto &it) {
        return connection.refusals().contains(textOf(it.value()));
      });
      return isRepeated ? ResponseOwner::Other : ResponseOwner::Own;
    }
    bool isNodeRefusal =
        Plan.ServerIsNode && response.count(calls::OutcomeHeader) != 0;
    if (first == last)
      return !isNodeRefusal && echoesIds(connection) ? ResponseOwner::Missing
                                                     : ResponseOwner::Own;
    Pool.noteEchoedId(Plan.Server);
    bool isOwn = std::all_of(first, last, [this](const auto &it) {
      return textOf(it.value()) == SentId;
    });
    return isOwn ? ResponseOwner::Own : ResponseOwner::Other;
  }

  bool echoesIds(Connection &connection) const {
    return Pool.echoesIds(Plan.Server) || !connection.refusals().empty();
  }

  /// Remembers a refusal of this request, by which a copy of it is recognised.
  /// Returns false if that is not possible.
  bool noteRefusal(Connection &connection, const Response &response) const {
    if (Plan.ServerIsNode || !isRefusal(response))
      return true;
    if (SentId.empty() || response.count(Plan.IdField) == 0)
      return false;
    connection.refusals().add(SentId);
    return !connection.refusals().isFull();
  }

  /// Returns whether \p response promises that its request was not run.
  bool isRefusal(const Response &response) const {
    return promisesNotRun(response.result_int()) ||
           response.count(Plan.NotRunField) != 0 ||
           response.count(calls::OutcomeHeader) != 0;
  }

  /// A connection is reused only if no data is outstanding in either direction.
  void releaseOrClose(const ConnectionPointer &connection,
                      const Response &response, bool isReusable) {
    if (isReusable && !connection->isWriting() && !connection->writeFailed() &&
        !connection->hasBufferedInput() && response.keep_alive() &&
        !response.need_eof())
      Pool.release(Plan.Server, connection, Time.now(),
                   serverIdleTimeoutOf(response));
    else
      connection->close();
  }

  /// As releaseOrClose(), once the rest of the response has ended.
  void keepForRest(const ConnectionPointer &connection,
                   const Response &response, bool isReusable) {
    isReusable = isReusable && response.keep_alive() && !response.need_eof();
    response.Rest->setTimeout(left());
    response.Rest->addOnEnd([pool = &Pool, server = Plan.Server, connection,
                             idle = serverIdleTimeoutOf(response),
                             isReusable](RestEnd end, base::Duration) {
      if (end == RestEnd::Whole && isReusable &&
          !connection->hasBufferedInput())
        pool->release(server, connection, base::SystemClock().now(), idle);
      else
        connection->close();
    });
  }

  /// Reads the rest of a response to another request.
  asio::awaitable<bool> skipRest(Response &response) {
    const auto rest = std::exchange(response.Rest, nullptr);
    if (!rest)
      co_return true;
    rest->setTimeout(left());
    std::string part;
    while (!rest->isWhole())
      if (!co_await rest->read(part))
        co_return false;
    co_return true;
  }

  AttemptEnd fail(const ConnectionPointer &connection, ReadStatus end) {
    bool isNotSent = connection->bytesWritten() == 0;
    connection->close();
    if (Watch->Gone)
      return AttemptEnd::CallerGone;
    if (end == ReadStatus::TimedOut)
      Pool.dropIdle(Plan.Server);
    if (isNotSent)
      return AttemptEnd::NotSent;
    return end == ReadStatus::TimedOut ? AttemptEnd::TimedOut
                                       : AttemptEnd::Broken;
  }

  ConnectionPool &Pool;
  base::SystemClock Time;
  ExchangePlan Plan;
  const Request &Message;
  std::shared_ptr<ClientWatch> Watch;
  std::string_view SentId; ///< Empty: none.
  base::TimePoint Started;
};

} // namespace

asio::awaitable<ExchangeResult> exchange(ConnectionPool &pool,
                                         ExchangePlan plan,
                                         const Request &request,
                                         std::shared_ptr<ClientWatch> watch) {
  Attempt attempt(pool, std::move(plan), request, std::move(watch));
  co_return co_await attempt.run();
}

} // namespace radishcross::http
