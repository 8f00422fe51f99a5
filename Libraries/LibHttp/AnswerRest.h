#pragma once

#include <LibBase/Clock.h>
#include <LibHttp/Connection.h>

#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace radishcross::http {

/// How the rest of an answer ended.
enum class RestEnd : uint8_t {
  Whole,     ///< It was read to its end.
  Broken,    ///< The server failed or took longer than it had.
  Abandoned, ///< The reader left or gave way.
};

/// The rest of a long answer whose beginning is passed on already. It is read
/// from its server only as its reader takes it, so that a slow reader holds a
/// window of it. The connection to the server is taken until the end.
class AnswerRest {
public:
  /// \p awaitedReader is the time for which the reader was waited for.
  using EndHandler =
      std::function<void(RestEnd end, base::Duration awaitedReader)>;

  /// A reader whose turn has not come yet counts as stalled only after this
  /// time: it waits for other answers of its connection or for the link.
  static constexpr base::Duration MaxWaitForTurn = std::chrono::seconds(5);

  AnswerRest(ConnectionPointer server, std::unique_ptr<ResponseParser> parser,
             size_t lineBytes);
  ~AnswerRest() { abandon(); }
  AnswerRest(const AnswerRest &) = delete;
  AnswerRest &operator=(const AnswerRest &) = delete;

  /// Returns the length of the whole body, if the server has stated it.
  std::optional<uint64_t> wholeBytes() const { return WholeBytes; }

  bool isWhole() const { return End == RestEnd::Whole; }

  /// Bounds the time for which the server is waited for, in all.
  void setTimeout(base::Duration timeout) { Left = timeout; }

  /// Adds a function that is called once, at the end.
  void addOnEnd(EndHandler handler) { OnEnd.push_back(std::move(handler)); }

  /// Waits for the next part of the body, which may be empty at the end.
  /// Returns false if the rest has ended otherwise than whole.
  boost::asio::awaitable<bool> read(std::string &part);

  /// The reader has left.
  void abandon();

  /// Called by whoever passes the rest on: when it begins, with what ends the
  /// reader, and whenever the reader has taken something.
  void startPassingOn(std::function<void()> endReader);
  void noteProgress() { ProgressAt = Time.now(); }

  /// Returns for how long the reader has taken nothing; 0 while the server is
  /// waited for.
  base::Duration stalledFor(base::TimePoint now) const;

  /// Abandons the rest and ends its reader, so that the server can serve
  /// another call.
  void giveWay();

private:
  void finish(RestEnd end);

  ConnectionPointer Server;
  std::unique_ptr<ResponseParser> Parser;
  size_t LineBytes;
  std::optional<uint64_t> WholeBytes;
  std::vector<EndHandler> OnEnd;
  std::function<void()> EndReader;
  std::optional<RestEnd> End;
  base::SystemClock Time;
  base::Duration Left{};
  base::Duration AwaitedReader{};
  base::TimePoint GivenAt; ///< When the reader was given something last.
  base::TimePoint ProgressAt;
  bool IsReading = false;
  bool IsPassedOn = false;
};

} // namespace radishcross::http
