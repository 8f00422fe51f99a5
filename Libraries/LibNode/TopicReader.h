#pragma once

#include <LibFleet/RecordFreshness.h>
#include <LibFleet/TopicFollower.h>
#include <LibLog/KeyedStore.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <optional>

namespace radishcross::node {

/// Keeps up with one topic of the platform's store and passes its records on.
class TopicReader : public std::enable_shared_from_this<TopicReader> {
public:
  struct Events {
    /// Called for each record read, which may be one that was seen before.
    std::function<void(const log::KeyedRecord &)> RecordRead;
    /// Tells how the topic is to be read now; empty: it is always followed.
    std::function<fleet::ReadDuty()> Duty;
    /// Called after a read that brought all there was; it began at \p
    /// startedAt.
    std::function<void(base::TimePoint startedAt)> CaughtUp;
  };

  /// Starts to read; ends when the last pointer but its own is let go.
  static std::shared_ptr<TopicReader>
  start(boost::asio::io_context &context, log::KeyedStore &store,
        log::Topic topic, uint64_t seed, Events events,
        fleet::TopicFollowerSettings settings = {});
  TopicReader(boost::asio::io_context &context, log::KeyedStore &store,
              log::Topic topic, uint64_t seed, Events events,
              fleet::TopicFollowerSettings settings);

  /// Reads again where it rests and its duty asks for it.
  void wake();

  /// Has the keys listed now instead of after the pause, for a reader that only
  /// lists them.
  void listSoon();

  /// Tells whether the topic has been read whole at least once.
  bool hasListed() const { return Follower.hasListed(); }

  /// Tells whether it reads, and does not rest.
  bool isReading() const { return !IsResting; }

  /// Tells whether the next read is held back only to space it from the last.
  bool isSpacing() const { return IsPausing && Follower.isSpacing(); }

  /// Returns when the store last answered a read; nothing before it first did.
  std::optional<base::TimePoint> lastAnswerAt() const { return LastAnswerAt; }

  /// Tells whether the store answered the last read.
  bool isReachable() const { return IsReachable; }

private:
  bool applyDuty();
  void advance();
  void list();
  void follow(const fleet::TopicStep &step);
  void handleAnswer(const log::TopicAnswer &answer, std::string_view operation,
                    const fleet::TopicRead &read, base::TimePoint startedAt);

  log::KeyedStore *Store;
  log::Topic SelectedTopic;
  Events OnEvent;
  fleet::TopicFollower Follower;
  boost::asio::steady_timer Timer;
  bool IsReachable = true;
  std::optional<base::TimePoint> LastAnswerAt;
  bool IsPausing = false;
  bool IsResting = false;
};

} // namespace radishcross::node
