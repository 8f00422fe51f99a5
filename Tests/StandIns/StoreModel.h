#pragma once

#include <LibHttp/Server.h>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <string>

namespace radishcross::standins {

/// An in-memory model of the platform's metadata store, as a handler of an
/// http::Server: appends, blocking reads, and the newest record of each key;
/// one partition per topic.
class StoreModel {
public:
  explicit StoreModel(boost::asio::io_context &context) : Context(context) {}

  /// Answers one request of the store's HTTP interface.
  boost::asio::awaitable<http::Response> handle(http::IncomingRequest incoming);

  /// Appends a record directly, as the operator does.
  void write(const std::string &topic, const std::string &key,
             const std::string &value);

  /// Appends the content of a record directly, which need not be a key and a
  /// value.
  void writeContent(const std::string &topic, const std::string &content);

  /// Returns the newest value of a key; empty if it has none.
  std::string newestOf(const std::string &topic, const std::string &key) {
    const auto &keys = Topics[topic].Keys;
    auto it = keys.find(key);
    return it == keys.end() ? std::string() : it->second.Value;
  }

  /// Drops the history of all topics; the newest record of each key stays.
  void forgetHistory();

  /// Returns the number of records ever added to \p topic.
  uint64_t endOffsetOf(const std::string &topic) { return Topics[topic].end(); }

  void setOutage(bool outage);
  bool Outage = false; ///< Answer each request with 503.

  /// Starts or ends a time in which no request is answered. Requests that are
  /// open at its start, or arrive in it, are never answered.
  void setSilent(bool silent);
  /// Number of appends to execute without an answer.
  uint64_t AnswersToLose = 0;
  uint64_t DelayMs = 0;            ///< Delay before each answer.
  uint64_t HistoryLimit = 1000000; ///< Number of records kept per topic.
  uint64_t Reads = 0;
  uint64_t Appends = 0;

private:
  struct Newest {
    std::string Value;
    uint64_t At = 0;
  };
  struct Topic {
    /// Record contents without the length prefix.
    std::deque<std::string> Records;
    uint64_t First = 0;
    std::map<std::string, Newest> Keys;
    uint64_t end() const { return First + Records.size(); }
  };

  boost::asio::awaitable<void> pause(std::chrono::milliseconds time);
  /// Waits until the client has closed the connection.
  boost::asio::awaitable<void> awaitGone(http::IncomingRequest &incoming);
  boost::asio::awaitable<http::Response> read(http::IncomingRequest &incoming);
  boost::asio::awaitable<void> awaitRecord(const std::string &topic,
                                           uint64_t from,
                                           std::chrono::milliseconds wait,
                                           http::IncomingRequest &incoming);
  http::Response append(const std::string &target, std::string_view body);
  http::Response newest(const std::string &target);
  void add(const std::string &topic, std::string content);
  void wake();

  boost::asio::io_context &Context;
  std::map<std::string, Topic> Topics;
  std::list<boost::asio::steady_timer *> Waiting;
  bool Silent = false;
  uint64_t Silences = 0; ///< Number of silent times so far.
};

} // namespace radishcross::standins
