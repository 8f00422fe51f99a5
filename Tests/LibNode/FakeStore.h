#pragma once

#include <LibLog/KeyedStore.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace radishcross::test {

/// The records of the platform's store, shared by the nodes of a test.
struct StoreContent {
  struct Topic {
    std::vector<log::KeyedRecord> Records;
    uint64_t First = 0; ///< The first offset that is still readable.
  };
  std::map<log::Topic, Topic> Topics;

  uint64_t write(log::Topic topic, std::string key, std::string value) {
    auto &records = Topics[topic].Records;
    records.push_back({records.size(), std::move(key), std::move(value)});
    return records.back().At;
  }

  void forgetHistory() {
    for (auto &[topic, it] : Topics)
      it.First = it.Records.size();
  }
};

/// How the store responds to one node.
enum class StoreBehaviour : uint8_t { Serves, Refuses, Silent };

/// One node's connection to the store. Answers arrive asynchronously.
class FakeStore final : public log::KeyedStore {
public:
  FakeStore(boost::asio::io_context &context, StoreContent &content,
            const StoreBehaviour &behaviour)
      : Context(context), Content(content), Behaviour(behaviour) {}

  void put(log::Topic topic, std::string key, std::string value,
           std::function<void(log::PutAnswer)> done) override {
    log::PutAnswer answer;
    answer.Outcome = log::PutAnswer::Kind::Refused;
    if (Behaviour == StoreBehaviour::Serves) {
      answer.At = Content.write(topic, std::move(key), std::move(value));
      answer.Outcome = log::PutAnswer::Kind::Accepted;
    }
    boost::asio::post(Context,
                      [done = std::move(done), answer] { done(answer); });
  }

  void putAt(log::Topic topic, uint64_t end, const std::string &key,
             const std::string &value,
             const std::function<void(log::PutAnswer)> &done) override {
    if (Content.Topics[topic].Records.size() == end)
      return put(topic, key, value, done);
    log::PutAnswer answer;
    answer.Outcome = log::PutAnswer::Kind::Refused;
    boost::asio::post(Context, [done, answer] { done(answer); });
  }

  void drop(log::Topic topic, std::vector<std::string> keys,
            std::function<void(log::PutAnswer)> done) override {
    log::PutAnswer answer;
    answer.Outcome = log::PutAnswer::Kind::Refused;
    for (auto &it : keys)
      if (Behaviour == StoreBehaviour::Serves) {
        answer.At = Content.write(topic, std::move(it), {});
        answer.Outcome = log::PutAnswer::Kind::Accepted;
      }
    boost::asio::post(Context,
                      [done = std::move(done), answer] { done(answer); });
  }

  void list(log::Topic topic,
            std::function<void(log::TopicAnswer)> done) override {
    ++Lists;
    later([this, topic, done = std::move(done)] {
      log::TopicAnswer answer;
      answer.Reached = Behaviour == StoreBehaviour::Serves;
      if (answer.Reached) {
        std::map<std::string, log::KeyedRecord> newest;
        for (const auto &it : Content.Topics[topic].Records)
          newest[it.Key] = it;
        for (auto &[key, it] : newest)
          answer.Records.push_back(it);
        answer.End = Content.Topics[topic].Records.size();
      }
      done(answer);
    });
  }

  void follow(log::Topic topic, uint64_t from, base::Duration wait,
              std::function<void(log::TopicAnswer)> done) override {
    later([this, topic, from, wait, done = std::move(done)] {
      const auto &it = Content.Topics[topic];
      bool isNew = it.Records.size() > from;
      bool isWaiting =
          Behaviour == StoreBehaviour::Serves && !isNew && wait > AnswerDelay;
      if (Behaviour == StoreBehaviour::Silent || isWaiting)
        return follow(topic, from, wait - AnswerDelay, done);
      log::TopicAnswer answer;
      answer.Expired = Behaviour == StoreBehaviour::Serves && from < it.First;
      answer.Reached = Behaviour == StoreBehaviour::Serves && !answer.Expired;
      answer.End = it.Records.size();
      if (answer.Reached)
        answer.Records.assign(it.Records.begin() + static_cast<ptrdiff_t>(from),
                              it.Records.end());
      done(answer);
    });
  }

  size_t Lists = 0; ///< Number of calls of list().

private:
  /// Calls \p step after the answer delay, unless this object is destroyed
  /// first.
  void later(std::function<void()> step) {
    auto timer =
        std::make_shared<boost::asio::steady_timer>(Context, AnswerDelay);
    timer->async_wait([timer, weak = std::weak_ptr<bool>(LifetimeToken),
                       step = std::move(step)](boost::system::error_code ec) {
      if (!ec && !weak.expired())
        step();
    });
  }

  static constexpr std::chrono::milliseconds AnswerDelay{10};

  boost::asio::io_context &Context;
  StoreContent &Content;
  const StoreBehaviour &Behaviour;
  std::shared_ptr<bool> LifetimeToken = std::make_shared<bool>(true);
};

} // namespace radishcross::test
