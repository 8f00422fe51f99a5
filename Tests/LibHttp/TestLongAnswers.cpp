#include <LibHttp/TwoNodes.h>

#include <LibHttp/AnswerRest.h>
#include <Mutator.h>

#include <array>
#include <boost/asio/read_until.hpp>
#include <doctest/doctest.h>

using namespace radishcross;
using namespace radishcross::tests;
using namespace std::chrono_literals;
using asio::ip::tcp;
using calls::AttemptEnd;

namespace {

constexpr size_t Window = http::AnswerWindowBytes;
constexpr size_t LongBytes = 7UL << 20;
/// At least what is read of an answer at a time.
constexpr size_t OneRead = 32UL << 10;

enum class Framing : uint8_t { Length, Chunks, EndOfStream };
constexpr Framing Framings[] = {Framing::Length, Framing::Chunks,
                                Framing::EndOfStream};

/// Returns a body in which no two parts are alike.
std::string bodyOf(size_t bytes) {
  std::string out;
  out.reserve(bytes + 8);
  for (size_t n = 0; out.size() < bytes; ++n)
    out += std::to_string(n) + ' ';
  out.resize(bytes);
  return out;
}

/// A target that answers every request with a body of Bytes, of which it sends
/// the first CutAfter.
class LongTarget {
public:
  LongTarget(asio::io_context &context, size_t bytes, Framing framing)
      : Body(bodyOf(bytes)), How(framing),
        Acceptor(context, {asio::ip::make_address("127.0.0.1"), 0}) {
    asio::co_spawn(context, accept(context), asio::detached);
  }
  base::Address address() const {
    return {"127.0.0.1", Acceptor.local_endpoint().port()};
  }

  std::string Body;
  Framing How;
  size_t CutAfter = SIZE_MAX;
  size_t Sent = 0; ///< Bytes of bodies that the kernel has taken.
  size_t Accepted = 0;
  size_t Ended = 0;

private:
  asio::awaitable<void> accept(asio::io_context &context) {
    boost::system::error_code ec;
    while (true) {
      auto socket = co_await Acceptor.async_accept(
          asio::redirect_error(asio::use_awaitable, ec));
      if (ec)
        co_return;
      ++Accepted;
      asio::co_spawn(context, serve(std::move(socket)), asio::detached);
    }
  }

  asio::awaitable<void> serve(tcp::socket socket) {
    boost::system::error_code ec;
    auto done = asio::redirect_error(asio::use_awaitable, ec);
    // So that what is sent is close to what was read.
    socket.set_option(asio::socket_base::send_buffer_size(16 << 10), ec);
    std::string in;
    while (true) {
      size_t n = co_await asio::async_read_until(
          socket, asio::dynamic_buffer(in), "\r\n\r\n", done);
      if (ec)
        break;
      in.erase(0, n);
      std::string head = "HTTP/1.1 200 OK\r\n";
      if (How == Framing::Length)
        head += "Content-Length: " + std::to_string(Body.size()) + "\r\n";
      if (How == Framing::Chunks)
        head += "Transfer-Encoding: chunked\r\n";
      co_await asio::async_write(socket, asio::buffer(head + "\r\n"), done);
      const size_t end = std::min(Body.size(), CutAfter);
      for (size_t at = 0; at < end && !ec;) {
        const auto part = std::string_view(Body).substr(
            at, std::min<size_t>(16UL << 10, end - at));
        co_await asio::async_write(socket, asio::buffer(framed(part)), done);
        at += part.size();
        Sent += ec ? 0 : part.size();
      }
      if (How == Framing::Chunks && end == Body.size())
        co_await asio::async_write(
            socket, asio::buffer(std::string_view("0\r\n\r\n")), done);
      if (ec || How == Framing::EndOfStream || end < Body.size())
        break;
    }
    // A cut answer ends with a reset, as a clean end would complete one without
    // a length.
    if (CutAfter < Body.size())
      socket.set_option(asio::socket_base::linger(true, 0), ec);
    socket.close(ec);
    ++Ended;
  }

  std::string framed(std::string_view part) const {
    if (How != Framing::Chunks)
      return std::string(part);
    std::array<char, 16> size{};
    std::snprintf(size.data(), size.size(), "%zx\r\n", part.size());
    return size.data() + std::string(part) + "\r\n";
  }

  tcp::acceptor Acceptor;
};

/// What a client got of one answer.
struct Got {
  http::ReadStatus End = http::ReadStatus::Closed;
  http::Response Answer;
};

/// Long answers through one node or two.
struct Path {
  explicit Path(size_t bytes = LongBytes, Framing framing = Framing::Length,
                bool isFar = true)
      : Target(Mesh.Context, bytes, framing) {
    Mesh.route(Target.address());
    if (isFar)
      return;
    Mesh.Near.Local = Mesh.Far.Local;
    Mesh.Near.sendTo(Mesh.Near, "near", *Mesh.Far.Local);
  }

  /// Asks for the answer over a new connection, of which the client's kernel
  /// holds little.
  std::shared_ptr<http::Connection> ask(unsigned version = 11) {
    tcp::socket socket(Mesh.Context);
    socket.open(tcp::v4());
    socket.set_option(asio::socket_base::receive_buffer_size(4 << 10));
    const auto at = Mesh.Near.Proxy->callsAddress();
    socket.connect({asio::ip::make_address(at.Host), at.Port});
    const std::string request = "GET /long HTTP/1." +
                                std::to_string(version - 10) +
                                "\r\nHost: a\r\n\r\n";
    asio::write(socket, asio::buffer(request));
    return std::make_shared<http::Connection>(std::move(socket));
  }

  Got readAll(std::shared_ptr<http::Connection> client) {
    return await(Mesh.Context, read(std::move(client)));
  }

  /// Runs until nothing more is sent.
  void settle() {
    for (size_t before = SIZE_MAX; before != Target.Sent;) {
      before = Target.Sent;
      Mesh.Context.restart();
      Mesh.Context.run_for(100ms);
    }
  }

  static asio::awaitable<Got> read(std::shared_ptr<http::Connection> client) {
    Got out;
    base::LastReason reason;
    client->expireAfter(15s);
    const http::MessageLimits limits{32UL << 10, 16UL << 20};
    out.End = co_await client->readResponse(out.Answer, bh::verb::get, limits,
                                            reason);
    co_return out;
  }

  TwoNodes Mesh;
  LongTarget Target;
};

/// Reads one response from a server that sends \p text and closes; returns its
/// status and body, or nothing if it is not whole.
std::optional<std::string> readFrom(asio::io_context &context,
                                    const std::string &text, size_t window) {
  tcp::acceptor acceptor(context, {asio::ip::make_address("127.0.0.1"), 0});
  tcp::socket server(context);
  server.connect(acceptor.local_endpoint());
  auto client = std::make_shared<http::Connection>(acceptor.accept());
  asio::write(server, asio::buffer(text));
  server.shutdown(tcp::socket::shutdown_send);
  auto read = [&]() -> asio::awaitable<std::optional<std::string>> {
    http::Response response;
    base::LastReason reason;
    const http::MessageLimits limits{16UL << 10, 1UL << 20, window};
    auto end =
        co_await client->readResponse(response, bh::verb::get, limits, reason);
    if (end != http::ReadStatus::Complete)
      co_return std::nullopt;
    // Trailers are fields of a whole response only.
    std::string out =
        std::to_string(response.result_int()) + ' ' + response.body();
    std::string part;
    if (response.Rest)
      response.Rest->setTimeout(5s);
    while (response.Rest && !response.Rest->isWhole()) {
      if (!co_await response.Rest->read(part))
        co_return std::nullopt;
      out += part;
    }
    co_return out;
  };
  return await(context, read());
}

} // namespace

TEST_CASE("a mutated response is the same read part by part as at once") {
  constexpr int Mutants = 3000;
  const std::string body = bodyOf(5000);
  const std::string sound[] = {
      "HTTP/1.1 200 OK\r\nContent-Length: 5000\r\n\r\n" + body,
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5DC;a=b\r\n" +
          body.substr(0, 1500) + "\r\ndac\r\n" + body.substr(1500) +
          "\r\n0\r\nX-T: u\r\n\r\n",
      "HTTP/1.1 200 OK\r\nETag: a\r\n\r\n" + body};
  asio::io_context context{1};
  test::Mutator mutator(47, test::MessageTokens);
  int accepted = 0;
  for (int i = 0; i < Mutants; ++i) {
    const auto &whole = sound[static_cast<size_t>(i) % std::size(sound)];
    // Changes in the body would mostly show nothing.
    auto text = i % 2 == 0
                    ? mutator.bytes(whole)
                    : mutator.bytes(whole.substr(0, 80)) + whole.substr(80);
    INFO("mutant " << i);
    auto atOnce = readFrom(context, text, SIZE_MAX);
    REQUIRE(readFrom(context, text, 64) == atOnce);
    accepted += atOnce ? 1 : 0;
  }
  CHECK(accepted > Mutants / 10);
  CHECK(accepted < Mutants * 9 / 10);
}

TEST_CASE("answers of any length and framing arrive whole") {
  for (Framing framing : Framings)
    for (bool isFar : {false, true})
      for (size_t bytes : {size_t{0}, size_t{1}, Window - 1, Window, Window + 1,
                           Window + 2 * OneRead, LongBytes}) {
        INFO(bytes << ' ' << isFar << ' ' << static_cast<int>(framing));
        Path it(bytes, framing, isFar);
        auto got = it.readAll(it.ask());
        REQUIRE(got.End == http::ReadStatus::Complete);
        CHECK(got.Answer.result_int() == 200);
        CHECK(got.Answer.body() == it.Target.Body);
        // Only where the end is not known before it is there. Near the window
        // it depends on how much is read at a time.
        if (bytes < Window || bytes > Window + OneRead)
          CHECK(got.Answer.chunked() ==
                (bytes > Window && framing != Framing::Length));
      }
}

TEST_CASE("a reader that has stopped holds a window of its answer, and its "
          "slot until the end") {
  for (Framing framing : Framings)
    for (bool isFar : {false, true}) {
      INFO(isFar << ' ' << static_cast<int>(framing));
      Path it(LongBytes, framing, isFar);
      auto &gate = isFar ? it.Mesh.Far.Gate : it.Mesh.Near.Gate;
      auto client = it.ask();
      it.settle();
      // Besides the windows what the kernel's buffers hold.
      CHECK(it.Target.Sent < LongBytes / 2);
      CHECK(gate.Running == 1);
      CHECK(gate.Results.empty());
      auto got = it.readAll(client);
      REQUIRE(got.End == http::ReadStatus::Complete);
      CHECK(got.Answer.body() == it.Target.Body);
      runUntil(it.Mesh.Context, [&] { return gate.Running == 0; });
      REQUIRE(gate.Results.size() == 1);
      CHECK(gate.Results.front().End == AttemptEnd::Answered);
      CHECK(gate.Results.front().AwaitedReader > 100ms);
    }
}

TEST_CASE("a long answer that breaks off looks broken off, and the call is not "
          "repeated") {
  for (Framing framing : Framings)
    for (bool isFar : {false, true})
      for (size_t cut : {Window / 2, Window + 2 * OneRead, LongBytes - 1}) {
        INFO(cut << ' ' << isFar << ' ' << static_cast<int>(framing));
        Path it(LongBytes, framing, isFar);
        it.Target.CutAfter = cut;
        auto got = it.readAll(it.ask());
        // A short one is not passed on at all.
        const bool isPassedOn = cut > Window;
        CHECK((got.End == http::ReadStatus::Complete) == !isPassedOn);
        if (!isPassedOn)
          CHECK(got.Answer.result_int() == 502);
        REQUIRE(it.Mesh.Near.Broker.Results.size() == 1);
        CHECK((it.Mesh.Near.Broker.Results.front().End ==
               AttemptEnd::Answered) == isPassedOn);
        CHECK(it.Target.Accepted == 1);
        // The gate is told what became of it.
        auto &gate = isFar ? it.Mesh.Far.Gate : it.Mesh.Near.Gate;
        REQUIRE(gate.Results.size() == 1);
        CHECK(gate.Results.front().End == AttemptEnd::Broken);
      }
}

TEST_CASE("a client of HTTP/1.0 gets a long answer with its length, or none") {
  for (Framing framing : Framings)
    for (size_t cut : {SIZE_MAX, LongBytes - 1}) {
      INFO(cut << ' ' << static_cast<int>(framing));
      Path it(LongBytes, framing);
      it.Target.CutAfter = cut;
      auto got = it.readAll(it.ask(10));
      if (framing == Framing::Length && cut != SIZE_MAX) {
        CHECK(got.End == http::ReadStatus::Truncated);
        continue;
      }
      REQUIRE(got.End == http::ReadStatus::Complete);
      CHECK_FALSE(got.Answer.chunked());
      CHECK(got.Answer.count(bh::field::content_length) == 1);
      CHECK(got.Answer.result_int() == (cut == SIZE_MAX ? 200 : 502));
      if (cut == SIZE_MAX)
        CHECK(got.Answer.body() == it.Target.Body);
    }
}

TEST_CASE("an answer that is stored for repeats is whole before it is passed "
          "on") {
  for (bool isFar : {false, true})
    for (size_t cut : {SIZE_MAX, LongBytes - 1}) {
      INFO(cut << ' ' << isFar);
      Path it(LongBytes, Framing::Length, isFar);
      it.Mesh.Near.Broker.First.StoreAnswer = true;
      it.Target.CutAfter = cut;
      auto got = it.readAll(it.ask());
      REQUIRE(got.End == http::ReadStatus::Complete);
      CHECK(got.Answer.result_int() == (cut == SIZE_MAX ? 200 : 502));
      CHECK(it.Mesh.Near.Broker.Kept.ends_with(it.Target.Body) ==
            (cut == SIZE_MAX));
    }
}

TEST_CASE("a target learns that the reader of a long answer has left") {
  for (bool isFar : {false, true}) {
    INFO(isFar);
    Path it(LongBytes, Framing::Length, isFar);
    auto &gate = isFar ? it.Mesh.Far.Gate : it.Mesh.Near.Gate;
    auto client = it.ask();
    it.settle();
    REQUIRE(it.Target.Ended == 0);
    client->close();
    runUntil(it.Mesh.Context, [&] { return it.Target.Ended == 1; });
    runUntil(it.Mesh.Context, [&] { return gate.Running == 0; });
    REQUIRE(gate.Results.size() == 1);
    CHECK(gate.Results.front().End == AttemptEnd::CallerGone);
  }
}

TEST_CASE("a reader that has stopped gives its slot to a call that waits") {
  for (bool isFar : {false, true}) {
    INFO(isFar);
    Path it(LongBytes, Framing::Length, isFar);
    auto &gate = isFar ? it.Mesh.Far.Gate : it.Mesh.Near.Gate;
    auto stopped = it.ask();
    it.settle();
    it.Mesh.Context.restart();
    it.Mesh.Context.run_for(http::MemoryAccount::StallTime);
    // Nobody wants the slot.
    CHECK(it.Target.Ended == 0);
    gate.Kind = admission::GateAnswer::Kind::Queued;
    auto waiting = it.ask();
    runUntil(it.Mesh.Context, [&] { return it.Target.Ended == 1; });
    runUntil(it.Mesh.Context, [&] { return gate.Running == 0; });
    auto got = it.readAll(stopped);
    CHECK(got.End != http::ReadStatus::Complete);
  }
}

TEST_CASE("connections are used again after a long answer") {
  for (bool isFar : {false, true}) {
    Path it(LongBytes, Framing::Length, isFar);
    for (int n = 0; n < 3; ++n)
      REQUIRE(it.readAll(it.ask()).Answer.body() == it.Target.Body);
    CHECK(it.Target.Accepted == 1);
  }
}
