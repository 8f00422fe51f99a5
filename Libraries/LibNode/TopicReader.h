#pragma once

#include <LibFleet/RecordFreshness.h>
#include <LibFleet/TopicFollower.h>
#include <LibLog/KeyedStore.h>

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <optional>

namespace radishcross::node {

/// Follows one topic of the platform's store and passes on its records.
class TopicReader : public std::enable_shared_from_this<TopicReader> {
public:
  struct Events {
    /// Called for each record read; a record may be passed more than once.
    std::function<void(const log::KeyedRecord &)> RecordRead;
    /// Returns how the topic is to be read now; if not set, it is always
    /// followed.
    std::function<fleet::ReadDuty()> Duty;
    /// Called after a read that reached the end of the topic.
    std::function<void(const fleet::RecordReading &)> CaughtUp;
  };

  /// Starts to read. The reader stops when the last shared pointer to it is
  /// released.
  static std::shared_ptr<TopicReader>
  start(boost::asio::io_context &context, log::KeyedStore &store,
        log::Topic topic, uint64_t seed, Events events,
        fleet::TopicFollowerSettings settings = {});
  TopicReader(boost::asio::io_context &context, log::KeyedStore &store,
              log::Topic topic, uint64_t seed, Events events,
              fleet::TopicFollowerSettings settings);

  /// Resumes reading if the reader rests and its duty now asks for reads.
  void wake();

  /// Lists the keys now instead of after the pause; for a reader that only
  /// lists them.
  void listSoon();

  /// Returns whether the topic has been listed completely at least once.
  bool hasListed() const { return Follower.hasListed(); }

  /// Returns whether the reader is active, not resting.
  bool isReading() const { return !IsResting; }

  /// Returns whether the next read is only held back to space it from the last
  /// one.
  bool isSpacing() const { return IsPausing && Follower.isSpacing(); }

  /// Returns when the store last answered a read; nothing before the first
  /// answer.
  std::optional<base::TimePoint> lastAnswerAt() const { return LastAnswerAt; }

  /// Returns how long the outstanding read has gone unanswered beyond the time
  /// for which the store may hold it.
  base::Duration overdue(base::TimePoint now) const {
    return AnswerDue ? std::max(now - *AnswerDue, base::Duration::zero())
                     : base::Duration::zero();
  }

  /// Returns whether the store answered the last read.
  bool isReachable() const { return IsReachable; }

private:
  bool applyDuty();
  void advance();
  void list();
  void follow(const fleet::TopicStep &step);
  void handleAnswer(const log::TopicAnswer &answer, std::string_view operation,
                    const fleet::TopicRead &read,
                    const fleet::RecordReading &reading);

  log::KeyedStore *Store;
  log::Topic SelectedTopic;
  Events OnEvent;
  fleet::TopicFollower Follower;
  boost::asio::steady_timer Timer;
  bool IsReachable = true;
  std::optional<base::TimePoint> LastAnswerAt;
  /// When the outstanding read should be answered at the latest.
  std::optional<base::TimePoint> AnswerDue;
  bool IsPausing = false;
  bool IsResting = false;
};

} // namespace radishcross::node
