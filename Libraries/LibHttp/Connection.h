#pragma once

#include <LibBase/Address.h>
#include <LibBase/Clock.h>
#include <LibBase/LastReason.h>
#include <LibHttp/Message.h>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <memory>
#include <string>
#include <string_view>

namespace radishcross::http {

/// Bounds of one message, in bytes.
struct MessageLimits {
  size_t HeaderBytes = 16UL << 10;
  size_t BodyBytes = 1UL << 20;
};

/// How reading one message ended.
enum class ReadStatus : uint8_t {
  Complete,  ///< The whole message was read.
  Closed,    ///< The other side closed before the first byte.
  Truncated, ///< The other side closed, or the connection broke, in between.
  TimedOut,  ///< The connection's deadline passed.
  Refused,   ///< The message is malformed or too large; the reason says why.
};

/// One TCP connection with its read buffer and a deadline, on the node's
/// thread. Reads and writes whole HTTP/1.1 messages.
class Connection final : public std::enable_shared_from_this<Connection> {
public:
  explicit Connection(boost::asio::ip::tcp::socket socket);
  ~Connection();

  /// Cancels pending operations after \p timeout. Moving the deadline later
  /// costs no system call and no allocation.
  void expireAfter(base::Duration timeout);

  /// Removes the deadline.
  void clearDeadline() { DeadlineAt = NoDeadline; }

  bool expired() const { return Expired; }

  /// Cancels pending operations and closes the socket.
  void close();
  bool isOpen() const { return Socket.is_open(); }

  /// Connects; returns false when the other side cannot be reached in time.
  boost::asio::awaitable<bool> connect(const base::Address &server);

  /// Waits until at least one byte is buffered. TimedOut is only said where
  /// none has arrived.
  boost::asio::awaitable<ReadStatus> awaitFirstByte();

  /// Reads one request, strictly framed. Answers `Expect: 100-continue` where
  /// \p mayContinue: while no other answer is due before it.
  boost::asio::awaitable<ReadStatus> readRequest(Request &request,
                                                 const MessageLimits &limits,
                                                 bool mayContinue,
                                                 base::LastReason &reason);

  /// Reads one answer to a request with \p method. A body without a length is
  /// complete at a clean end of the stream, never at a reset.
  boost::asio::awaitable<ReadStatus>
  readResponse(Response &response, boost::beast::http::verb method,
               const MessageLimits &limits, base::LastReason &reason);

  /// Writes one whole message; returns false when the connection broke.
  /// \p lines are further fields of the head, each line with its line break.
  boost::asio::awaitable<bool> write(const Request &message,
                                     std::string_view lines = {});
  boost::asio::awaitable<bool> write(const Response &message);

  /// Starts to write a whole request, so that its answer can be read meanwhile.
  /// Nothing else may be written until isWriting() is false.
  void startWrite(const Request &message, std::string_view lines);
  bool isWriting() const { return Writing; }

  /// Tells whether the last write broke before the kernel took all of it.
  bool writeFailed() const { return WriteFailed; }

  /// Returns the number of bytes of the last write that the kernel took.
  size_t bytesWritten() const { return BytesWritten; }

  /// Ends the connection so that the other side can still read the answer:
  /// sends FIN, then discards what arrives for a bounded time, longer while the
  /// other side has not acknowledged all of it.
  boost::asio::awaitable<void> lingeringClose();

  /// Tells whether bytes beyond the last message have been read.
  bool hasBufferedInput() const { return Buffer.size() > 0; }

  /// Returns the bytes that arrived and were not read as part of a message:
  /// discarded by lingeringClose(), in the buffer or, while the socket is open,
  /// in the kernel.
  size_t unreadBytes() const;

  /// Returns the bytes of the buffers that the connection holds now.
  size_t bufferCapacity() const {
    return Buffer.capacity() + Output.capacity();
  }

  /// Tells whether bytes that were not asked for, or the end of the stream,
  /// have arrived; never blocks.
  bool hasPendingInput();

  /// Tells whether the other side has closed its sending direction and left
  /// nothing to read; never blocks.
  bool atEndOfStream();

  /// Tells whether the kernel holds bytes that the other side has not
  /// acknowledged.
  bool hasUnsentOutput();

  boost::asio::ip::tcp::socket &socket() { return Socket; }
  base::Address peer() const;

private:
  using Clock = std::chrono::steady_clock;
  static constexpr Clock::time_point NoDeadline = Clock::time_point::max();

  void startTimer(Clock::time_point at);
  void timerFired();
  boost::asio::awaitable<ReadStatus> readSome(size_t chunk);
  void shrinkReadBuffer();
  boost::asio::awaitable<ReadStatus> readHead(size_t maximum, size_t &size,
                                              base::LastReason &reason);
  boost::asio::awaitable<bool> writeBytes();
  void continueWrite();
  void finishWrite(bool failed);
  template <typename Parser>
  boost::asio::awaitable<ReadStatus> readBody(Parser &parser, size_t lineBytes,
                                              base::LastReason &reason);
  std::string_view buffered() const;

  boost::asio::ip::tcp::socket Socket;
  boost::asio::steady_timer Timer;
  boost::beast::flat_buffer Buffer;
  std::string Output;
  size_t BytesWritten = 0;
  size_t DiscardedBytes = 0;
  Clock::time_point DeadlineAt = NoDeadline;
  bool TimerRunning = false;
  bool Expired = false;
  bool ReachedEof = false; ///< The other side has ended its stream cleanly.
  bool Writing = false;
  bool WriteFailed = false;
};

using ConnectionPointer = std::shared_ptr<Connection>;

/// How long sent bytes may stay unacknowledged before a connection counts as
/// broken.
constexpr base::Duration IncomingUserTimeout = std::chrono::seconds(30);
constexpr base::Duration OutgoingUserTimeout = std::chrono::seconds(3);

/// How long setting up a connection may take.
constexpr base::Duration ConnectTimeout = std::chrono::seconds(1);

/// Sets the options of this program's connections: no delay of small writes,
/// keepalive probes and the user timeout, so that a silent path is found.
void setSocketOptions(boost::asio::ip::tcp::socket &socket,
                      base::Duration userTimeout);

} // namespace radishcross::http
