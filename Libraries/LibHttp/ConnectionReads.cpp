#include <LibHttp/Connection.h>

#include <LibHttp/AnswerRest.h>
#include <LibHttp/Framing.h>

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>
#include <cstdint>
#include <memory>
#include <utility>

namespace radishcross::http {

namespace {

namespace asio = boost::asio;
namespace bh = boost::beast::http;
using boost::system::error_code;

/// Most messages fit; an idle connection keeps no larger read buffer than this.
constexpr size_t FirstReadBytes = 2UL << 10;
constexpr size_t MinReservedBytes = 512UL << 10;
constexpr unsigned FirstFinalStatus = 200;
constexpr std::string_view HeadEnd = "\r\n\r\n";
constexpr std::string_view ContinueLine = "HTTP/1.1 100 Continue\r\n\r\n";

base::ResultCode codeOf(const error_code &ec) {
  if (ec == bh::error::body_limit)
    return base::ResultCode::BodyTooLarge;
  if (ec == bh::error::header_limit)
    return base::ResultCode::HeadersTooLarge;
  return base::ResultCode::BadRequest;
}

/// The parser's own limit has 32 bits.
uint32_t headerLimit(const MessageLimits &limits) {
  return static_cast<uint32_t>(
      std::min<size_t>(limits.HeaderBytes, UINT32_MAX));
}

size_t countFields(const bh::fields &fields) {
  return static_cast<size_t>(std::distance(fields.begin(), fields.end()));
}

} // namespace

std::string_view Connection::buffered() const {
  auto data = Buffer.cdata();
  return {static_cast<const char *>(data.data()), data.size()};
}

/// Frees the read buffer of a large message once it is empty.
void Connection::shrinkReadBuffer() {
  if (Buffer.size() == 0 && Buffer.capacity() > FirstReadBytes)
    Buffer.shrink_to_fit();
}

ReadStatus Connection::refuseForMemory(base::LastReason &reason) {
  ReadHold.release();
  reason.fail(base::ResultCode::MemoryShort,
              "the node has no memory for the message");
  return ReadStatus::Refused;
}

/// Counts what \p parser holds so far.
template <typename Parser> bool Connection::mayHold(const Parser &parser) {
  size_t bytes = parser.get().body().size() + Buffer.capacity();
  ReadHold.progressed(bytes);
  return !ReadGaveWay && ReadHold.claim(bytes);
}

/// Reserves the address space for a body of up to \p bytes whose length is not
/// known, once it is large: growing step by step would hold it twice. Pages of
/// it exist only when they are written.
template <typename Parser>
void Connection::reserveBody(Parser &parser, size_t bytes) {
  auto &body = parser.get().body();
  if (body.size() >= MinReservedBytes && body.capacity() < bytes &&
      !parser.content_length())
    body.reserve(bytes);
}

asio::awaitable<ReadStatus> Connection::readSome(size_t chunk) {
  if (Expired)
    co_return ReadStatus::TimedOut;
  // The end of the stream is reported only once; another read would block.
  if (ReachedEof)
    co_return ReadStatus::Truncated;
  error_code ec;
  size_t n = co_await Socket.async_read_some(
      Buffer.prepare(chunk), asio::redirect_error(asio::use_awaitable, ec));
  Buffer.commit(n);
  BytesReceived += n;
  if (n > 0)
    LastReceivedAt = base::SystemClock().now();
  ReachedEof = ec == asio::error::eof;
  if (!ec)
    co_return ReadStatus::Complete;
  co_return Expired ? ReadStatus::TimedOut : ReadStatus::Truncated;
}

asio::awaitable<ReadStatus> Connection::awaitFirstByte() {
  if (Buffer.size() > 0)
    co_return ReadStatus::Complete;
  ReadStatus end = co_await readSome(FirstReadBytes);
  // Bytes that arrived before the event loop ran the timer count as in time.
  if (end == ReadStatus::TimedOut && hasPendingInput()) {
    Expired = false;
    end = co_await readSome(FirstReadBytes);
  }
  co_return end == ReadStatus::Truncated ? ReadStatus::Closed : end;
}

asio::awaitable<ReadStatus> Connection::readHead(size_t maximum, size_t &size,
                                                 base::LastReason &reason) {
  size_t scanned = 0;
  while (true) {
    std::string_view data = buffered();
    size_t from = scanned < HeadEnd.size() ? 0 : scanned - HeadEnd.size() + 1;
    size_t end = data.find(HeadEnd, from);
    size = end == std::string_view::npos ? data.size() : end + HeadEnd.size();
    if (size > maximum) {
      reason.fail(base::ResultCode::HeadersTooLarge,
                  "the message head exceeds " + std::to_string(maximum) +
                      " bytes");
      co_return ReadStatus::Refused;
    }
    // A bare LF would never end the head, so it is refused before more input is
    // awaited.
    size_t line = data.substr(0, size).find('\n');
    if (line != std::string_view::npos &&
        (line == 0 || data[line - 1] != '\r')) {
      reason.fail(base::ResultCode::BadRequest, "bare LF in the message head");
      co_return ReadStatus::Refused;
    }
    if (end != std::string_view::npos)
      break;
    scanned = data.size();
    ReadStatus got =
        co_await readSome(Buffer.size() == 0 ? FirstReadBytes : ReadChunkBytes);
    if (got != ReadStatus::Complete)
      co_return got == ReadStatus::Truncated &&scanned == 0 ? ReadStatus::Closed
                                                            : got;
  }
  co_return checkRawHead(buffered().substr(0, size), reason)
      ? ReadStatus::Complete
      : ReadStatus::Refused;
}

template <typename Parser>
asio::awaitable<ReadStatus>
Connection::readBody(Parser &parser, size_t lineBytes, base::LastReason &reason,
                     size_t windowBytes, size_t chunk, size_t maximumBytes) {
  parser.eager(true);
  while (!parser.is_done()) {
    error_code ec;
    if (Buffer.size() > 0)
      Buffer.consume(parser.put(Buffer.cdata(), ec));
    if (!mayHold(parser))
      co_return refuseForMemory(reason);
    reserveBody(parser, maximumBytes);
    if (ec && ec != bh::error::need_more) {
      reason.fail(codeOf(ec), "cannot parse the body: " + ec.message());
      co_return ReadStatus::Refused;
    }
    if (parser.is_done() ||
        (parser.get().body().size() >= windowBytes && !Writing))
      break;
    if (!ec && Buffer.size() > 0)
      continue;
    // The parser leaves incomplete elements in the buffer: a chunk header or
    // trailers.
    if (Buffer.size() > lineBytes) {
      reason.fail(base::ResultCode::HeadersTooLarge,
                  "a chunk header or trailer exceeds " +
                      std::to_string(lineBytes) + " bytes");
      co_return ReadStatus::Refused;
    }
    ReadStatus got = co_await readSome(chunk);
    if (ReadGaveWay)
      co_return refuseForMemory(reason);
    if (got == ReadStatus::Truncated && reachedCleanEof() && parser.need_eof())
      parser.put_eof(ec);
    if (got != ReadStatus::Complete)
      co_return parser.is_done() ? ReadStatus::Complete : got;
  }
  co_return ReadStatus::Complete;
}

asio::awaitable<ReadStatus> Connection::readRequest(Request &request,
                                                    const MessageLimits &limits,
                                                    bool mayContinue,
                                                    base::LastReason &reason) {
  size_t size = 0;
  ReadStatus end = co_await readHead(limits.HeaderBytes, size, reason);
  if (end != ReadStatus::Complete)
    co_return end;
  bh::request_parser<bh::string_body> parser;
  parser.header_limit(headerLimit(limits));
  parser.body_limit(limits.BodyBytes);
  error_code ec;
  size_t used = parser.put(asio::buffer(Buffer.cdata(), size), ec);
  if (ec || !parser.is_header_done()) {
    reason.fail(codeOf(ec), "cannot parse the request head: " + ec.message());
    co_return ReadStatus::Refused;
  }
  Buffer.consume(used);
  if (!checkRequestHead(parser.get(), reason))
    co_return ReadStatus::Refused;
  ReadGaveWay = false;
  size_t announced = parser.content_length().value_or(0);
  if (Ledger && (!parser.is_done() || size > MinCountedBytes)) {
    if (!Ledger->admits(announced))
      co_return refuseForMemory(reason);
    ReadHold =
        MemoryHold(Ledger, HoldKind::Arriving, [this] { stopReading(); });
    if (!mayHold(parser))
      co_return refuseForMemory(reason);
  }
  if (!parser.is_done()) {
    if (mayContinue && parser.get().count(bh::field::expect) != 0 &&
        Buffer.size() == 0) {
      OutputBody = {};
      Output.assign(ContinueLine);
      if (!co_await writeBytes())
        co_return ReadStatus::Truncated;
    }
    size_t fields = countFields(parser.get());
    size_t maximumBytes =
        Ledger ? std::min(limits.BodyBytes, Ledger->largest()) : 0;
    end = co_await readBody(parser, limits.HeaderBytes, reason, SIZE_MAX,
                            ReadChunkBytes, maximumBytes);
    if (end != ReadStatus::Complete) {
      ReadHold.release();
      co_return end;
    }
    if (countFields(parser.get()) != fields) {
      ReadHold.release();
      reason.fail(base::ResultCode::BadRequest, "trailers are not supported");
      co_return ReadStatus::Refused;
    }
  }
  request = parser.release();
  shrinkReadBuffer();
  co_return ReadStatus::Complete;
}

asio::awaitable<ReadStatus>
Connection::readResponse(Response &response, bh::verb method,
                         const MessageLimits &limits,
                         base::LastReason &reason) {
  while (true) {
    size_t size = 0;
    ReadStatus end = co_await readHead(limits.HeaderBytes, size, reason);
    if (end != ReadStatus::Complete)
      co_return end;
    auto owned = std::make_unique<ResponseParser>();
    auto &parser = *owned;
    parser.header_limit(headerLimit(limits));
    parser.body_limit(limits.BodyBytes);
    parser.skip(method == bh::verb::head);
    error_code ec;
    size_t used = parser.put(asio::buffer(Buffer.cdata(), size), ec);
    if (ec || !parser.is_header_done()) {
      reason.fail(base::ResultCode::CallOutcomeUnknown,
                  "cannot parse the response head: " + ec.message());
      co_return ReadStatus::Refused;
    }
    Buffer.consume(used);
    auto status = parser.get().result_int();
    if (!checkResponseHead(parser.get(), reason))
      co_return ReadStatus::Refused;
    if (status < FirstFinalStatus && status != 101)
      continue; // Informational response; the final one follows.
    if (status == 101) {
      reason.fail(base::ResultCode::CallOutcomeUnknown,
                  "the response switches protocols");
      co_return ReadStatus::Refused;
    }
    if (!parser.is_done()) {
      ReadHold = MemoryHold(Ledger, HoldKind::Answering, {});
      end = co_await readBody(parser, limits.HeaderBytes, reason,
                              limits.WindowBytes);
      // Whoever passes the response on counts it from here on.
      ReadHold.release();
    }
    if (end == ReadStatus::Complete && !parser.is_done()) {
      response = Response();
      response.base() = parser.get().base();
      response.body() = std::exchange(parser.get().body(), {});
      response.Rest = std::make_shared<AnswerRest>(
          shared_from_this(), std::move(owned), limits.HeaderBytes);
      co_return end;
    }
    if (end == ReadStatus::Complete)
      response = parser.release();
    shrinkReadBuffer();
    co_return end;
  }
}

asio::awaitable<ReadStatus> Connection::readMore(ResponseParser &parser,
                                                 size_t lineBytes,
                                                 base::LastReason &reason) {
  ReadStatus end =
      co_await readBody(parser, lineBytes, reason, 1, AnswerWindowBytes / 8);
  shrinkReadBuffer();
  co_return end;
}

} // namespace radishcross::http
