#include <LibHttp/Exchange.h>

namespace radishcross::http {

namespace {

namespace asio = boost::asio;
using calls::AttemptEnd;

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
    link->expireAfter(left());
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
    bool written = co_await link->write(Message, Plan.Lines);
    if (!written && link->bytesTaken() == 0 && !Watch->Gone) {
      link->close();
      co_return AttemptEnd::NotSent;
    }
    // An answer may have come before all of the request was taken.
    base::LastReason reason;
    ReadEnd end = co_await link->readResponse(answer, Message.method(),
                                              Plan.AnswerLimits, reason);
    co_return conclude(link, answer, end, written);
  }

  AttemptEnd conclude(const ConnectionPointer &link, const Response &answer,
                      ReadEnd end, bool written) {
    if (end == ReadEnd::Complete) {
      // Bytes beyond the answer are noticed when the connection is taken.
      if (written && answer.keep_alive())
        Pool.giveBack(Plan.Server, link, Time.now());
      else
        link->close();
      return AttemptEnd::Answered;
    }
    link->close();
    if (Watch->Gone)
      return AttemptEnd::CallerGone;
    if (end != ReadEnd::TimedOut)
      return AttemptEnd::Broken;
    Pool.dropIdle(Plan.Server);
    return AttemptEnd::TimedOut;
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
