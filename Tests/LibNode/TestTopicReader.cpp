#include <LibNode/TopicReader.h>

#include <doctest/doctest.h>
#include <optional>
#include <thread>

using namespace radishcross;
using namespace std::chrono_literals;

namespace {

/// A store whose answers are given by the test.
struct HeldStore final : log::KeyedStore {
  void put(log::Topic, std::string, std::string,
           std::function<void(log::PutAnswer)>) override {}
  void drop(log::Topic, std::vector<std::string>,
            std::function<void(log::PutAnswer)>) override {}
  void list(log::Topic, std::function<void(log::TopicAnswer)> done) override {
    Answer = std::move(done);
  }
  void follow(log::Topic, uint64_t, base::Duration,
              std::function<void(log::TopicAnswer)> done) override {
    Answer = std::move(done);
  }

  void answer(uint64_t end, std::vector<log::KeyedRecord> records) {
    log::TopicAnswer it;
    it.Reached = true;
    it.End = end;
    it.Records = std::move(records);
    auto done = std::move(Answer);
    done(std::move(it));
  }

  std::function<void(log::TopicAnswer)> Answer;
};

} // namespace

TEST_CASE("a read is taken to be answered when its answer arrives") {
  static constexpr base::Duration Wait = 20ms;
  boost::asio::io_context context(1);
  HeldStore store;
  std::optional<fleet::RecordReading> got;
  auto duty = [] {
    return fleet::ReadDuty{fleet::ReadDuty::Kind::Follow, Wait, {}, {}};
  };
  auto reader = node::TopicReader::start(
      context, store, log::Topic::Operator, 1,
      {[](const log::KeyedRecord &) {}, duty,
       [&](const fleet::RecordReading &it) { got = it; }});
  store.answer(1, {{0, "config", "1"}});
  REQUIRE(got);
  CHECK_FALSE(got->HeldUntil);
  // It arrives later than the store gave it.
  std::this_thread::sleep_for(Wait * 3);
  store.answer(1, {});
  CHECK(got->HeldUntil == got->StartedAt + Wait);
  // The store did not hold the read for as long as it may.
  store.answer(1, {});
  REQUIRE(got->HeldUntil);
  CHECK(*got->HeldUntil <= base::BootClock().now());
  // Records may have been written at any time since the read began.
  store.answer(2, {{1, "config", "2"}});
  CHECK_FALSE(got->HeldUntil);
}
