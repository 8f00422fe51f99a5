#pragma once

#include <LibBase/Random.h>
#include <LibLog/KeyedStore.h>

#include <algorithm>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace radishcross::log {

/// Model of one topic of the platform's store, without time. Pending calls are
/// executed step by step in a pseudo-random order that the seed determines.
/// Answers may be lost, calls may be refused or take effect late, and the pages
/// of a listing are not a consistent snapshot.
class ModelStore final : public KeyedStore {
public:
  explicit ModelStore(uint64_t seed) : Generator(seed) {}

  void put(Topic, std::string key, std::string value,
           std::function<void(PutAnswer)> done) override {
    write({{std::move(key), std::move(value)}}, std::move(done));
  }

  void drop(Topic, std::vector<std::string> keys,
            std::function<void(PutAnswer)> done) override {
    Pairs pairs;
    for (auto &it : keys)
      pairs.emplace_back(std::move(it), "");
    write(std::move(pairs), std::move(done));
  }

  void list(Topic, std::function<void(TopicAnswer)> done) override {
    defer([this, done = std::move(done)] {
      TopicAnswer answer;
      answer.Reached = !isLost();
      answer.End = Records.size();
      answer.Unreadable = UnreadableItems;
      if (!answer.Reached)
        return done(answer);
      page(std::move(answer), "", done);
    });
  }

  void follow(Topic, uint64_t from, base::Duration,
              std::function<void(TopicAnswer)> done) override {
    defer([this, from, done = std::move(done)] {
      TopicAnswer answer;
      bool isLost = this->isLost();
      answer.Expired = !isLost && from < First;
      answer.Reached = !isLost && !answer.Expired;
      answer.End = Records.size();
      for (auto at = from; answer.Reached && at < Records.size(); ++at) {
        if (answer.Records.size() >= MaximumRecordsPerRead)
          break;
        answer.Records.push_back(Records[at]);
      }
      done(answer);
    });
  }

  /// Executes one pending call.
  void step() {
    if (Pending.empty())
      return;
    auto n = Generator.below(Pending.size());
    std::swap(Pending[n], Pending.back());
    auto it = std::move(Pending.back());
    Pending.pop_back();
    it();
  }

  /// Drops the history before an offset; the newest record of each key stays.
  void forgetHistory(uint64_t before) { First = std::max(First, before); }

  size_t pending() const { return Pending.size(); }

  /// Writes a record immediately.
  void append(const std::string &key, const std::string &value) {
    Records.push_back({Records.size(), key, value});
    if (value.empty())
      Newest.erase(key);
    else
      Newest[key] = Records.back().At;
  }

  std::vector<KeyedRecord> Records; ///< All records ever written.
  std::map<std::string, uint64_t> Newest;
  uint64_t First = 0;
  size_t KeysPerPage = 40;
  size_t UnreadableItems = 0; ///< Items of each listing not to be decoded.
  uint32_t LossPercent = 0; ///< Share of calls that are refused or unanswered.

private:
  using Pairs = std::vector<std::pair<std::string, std::string>>;

  static constexpr size_t MaximumRecordsPerRead = 300;

  void defer(std::function<void()> action) {
    Pending.push_back(std::move(action));
  }

  bool isLost() { return Generator.below(100) < LossPercent; }

  void append(const Pairs &pairs) {
    for (const auto &[key, value] : pairs)
      append(key, value);
  }

  void write(Pairs pairs, std::function<void(PutAnswer)> done) {
    defer([this, pairs = std::move(pairs), done = std::move(done)] {
      PutAnswer answer;
      if (!isLost()) {
        answer.Outcome = PutAnswer::Kind::Accepted;
        answer.At = Records.size();
        append(pairs);
        return done(answer);
      }
      // Refused, executed without an answer, or executed later without an
      // answer.
      auto way = Generator.below(3);
      if (way == 0)
        answer.Outcome = PutAnswer::Kind::Refused;
      if (way == 1)
        append(pairs);
      if (way == 2)
        defer([this, pairs] { append(pairs); });
      done(answer);
    });
  }

  void page(TopicAnswer answer, const std::string &after,
            const std::function<void(TopicAnswer)> &done) {
    auto it = Newest.upper_bound(after);
    std::string last;
    for (size_t n = 0; it != Newest.end() && n < KeysPerPage; ++n, ++it) {
      answer.Records.push_back(Records[it->second]);
      last = it->first;
    }
    if (it == Newest.end())
      return done(answer);
    defer([this, answer = std::move(answer), last, done] {
      page(answer, last, done);
    });
  }

  base::Random Generator;
  std::vector<std::function<void()>> Pending;
};

} // namespace radishcross::log
