#pragma once

#include <LibBase/Clock.h>
#include <LibHttp/LinkPacer.h>
#include <LibHttp/WakeUp.h>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <memory>

namespace radishcross::http {

/// Bounds how many large answers of one listener are written at the same time.
/// On a thin link every connection's send buffer queues before the next answer:
/// with many large answers under way, a small one that a call above waits for
/// comes after all of them, and the large ones finish together at the end. In
/// turns the first is whole early and little is queued. Small answers need no
/// turn.
class WriteTurns : public std::enable_shared_from_this<WriteTurns> {
public:
  /// Answers beyond this size take turns, in bytes.
  static constexpr size_t LargeBytes = LinkPacer::PieceBytes;
  /// Large answers that are written at a time. While one waits for its reader
  /// another uses the link; each further one delays them all.
  static constexpr size_t MaximumTurns = 2;
  /// A writer keeps its turn for at most this time, so that a reader that has
  /// stopped does not hold up the others.
  static constexpr base::Duration MaximumHold = std::chrono::milliseconds(500);

  /// A turn; ends with its last copy, or after MaximumHold.
  using Turn = std::shared_ptr<void>;

  WriteTurns(boost::asio::any_io_executor executor,
             std::shared_ptr<LinkPacer> link)
      : Executor(std::move(executor)), Link(std::move(link)) {}

  /// Waits for a turn to write \p bytes; empty for a small answer, or if \p
  /// waker has ended the wait.
  boost::asio::awaitable<Turn> take(size_t bytes, WakeUp &waker);

  size_t waiting() const { return Waiting.size(); }

private:
  class Holder;
  struct Waiter {
    explicit Waiter(const boost::asio::any_io_executor &executor)
        : Timer(executor, boost::asio::steady_timer::time_point::max()) {}
    boost::asio::steady_timer Timer;
    bool IsGranted = false;
  };
  void release();

  boost::asio::any_io_executor Executor;
  std::shared_ptr<LinkPacer> Link;
  std::deque<std::shared_ptr<Waiter>> Waiting;
  size_t Taken = 0;
};

} // namespace radishcross::http
