#pragma once

#include <LibBase/Address.h>
#include <LibBase/Clock.h>
#include <LibBase/LastReason.h>
#include <LibHttp/LinkPacer.h>
#include <LibHttp/MemoryLedger.h>
#include <LibHttp/Message.h>
#include <LibHttp/RefusalHistory.h>
#include <LibHttp/WakeUp.h>
#include <LibHttp/WriteTurns.h>

#include <array>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <memory>
#include <string>
#include <string_view>

namespace radishcross::http {

/// What a slow reader holds of a long answer, in bytes: so much of it is read
/// before it is passed on, and then about an eighth at a time.
constexpr size_t AnswerWindowBytes = 256UL << 10;

/// Size limits of one message, in bytes.
struct MessageLimits {
  size_t HeaderBytes = 16UL << 10;
  size_t BodyBytes = 1UL << 20;
  /// A longer response is returned with a rest (Response::Rest).
  size_t WindowBytes = SIZE_MAX;
};

using ResponseParser =
    boost::beast::http::response_parser<boost::beast::http::string_body>;

/// Result of reading one message.
enum class ReadStatus : uint8_t {
  Complete,  ///< The message was read completely.
  Closed,    ///< The peer closed before the first byte.
  Truncated, ///< The peer closed or the connection broke within the message.
  TimedOut,  ///< The connection's deadline passed.
  Refused,   ///< The message is malformed or too large; the reason says why.
};

/// A TCP connection with a read buffer and a deadline, used on the node's only
/// thread. Reads and writes complete HTTP/1.1 messages.
class Connection final : public std::enable_shared_from_this<Connection> {
public:
  explicit Connection(boost::asio::ip::tcp::socket socket);
  ~Connection();

  /// Cancels pending operations after \p timeout. Postponing the deadline needs
  /// no system call and no allocation.
  void expireAfter(base::Duration timeout);

  /// Removes the deadline.
  void clearDeadline() { DeadlineAt = NoDeadline; }

  bool expired() const { return Expired; }

  /// Counts messages in \p ledger from here on; null counts none.
  void setLedger(std::shared_ptr<MemoryLedger> ledger) {
    Ledger = std::move(ledger);
  }

  /// Hands over what the request that was read last holds.
  MemoryHold takeHold() { return std::move(ReadHold); }

  /// Ends the message that is being read, which is refused.
  void stopReading();

  /// Cancels pending operations and closes the socket.
  void close();
  bool isOpen() const { return Socket.is_open(); }

  /// Connects; returns false if the peer cannot be reached in time.
  boost::asio::awaitable<bool> connect(const base::Address &server);

  /// Waits until at least one byte is buffered. Returns TimedOut only if none
  /// has arrived.
  boost::asio::awaitable<ReadStatus> awaitFirstByte();

  /// Reads one request with strict framing checks. \p mayContinue allows the
  /// reply to `Expect: 100-continue`; it must be false while an earlier
  /// response is outstanding.
  boost::asio::awaitable<ReadStatus> readRequest(Request &request,
                                                 const MessageLimits &limits,
                                                 bool mayContinue,
                                                 base::LastReason &reason);

  /// Reads one response to a request with \p method. A body without a length
  /// ends at a clean end of stream, never at a reset. A rest is left only once
  /// the request has been written.
  boost::asio::awaitable<ReadStatus>
  readResponse(Response &response, boost::beast::http::verb method,
               const MessageLimits &limits, base::LastReason &reason);

  /// Continues a response that has a rest: waits until \p parser has some of
  /// its body or all.
  boost::asio::awaitable<ReadStatus>
  readMore(ResponseParser &parser, size_t lineBytes, base::LastReason &reason);

  /// Bounds what the kernel accepts from the peer before it is read.
  void limitReceiveWindow();

  /// Writes one complete message; returns false if the connection broke. \p
  /// lines are additional header fields, each ending with CRLF.
  boost::asio::awaitable<bool> write(const Request &message,
                                     std::string_view lines = {});
  /// As above; a rest is written as it comes. Frees the body of such a message.
  boost::asio::awaitable<bool> write(Response &message);

  /// Starts writing a complete request, so that its response can be read
  /// meanwhile. Nothing else may be written until isWriting() is false.
  void startWrite(const Request &message, std::string_view lines);
  bool isWriting() const { return Writing; }

  /// Returns whether the last write failed before the kernel accepted all of
  /// it.
  bool writeFailed() const { return WriteFailed; }

  /// Returns how many bytes of the last write the kernel accepted.
  size_t bytesWritten() const { return BytesWritten; }

  /// Closes so that the peer can still read the response: sends FIN, then
  /// discards input for a bounded time, which is extended while the peer has
  /// not acknowledged all output. With \p bodyBytes above 0 it discards as many
  /// for MaxBodyDiscardTime as long as they keep coming, so that a client that
  /// sends a body whole before it reads gets the response.
  boost::asio::awaitable<void> lingeringClose(size_t bodyBytes = 0);

  /// Returns whether bytes beyond the last message have been read.
  bool hasBufferedInput() const { return Buffer.size() > 0; }

  /// Returns how many bytes have been received from the peer.
  size_t bytesReceived() const { return BytesReceived; }

  /// Returns when bytes were received last.
  base::TimePoint lastReceivedAt() const { return LastReceivedAt; }

  /// Returns the number of received bytes that were not read as part of a
  /// message: discarded by lingeringClose(), in the buffer or, while the socket
  /// is open, in the kernel.
  size_t unreadBytes() const;

  /// Returns the current capacity of the buffers, in bytes.
  size_t bufferCapacity() const {
    return Buffer.capacity() + Output.capacity();
  }

  /// Returns whether unread input or the end of the stream has arrived; never
  /// blocks.
  bool hasPendingInput();

  /// Returns whether the peer has closed its sending direction and no input is
  /// left in the kernel; never blocks.
  bool atEndOfStream();

  /// Returns whether the kernel holds output that the peer has not
  /// acknowledged.
  bool hasUnsentOutput();

  RefusalHistory &refusals() { return Refusals; }

  boost::asio::ip::tcp::socket &socket() { return Socket; }
  base::Address peer() const;

  /// Paces what is written to a link, and makes large responses wait for their
  /// turns; null: they don't.
  void setLink(std::shared_ptr<LinkPacer> link,
               std::shared_ptr<WriteTurns> turns) {
    Link = std::move(link);
    Turns = std::move(turns);
  }

private:
  using OutputParts = std::array<boost::asio::const_buffer, 2>;
  OutputParts unwritten() const;
  boost::asio::awaitable<void> awaitLink(size_t bytes);
  using Clock = std::chrono::steady_clock;
  static constexpr Clock::time_point NoDeadline = Clock::time_point::max();
  static constexpr size_t ReadChunkBytes = 8UL << 10;
  /// Smaller messages are not counted one by one.
  static constexpr size_t MinCountedBytes = 1UL << 10;

  void startTimer(Clock::time_point at);
  void timerFired();
  boost::asio::awaitable<ReadStatus> readSome(size_t chunk);
  void shrinkReadBuffer();
  boost::asio::awaitable<ReadStatus> readHead(size_t maximum, size_t &size,
                                              base::LastReason &reason);
  boost::asio::awaitable<bool> writeBytes();
  void continueWrite();
  void finishWrite(const boost::system::error_code &ec);
  void stopWriting();
  void limitUnsent();
  void noteWritten(size_t bytes);
  boost::asio::awaitable<bool> writeRest(Response &message);
  boost::asio::awaitable<bool> readRest(std::string &part);
  bool mayWrite() const {
    return !Expired && !WriteGaveWay && Socket.is_open();
  }
  ReadStatus refuseForMemory(base::LastReason &reason);
  void noteWriteError(const boost::system::error_code &ec);
  bool reachedCleanEof() const { return ReachedEof && !ErrorTaken; }
  template <typename Parser>
  boost::asio::awaitable<ReadStatus>
  readBody(Parser &parser, size_t lineBytes, base::LastReason &reason,
           size_t windowBytes = SIZE_MAX, size_t chunk = ReadChunkBytes,
           size_t maximumBytes = 0);
  template <typename Parser> bool mayHold(const Parser &parser);
  template <typename Parser> void reserveBody(Parser &parser, size_t bytes);
  size_t outputBytes() const { return Output.size() + OutputBody.size(); }
  void clearOutput();
  std::string_view buffered() const;

  boost::asio::ip::tcp::socket Socket;
  boost::asio::steady_timer Timer;
  boost::beast::flat_buffer Buffer;
  std::shared_ptr<LinkPacer> Link;
  std::shared_ptr<WriteTurns> Turns;
  std::string Output;
  /// Rest of the message that is being written, behind Output; owned by the
  /// writer.
  std::string_view OutputBody;
  std::shared_ptr<MemoryLedger> Ledger;
  MemoryHold ReadHold;
  MemoryHold WriteHold;
  WakeUp Writer; ///< Ends the writer's waits beside those for the socket.
  AnswerRest *Rest = nullptr; ///< Of the message that is being written.
  size_t WrittenBefore = 0;   ///< Bytes of its parts before the current one.
  bool ReadGaveWay = false;   ///< The message that is being read.
  bool WriteGaveWay = false;  ///< The message that is being written.
  RefusalHistory Refusals;
  size_t BytesWritten = 0;
  size_t BytesReceived = 0;
  base::TimePoint LastReceivedAt{};
  size_t DiscardedBytes = 0;
  Clock::time_point DeadlineAt = NoDeadline;
  bool TimerRunning = false;
  bool Expired = false;
  bool IsExtended = false; ///< The deadline was, after a pause of the process.
  bool ReachedEof = false; ///< A read has reported the end of the stream.
  /// A write has received the connection's error, which the kernel reports only
  /// once. The end of the stream is then not a clean one.
  bool ErrorTaken = false;
  bool Writing = false;
  bool WriteFailed = false;
};

using ConnectionPointer = std::shared_ptr<Connection>;

/// How long sent bytes may stay unacknowledged before a connection counts as
/// broken.
constexpr base::Duration IncomingUserTimeout = std::chrono::seconds(30);
constexpr base::Duration OutgoingUserTimeout = std::chrono::seconds(3);

/// Time limit for setting up a connection.
constexpr base::Duration ConnectTimeout = std::chrono::seconds(1);

/// Sets the options of all connections: no Nagle delay, keepalive probes and
/// the TCP user timeout, so that a dead path is detected.
void setSocketOptions(boost::asio::ip::tcp::socket &socket,
                      base::Duration userTimeout);

} // namespace radishcross::http
