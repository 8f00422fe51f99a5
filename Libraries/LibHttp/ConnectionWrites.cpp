#include <LibHttp/Connection.h>

#include <LibHttp/AnswerRest.h>
#include <LibHttp/Responses.h>

#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/buffers_prefix.hpp>
#include <charconv>

namespace radishcross::http {

namespace {

namespace asio = boost::asio;
using boost::asio::ip::tcp;
using boost::system::error_code;

constexpr size_t WriteChunkBytes = 64UL << 10;
/// Ends a body in chunks, after the data of the chunk before.
constexpr std::string_view LastChunk = "\r\n0\r\n\r\n";
/// Output buffer kept between messages; most messages fit.
constexpr size_t MaxIdleOutputBytes = 4UL << 10;
/// Larger bodies are written from where they are, without a copy.
constexpr size_t MaxCopiedBodyBytes = 64UL << 10;

/// Serialises \p message into \p out; returns the body if it is not copied.
std::string_view appendHead(const Request &message, std::string_view lines,
                            std::string &out) {
  out.clear();
  bool isCopied = message.body().size() <= MaxCopiedBodyBytes;
  appendMessage(message, lines, out, isCopied);
  return isCopied ? std::string_view() : message.body();
}

std::string_view appendHead(const Response &message, std::string &out) {
  out.clear();
  bool isCopied = message.body().size() <= MaxCopiedBodyBytes && !message.Rest;
  appendMessage(message, out, isCopied);
  return isCopied ? std::string_view() : message.body();
}

/// Returns the line before a chunk of \p bytes.
std::string chunkLine(size_t bytes) {
  std::array<char, 2 * sizeof(bytes)> digits{};
  constexpr int Hexadecimal = 16;
  auto [end, ec] = std::to_chars(digits.data(), digits.data() + digits.size(),
                                 bytes, Hexadecimal);
  return std::string(digits.data(), end) + "\r\n";
}

} // namespace

/// Waits until the link is free for the next piece.
asio::awaitable<void> Connection::awaitLink(size_t bytes) {
  auto wait = Link->reserve(bytes, base::SystemClock().now());
  if (wait <= base::Duration::zero())
    co_return;
  asio::steady_timer pause(Socket.get_executor(), wait);
  WakeUp::Wait wakeable(Writer, [&pause] { pause.cancel(); });
  WriteHold.pause();
  error_code ec;
  co_await pause.async_wait(asio::redirect_error(asio::use_awaitable, ec));
  WriteHold.resume();
}

/// Returns what is still to be written of the output.
Connection::OutputParts Connection::unwritten() const {
  size_t fromBody =
      BytesWritten > Output.size() ? BytesWritten - Output.size() : 0;
  return {asio::buffer(Output) + BytesWritten,
          asio::buffer(OutputBody) + fromBody};
}

asio::awaitable<bool> Connection::writeBytes() {
  error_code ec;
  BytesWritten = 0;
  if (!mayWrite()) {
    clearOutput();
    co_return false;
  }
  // All but the last piece, each when the link is free for it.
  while (Link && !ec && outputBytes() - BytesWritten > LinkPacer::PieceBytes) {
    co_await awaitLink(LinkPacer::PieceBytes);
    if (!mayWrite()) {
      clearOutput();
      co_return false;
    }
    auto pieceBytes = [this](const error_code &error, size_t written) {
      return error || Expired || WriteGaveWay
                 ? 0
                 : LinkPacer::PieceBytes -
                       std::min(written, LinkPacer::PieceBytes);
    };
    BytesWritten += co_await asio::async_write(
        Socket,
        boost::beast::buffers_prefix(LinkPacer::PieceBytes, unwritten()),
        pieceBytes, asio::redirect_error(asio::use_awaitable, ec));
    noteWritten(BytesWritten);
  }
  if (Link && !ec)
    Link->reserve(outputBytes() - BytesWritten, base::SystemClock().now());
  // Between two chunks no operation is pending that the deadline could cancel.
  size_t before = BytesWritten;
  auto chunkBytes = [this, before](const error_code &error, size_t written) {
    noteWritten(before + written);
    return error || Expired || WriteGaveWay ? 0 : WriteChunkBytes;
  };
  if (!ec)
    BytesWritten += co_await asio::async_write(
        Socket, unwritten(), chunkBytes,
        asio::redirect_error(asio::use_awaitable, ec));
  noteWriteError(ec);
  bool isComplete = BytesWritten == outputBytes();
  clearOutput();
  co_return !ec && isComplete;
}

void Connection::startWrite(const Request &message, std::string_view lines) {
  OutputBody = appendHead(message, lines, Output);
  BytesWritten = 0;
  Writing = true;
  WriteFailed = false;
  continueWrite();
}

/// Writes what the kernel accepts immediately, then waits until the socket is
/// writable.
void Connection::continueWrite() {
  error_code ec;
  Socket.non_blocking(true, ec);
  while (!ec && BytesWritten < outputBytes())
    BytesWritten += Socket.write_some(unwritten(), ec);
  if (ec == asio::error::would_block) {
    Socket.async_wait(tcp::socket::wait_write,
                      [self = shared_from_this()](error_code waitError) {
                        if (!waitError && self->Socket.is_open())
                          self->continueWrite();
                        else
                          self->finishWrite(asio::error::operation_aborted);
                      });
    return;
  }
  finishWrite(ec);
}

void Connection::finishWrite(const error_code &ec) {
  Writing = false;
  WriteFailed = static_cast<bool>(ec);
  noteWriteError(ec);
  clearOutput();
}

void Connection::clearOutput() {
  OutputBody = {};
  if (Output.capacity() > MaxIdleOutputBytes)
    std::string().swap(Output);
}

/// A broken pipe follows the end of the peer's stream, which a read reports as
/// well.
void Connection::noteWriteError(const error_code &ec) {
  ErrorTaken = ErrorTaken || (ec && ec != asio::error::broken_pipe);
}

asio::awaitable<bool> Connection::write(const Request &message,
                                        std::string_view lines) {
  OutputBody = appendHead(message, lines, Output);
  return writeBytes();
}

/// Notes how much of the current part of a message has been written.
void Connection::noteWritten(size_t bytes) {
  WriteHold.progressed(WrittenBefore + bytes);
  if (Rest)
    Rest->noteProgress();
}

asio::awaitable<bool> Connection::write(Response &message) {
  OutputBody = appendHead(message, Output);
  WriteGaveWay = false;
  WrittenBefore = 0;
  if (message.Rest && message.chunked())
    Output += chunkLine(message.body().size());
  if (Ledger && outputBytes() > MinCountedBytes) {
    WriteHold =
        MemoryHold(Ledger, HoldKind::Leaving, [this] { stopWriting(); });
    WriteHold.charge(outputBytes());
  }
  WriteTurns::Turn turn;
  if (Turns) {
    WriteHold.pause();
    turn = co_await Turns->take(outputBytes(), Writer);
    WriteHold.resume();
  }
  bool isWritten = false;
  if (message.Rest)
    isWritten = co_await writeRest(message);
  else
    isWritten = co_await writeBytes();
  WriteHold.release();
  co_return isWritten;
}

/// Writes a message with a rest, part by part. Where the rest breaks off, the
/// length or the last chunk is missing.
asio::awaitable<bool> Connection::writeRest(Response &message) {
  const auto rest = message.Rest;
  const bool isChunked = message.chunked();
  rest->startPassingOn([weak = weak_from_this()] {
    if (auto self = weak.lock())
      self->stopWriting();
  });
  limitUnsent();
  Rest = rest.get();
  bool isWritten = co_await writeBytes();
  std::string().swap(message.body());
  std::string part;
  while (isWritten && !rest->isWhole()) {
    WrittenBefore += BytesWritten;
    WriteHold.charge(0);
    isWritten = co_await readRest(part);
    if (!isWritten || part.empty())
      continue;
    Output.clear();
    if (isChunked)
      Output = "\r\n" + chunkLine(part.size());
    OutputBody = part;
    WriteHold.charge(outputBytes());
    isWritten = co_await writeBytes();
  }
  if (isWritten && isChunked) {
    Output = LastChunk;
    isWritten = co_await writeBytes();
  }
  Rest = nullptr;
  co_return isWritten;
}

/// Reads the next part of the rest. What the server takes for it is not the
/// client's time.
asio::awaitable<bool> Connection::readRest(std::string &part) {
  const auto left = DeadlineAt - Clock::now();
  const bool hasDeadline = DeadlineAt != NoDeadline;
  clearDeadline();
  bool isRead = false;
  {
    WakeUp::Wait wait(Writer, [rest = Rest] { rest->abandon(); });
    isRead = co_await Rest->read(part);
  }
  if (hasDeadline)
    expireAfter(std::chrono::duration_cast<base::Duration>(left));
  co_return isRead &&mayWrite();
}

} // namespace radishcross::http
