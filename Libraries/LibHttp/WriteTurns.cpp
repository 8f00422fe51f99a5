#include <LibHttp/WriteTurns.h>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

namespace radishcross::http {

namespace asio = boost::asio;

/// Ends a turn once: with its owner or with its timer.
class WriteTurns::Holder {
public:
  Holder(std::shared_ptr<WriteTurns> turns,
         const asio::any_io_executor &executor)
      : Turns(std::move(turns)), Limit(executor, MaximumHold) {}
  ~Holder() { end(); }
  Holder(const Holder &) = delete;
  Holder &operator=(const Holder &) = delete;

  /// Ends the turn of \p holder after MaximumHold if it still has it.
  static void limit(const std::shared_ptr<Holder> &holder) {
    holder->Limit.async_wait(
        [weak = std::weak_ptr(holder)](boost::system::error_code ec) {
          auto held = weak.lock();
          if (!ec && held)
            held->end();
        });
  }

private:
  void end() {
    if (auto turns = std::exchange(Turns, nullptr))
      turns->release();
  }

  std::shared_ptr<WriteTurns> Turns;
  asio::steady_timer Limit;
};

asio::awaitable<WriteTurns::Turn> WriteTurns::take(size_t bytes,
                                                   WakeUp &waker) {
  if (bytes <= LargeBytes)
    co_return nullptr;
  auto self = shared_from_this();
  if (Taken >= MaximumTurns) {
    auto waiter = std::make_shared<Waiter>(Executor);
    Waiting.push_back(waiter);
    Link->queued(bytes);
    {
      WakeUp::Wait wait(waker, [waiter] { waiter->Timer.cancel(); });
      boost::system::error_code ec;
      co_await waiter->Timer.async_wait(
          asio::redirect_error(asio::use_awaitable, ec));
    }
    Link->dequeued(bytes);
    if (!waiter->IsGranted) {
      std::erase(Waiting, waiter);
      co_return nullptr;
    }
  } else {
    ++Taken;
  }
  auto holder = std::make_shared<Holder>(self, Executor);
  Holder::limit(holder);
  co_return holder;
}

/// Passes the turn on to the writer that has waited longest.
void WriteTurns::release() {
  if (Waiting.empty()) {
    --Taken;
    return;
  }
  auto next = std::move(Waiting.front());
  Waiting.pop_front();
  next->IsGranted = true;
  next->Timer.cancel();
}

} // namespace radishcross::http
