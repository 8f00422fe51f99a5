#include <LibHttp/TwoNodes.h>

#include <LibHttp/ConnectionPool.h>
#include <LibHttp/Exchange.h>

#include <algorithm>
#include <doctest/doctest.h>

using namespace radishcross;
using namespace radishcross::tests;
using namespace std::chrono_literals;
using calls::AttemptEnd;

namespace {

const calls::CallHeaders Names;

/// Last byte of the body of each request.
constexpr char BodyEnd = '.';

/// One step of a target on one connection.
struct Step {
  enum class Kind : uint8_t {
    Read,     ///< Read the rest of a request.
    ReadPart, ///< Read the first bytes of a request.
    Write,
    Pause, ///< Let what was written arrive.
  };
  Kind What = Kind::Read;
  std::string Text = {};
};
using Steps = std::vector<Step>;

const Step Reads{Step::Kind::Read};
const Step ReadsPart{Step::Kind::ReadPart};
const Step Pauses{Step::Kind::Pause};
Step writes(std::string text) { return {Step::Kind::Write, std::move(text)}; }

/// Returns header lines with a request id, or none if it is empty.
std::string idLine(const std::string &id) {
  return id.empty() ? "" : Names.RequestId + ": " + id + "\r\n";
}

std::string refusalWith(const std::string &lines,
                        const std::string &status = "503") {
  return "HTTP/1.1 " + status + " Refused\r\n" + Names.NotRun + ": 1\r\n" +
         lines + "Content-Length: 4\r\n\r\nbusy";
}

std::string refusalOf(const std::string &id) { return refusalWith(idLine(id)); }

std::string answerTo(const std::string &id) {
  return "HTTP/1.1 200 OK\r\n" + idLine(id) + "Content-Length: 4\r\n\r\ndone";
}

/// A target that follows one script for each connection, in order, then leaves
/// the connection open.
class ScriptedTarget {
public:
  ScriptedTarget(asio::io_context &context, std::vector<Steps> scripts)
      : Acceptor(context, {asio::ip::make_address("127.0.0.1"), 0}),
        Scripts(std::move(scripts)) {
    asio::co_spawn(context, accept(context), asio::detached);
  }
  base::Address address() const {
    return {"127.0.0.1", Acceptor.local_endpoint().port()};
  }

  size_t Accepted = 0;
  size_t Finished = 0; ///< Connections whose script has been followed.

private:
  asio::awaitable<void> accept(asio::io_context &context) {
    boost::system::error_code ec;
    while (Accepted < Scripts.size()) {
      auto socket = co_await Acceptor.async_accept(
          asio::redirect_error(asio::use_awaitable, ec));
      if (ec)
        co_return;
      asio::co_spawn(context, serve(std::move(socket), Scripts[Accepted++]),
                     asio::detached);
    }
  }

  asio::awaitable<void> serve(asio::ip::tcp::socket socket,
                              const Steps &steps) {
    boost::system::error_code ec;
    std::string buf(4096, ' ');
    asio::steady_timer pause(socket.get_executor());
    for (const Step &it : steps) {
      bool isWhole = it.What == Step::Kind::Write;
      while (!ec && !isWhole && it.What != Step::Kind::Pause) {
        size_t n = co_await socket.async_read_some(
            asio::buffer(buf), asio::redirect_error(asio::use_awaitable, ec));
        isWhole =
            it.What == Step::Kind::ReadPart || (n > 0 && buf[n - 1] == BodyEnd);
      }
      if (it.What == Step::Kind::Write)
        co_await asio::async_write(
            socket, asio::buffer(it.Text),
            asio::redirect_error(asio::use_awaitable, ec));
      pause.expires_after(5ms);
      if (it.What == Step::Kind::Pause)
        co_await pause.async_wait(
            asio::redirect_error(asio::use_awaitable, ec));
      if (ec)
        co_return;
    }
    ++Finished;
    Open.push_back(std::move(socket));
  }

  asio::ip::tcp::acceptor Acceptor;
  std::vector<Steps> Scripts;
  std::vector<asio::ip::tcp::socket> Open;
};

http::Request requestWith(const std::string &id, size_t bodyBytes = 0) {
  http::Request request(bh::verb::post, "/pay", 11);
  if (!id.empty())
    request.set(Names.RequestId, id);
  request.body() = std::string(bodyBytes, 'x') + BodyEnd;
  request.prepare_payload();
  return request;
}

/// Sends requests from one pool to a scripted target.
struct Sender {
  explicit Sender(std::vector<Steps> scripts)
      : Target(Context, std::move(scripts)) {}

  http::ExchangeResult send(const std::string &id, size_t bodyBytes = 0,
                            std::shared_ptr<http::ClientWatch> watch =
                                std::make_shared<http::ClientWatch>()) {
    http::ExchangePlan plan;
    plan.Server = Target.address();
    plan.Timeout = 5s;
    plan.IdField = Names.RequestId;
    plan.ServerIsNode = IsNode;
    auto request = requestWith(id, bodyBytes);
    return await(Context,
                 http::exchange(Pool, plan, request, std::move(watch)));
  }

  asio::io_context Context{1};
  ScriptedTarget Target;
  http::ConnectionPool Pool{Context};
  bool IsNode = false;
};

/// Sends a call from the near node's caller.
std::optional<http::Response> call(TwoNodes &mesh, const std::string &id) {
  return fetchFrom(mesh.Context, mesh.Near.Proxy->callsAddress(),
                   requestWith(id));
}

} // namespace

TEST_CASE("an earlier request's refusal is never the answer to a later one") {
  constexpr size_t LongBodyBytes = 8UL << 20;
  struct Row {
    std::string What;
    Steps Then; ///< After the refusal of request "a".
    AttemptEnd End = AttemptEnd::Answered;
    size_t BodyBytes = 0;
  };
  const std::string again = refusalOf("a");
  const std::string id = Names.RequestId;
  const Row rows[] = {
      {"whole", {Reads, writes(again + answerTo("b"))}},
      {"by itself, then the answer",
       {Reads, writes(again), Pauses, writes(answerTo("b"))}},
      {"in two pieces",
       {Reads, writes(again.substr(0, 30)), Pauses,
        writes(again.substr(30) + answerTo("b"))}},
      {"cut within its body",
       {Reads, writes(again.substr(0, again.size() - 2)), Pauses,
        writes(again.substr(again.size() - 2) + answerTo("b"))}},
      {"between the head and the body of the next request",
       {ReadsPart, writes(again), Reads, writes(answerTo("b"))},
       AttemptEnd::Answered,
       LongBodyBytes},
      {"behind an informational response",
       {Reads, writes("HTTP/1.1 103 Hints\r\n\r\n" + again + answerTo("b"))}},
      {"with status 421",
       {Reads, writes(refusalWith(idLine("a"), "421") + answerTo("b"))}},
      {"with status 421 and no id",
       {Reads, writes(refusalWith("", "421"))},
       AttemptEnd::Broken},
      {"without an id", {Reads, writes(refusalOf(""))}, AttemptEnd::Broken},
      {"with an empty id",
       {Reads, writes(refusalWith(id + ":\r\n")), Pauses,
        writes(answerTo("b"))}},
      {"with a name in another case",
       {Reads, writes(refusalWith("x-request-ID: a\r\n") + answerTo("b"))}},
      {"with spaces around the id",
       {Reads, writes(refusalWith(id + ":  \ta \r\n") + answerTo("b"))}},
      {"with a space before the colon",
       {Reads, writes(refusalWith(id + " : b\r\n"))},
       AttemptEnd::Broken},
      {"with its id twice",
       {Reads, writes(refusalWith(idLine("a") + idLine("a")) + answerTo("b"))}},
      {"with both ids, its own first",
       {Reads, writes(refusalWith(idLine("a") + idLine("b")) + answerTo("b"))}},
      {"with both ids, its own last",
       {Reads, writes(refusalWith(idLine("b") + idLine("a")) + answerTo("b"))}},
      {"with both ids in one field",
       {Reads, writes(refusalWith(id + ": b, a\r\n") + answerTo("b"))}},
      {"with the later id in another case",
       {Reads, writes(refusalOf("B") + answerTo("b"))}},
      {"three times",
       {Reads, writes(again + again + again + answerTo("b"))},
       AttemptEnd::Broken},
  };
  for (const Row &row : rows) {
    CAPTURE(row.What);
    Steps steps = {Reads, writes(refusalOf("a"))};
    steps.insert(steps.end(), row.Then.begin(), row.Then.end());
    Sender sender({steps});
    CHECK(sender.send("a").HttpResponse.result_int() == 503);
    CHECK(sender.Pool.idleCount() == 1);
    auto second = sender.send("b", row.BodyBytes);
    CHECK(sender.Target.Accepted == 1);
    CHECK(second.End == row.End);
    if (row.End == AttemptEnd::Answered)
      CHECK(second.HttpResponse.body() == "done");
    CHECK(sender.Pool.idleCount() == 0);
  }
}

TEST_CASE("a refusal that arrives on an idle connection closes it") {
  Sender sender({{Reads, writes(refusalOf("a")), Pauses,
                  writes(refusalOf("a").substr(0, 20))},
                 {Reads, writes(answerTo("b"))}});
  CHECK(sender.send("a").End == AttemptEnd::Answered);
  runUntil(sender.Context, [&] { return sender.Target.Finished == 1; });
  CHECK(sender.send("b").HttpResponse.body() == "done");
  CHECK(sender.Target.Accepted == 2);
}

TEST_CASE("a connection that brought a refusal without an id is not reused") {
  for (const std::string next : {"b", ""}) {
    CAPTURE(next);
    Sender sender({{Reads, writes(refusalOf("")), Reads, writes(refusalOf(""))},
                   {Reads, writes(answerTo(next))}});
    CHECK(sender.send("").HttpResponse.result_int() == 503);
    CHECK(sender.send(next).HttpResponse.body() == "done");
    CHECK(sender.Target.Accepted == 2);
  }
}

TEST_CASE("a refused request is not sent again over the same connection") {
  Sender sender({{Reads, writes(refusalOf("a")), Reads,
                  writes(refusalOf("a") + answerTo("a"))},
                 {Reads, writes(answerTo("a")), Reads, writes(answerTo("b"))}});
  CHECK(sender.send("a").HttpResponse.result_int() == 503);
  CHECK(sender.send("a").HttpResponse.body() == "done");
  CHECK(sender.Target.Accepted == 2);
  // Other requests still use both connections.
  CHECK(sender.Pool.idleCount() == 2);
  CHECK(sender.send("b").HttpResponse.body() == "done");
  CHECK(sender.Target.Accepted == 2);
}

TEST_CASE("a refusal of an identified request is not the answer to one without "
          "an id") {
  Sender sender({{Reads, writes(refusalOf("a")), Reads,
                  writes(refusalOf("a") + answerTo(""))}});
  CHECK(sender.send("a").HttpResponse.result_int() == 503);
  CHECK(sender.send("").HttpResponse.body() == "done");
  CHECK(sender.Pool.idleCount() == 0);
}

TEST_CASE("a connection that brought many refusals is not reused") {
  constexpr size_t Refusals = http::RefusalHistory::MaximumRefusals;
  Steps refuses;
  for (size_t n = 0; n < Refusals; ++n)
    refuses.insert(refuses.end(),
                   {Reads, writes(refusalOf(std::to_string(n)))});
  Sender sender({refuses, {Reads, writes(answerTo("b"))}});
  for (size_t n = 0; n < Refusals; ++n) {
    CHECK(sender.send(std::to_string(n)).End == AttemptEnd::Answered);
    CHECK(sender.Target.Accepted == 1);
  }
  CHECK(sender.Pool.idleCount() == 0);
  CHECK(sender.send("b").HttpResponse.body() == "done");
}

TEST_CASE("a copied refusal without an id is refused although its server is "
          "not remembered") {
  Sender sender(
      {{Reads, writes(refusalOf("a")), Reads, writes(refusalOf(""))}});
  CHECK(sender.send("a").HttpResponse.result_int() == 503);
  // The pool forgets which servers echo ids when there are too many.
  for (uint16_t port = 1; sender.Pool.echoesIds(sender.Target.address());
       ++port)
    sender.Pool.noteEchoedId({"192.0.2.1", port});
  CHECK(sender.send("b").End == AttemptEnd::Broken);
}

TEST_CASE("the refusal of a cancelled request finds no connection") {
  Sender sender({{Reads, Pauses, writes(refusalOf("a"))},
                 {Reads, writes(answerTo("b"))}});
  auto watch = std::make_shared<http::ClientWatch>();
  asio::steady_timer later(sender.Context, 1ms);
  later.async_wait([watch](auto) { watch->clientDisconnected(); });
  CHECK(sender.send("a", 0, watch).End == AttemptEnd::CallerGone);
  CHECK(sender.Pool.idleCount() == 0);
  CHECK(sender.send("b").HttpResponse.body() == "done");
  CHECK(sender.Target.Accepted == 2);
}

TEST_CASE("a request that a node has refused is sent again over the same "
          "connection") {
  Sender sender(
      {{Reads, writes(refusalOf("a")), Reads, writes(answerTo("a"))}});
  sender.IsNode = true;
  CHECK(sender.send("a").HttpResponse.result_int() == 503);
  CHECK(sender.send("a").HttpResponse.body() == "done");
  CHECK(sender.Target.Accepted == 1);
}

TEST_CASE("a call is not told as not run by a refusal of an earlier call") {
  const std::string signals =
      Names.RateLimit + ": 1\r\n" + Names.Leaving + ": 1\r\n" + idLine("a");
  TwoNodes mesh;
  ScriptedTarget target(mesh.Context, {{Reads, writes(refusalOf("a")), Reads,
                                        writes(refusalWith(signals)), Pauses,
                                        writes(refusalWith(signals)), Pauses,
                                        writes(refusalWith(signals))}});
  mesh.route(target.address());
  auto response = call(mesh, "a");
  REQUIRE(response);
  CHECK(response->result_int() == 503);
  response = call(mesh, "b");
  REQUIRE(response);
  CHECK(response->result_int() == 502);
  CHECK((*response)[calls::OutcomeHeader] == "unknown");
  CHECK(target.Accepted == 1);
  const auto &ended = mesh.Near.Broker.Results;
  REQUIRE(ended.size() == 2);
  CHECK(ended[0].End == AttemptEnd::RefusedNotRun);
  CHECK(ended[1].End == AttemptEnd::Broken);
  CHECK_FALSE(ended[1].Signals);
  REQUIRE(mesh.Far.Gate.Signals.size() == 1);
  CHECK_FALSE(mesh.Far.Gate.Signals[0].RateLimit);
  CHECK(mesh.Far.Leaving.empty());
}

TEST_CASE("a call is not told as not run by a refusal of a request without an "
          "id") {
  for (const std::string status : {"400", "503"}) {
    CAPTURE(status);
    const std::string refusal = refusalWith("", status);
    TwoNodes mesh;
    ScriptedTarget target(mesh.Context,
                          {{Reads, writes(refusal), Reads, writes(refusal)},
                           {Reads, writes(answerTo("b"))}});
    mesh.route(target.address());
    REQUIRE(call(mesh, ""));
    CHECK(mesh.Near.Broker.Results[0].End == AttemptEnd::RefusedNotRun);
    auto response = call(mesh, "b");
    REQUIRE(response);
    CHECK(response->result_int() == 200);
  }
}

TEST_CASE("a further attempt at a target that refused the call is not ended by "
          "that refusal") {
  TwoNodes mesh;
  ScriptedTarget target(mesh.Context, {{Reads, writes(refusalOf("a")), Reads,
                                        writes(refusalOf("a") + answerTo("a"))},
                                       {Reads, writes(answerTo("a"))}});
  mesh.route(target.address());
  mesh.Near.Broker.Next = {mesh.Near.Broker.First};
  auto response = call(mesh, "a");
  REQUIRE(response);
  CHECK(response->result_int() == 200);
  CHECK(response->body() == "done");
  REQUIRE(mesh.Near.Broker.Results.size() == 2);
  CHECK(mesh.Near.Broker.Results[0].End == AttemptEnd::RefusedNotRun);
  CHECK(mesh.Near.Broker.Results[1].End == AttemptEnd::Answered);
}
