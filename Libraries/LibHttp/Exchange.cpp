#include <LibHttp/Exchange.h>

#include <LibCalls/CallTypes.h>

#include <algorithm>
#include <charconv>
#include <optional>
#include <string_view>

namespace radishcross::http {

namespace {

namespace asio = boost::asio;
using calls::AttemptEnd;

/// Within a region a connection takes a few times the way. An opening packet
/// that was dropped comes again after a second: another server is tried sooner.
constexpr base::Duration ExchangeConnectTimeout =
    std::chrono::milliseconds(250);

/// Answers to other requests that an attempt skips before it gives up.
constexpr size_t SkippedAnswers = 2;

/// Whose request an answer belongs to.
enum class AnswerId : uint8_t {
  Own,     ///< This one, as far as the id tells.
  Other,   ///< Another one: an extra or late answer.
  Missing, ///< None, though the server repeats ids.
};

/// Returns for how long the server keeps the connection idle, or nothing where
/// its answer does not say (Keep-Alive).
std::optional<base::Duration> idleTimeOf(const Response &answer) {
  constexpr std::string_view Name = "timeout=";
  auto field = answer[boost::beast::http::field::keep_alive];
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

/// Ends the attempt when the client goes away, for as long as it lives.
class GoneGuard {
public:
  GoneGuard(std::shared_ptr<ClientWatch> watch, const ConnectionPointer &link)
      : Watch(std::move(watch)) {
    Watch->OnGone = [link] { link->close(); };
  }
  ~GoneGuard() { Watch->OnGone = nullptr; }
  GoneGuard(const GoneGuard &) = delete;
  GoneGuard &operator=(const GoneGuard &) = delete;

private:
  std::shared_ptr<ClientWatch> Watch;
};

/// One attempt's state over the connections that it tries.
class Attempt {
public:
  Attempt(ConnectionPool &pool, ExchangePlan plan, const Request &request,
          std::shared_ptr<ClientWatch> watch)
      : Pool(pool), Plan(std::move(plan)), Message(request),
        Watch(std::move(watch)), Started(Time.now()) {}

  asio::awaitable<ExchangeResult> run() {
    ExchangeResult result;
    if (Plan.FreshConnection)
      Pool.dropIdle(Plan.Server);
    ConnectionPointer link = Pool.takeIdle(Plan.Server, Started);
    if (link) {
      result.End = co_await send(link, result.Answer);
      // A pooled connection that took no byte says nothing of the server.
      if (result.End == AttemptEnd::NotSent && !timeIsUp())
        link = nullptr;
    }
    if (!link)
      result.End = co_await sendAnew(result.Answer);
    result.Latency = Time.now() - Started;
    co_return result;
  }

private:
  base::Duration left() const { return Plan.Timeout - (Time.now() - Started); }
  bool timeIsUp() const { return left().count() <= 0; }

  asio::awaitable<AttemptEnd> sendAnew(Response &answer) {
    ConnectionPointer link = Pool.makeNew();
    link->expireAfter(std::min(left(), ExchangeConnectTimeout));
    {
      GoneGuard guard(Watch, link);
      bool connected = co_await link->connect(Plan.Server);
      if (Watch->Gone)
        co_return AttemptEnd::CallerGone;
      if (!connected)
        co_return AttemptEnd::NotSent;
    }
    co_return co_await send(link, answer);
  }

  asio::awaitable<AttemptEnd> send(ConnectionPointer link, Response &answer) {
    GoneGuard guard(Watch, link);
    link->expireAfter(left());
    link->startWrite(Message, Plan.Lines);
    if (link->writeFailed() && link->bytesTaken() == 0 && !Watch->Gone) {
      link->close();
      co_return AttemptEnd::NotSent;
    }
    // An answer may come before all of the request was taken.
    bool inStep = true;
    for (size_t n = 0; n <= SkippedAnswers; ++n) {
      base::LastReason reason;
      ReadEnd end = co_await link->readResponse(answer, Message.method(),
                                                Plan.AnswerLimits, reason);
      if (end != ReadEnd::Complete)
        co_return fail(link, end);
      AnswerId id = compareId(answer);
      if (id == AnswerId::Own) {
        keepOrClose(link, answer, inStep);
        co_return AttemptEnd::Answered;
      }
      if (id == AnswerId::Missing)
        break;
      inStep = false;
    }
    co_return fail(link, ReadEnd::Refused);
  }

  /// Tells whose answer it is by the id that it repeats.
  AnswerId compareId(const Response &answer) {
    auto sent = Message.find(Plan.IdField);
    if (Plan.IdField.empty() || sent == Message.end())
      return AnswerId::Own;
    auto got = answer.find(Plan.IdField);
    bool isRefusal =
        Plan.ServerIsNode && answer.count(calls::OutcomeHeader) != 0;
    if (got == answer.end())
      return isRefusal || !Pool.repeatsIds(Plan.Server) ? AnswerId::Own
                                                        : AnswerId::Missing;
    Pool.noteRepeatedId(Plan.Server);
    return got->value() == sent->value() ? AnswerId::Own : AnswerId::Other;
  }

  /// A connection is reused only where nothing is due on it in either
  /// direction.
  void keepOrClose(const ConnectionPointer &link, const Response &answer,
                   bool inStep) {
    if (inStep && !link->isWriting() && !link->writeFailed() &&
        !link->hasBufferedInput() && answer.keep_alive() && !answer.need_eof())
      Pool.giveBack(Plan.Server, link, Time.now(), idleTimeOf(answer));
    else
      link->close();
  }

  AttemptEnd fail(const ConnectionPointer &link, ReadEnd end) {
    bool nothingSent = link->bytesTaken() == 0;
    link->close();
    if (Watch->Gone)
      return AttemptEnd::CallerGone;
    if (end == ReadEnd::TimedOut)
      Pool.dropIdle(Plan.Server);
    if (nothingSent)
      return AttemptEnd::NotSent;
    return end == ReadEnd::TimedOut ? AttemptEnd::TimedOut : AttemptEnd::Broken;
  }

  ConnectionPool &Pool;
  base::SystemClock Time;
  ExchangePlan Plan;
  const Request &Message;
  std::shared_ptr<ClientWatch> Watch;
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
