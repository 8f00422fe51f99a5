#include <LibNode/DepartureStore.h>
#include <LibNode/FakeStore.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <doctest/doctest.h>
#include <optional>
#include <utility>

using namespace radishcross;
using namespace std::chrono_literals;

namespace {

struct StoreFixture {
  boost::asio::io_context Context{1};
  test::StoreContent Content;
  test::StoreBehaviour Behaviour = test::StoreBehaviour::Serves;
  test::FakeStore Store{Context, Content, Behaviour};
  std::optional<fleet::Departures> Restored;
  std::optional<node::DepartureStore> Departures;
  base::TimePoint Now{};

  StoreFixture() {
    Departures.emplace(Store, "n1",
                       [this](const auto &it, const auto &) { Restored = it; });
  }

  void tick(base::Duration passed = 0s) {
    Now += passed;
    Departures->tick(Now);
    Context.restart();
    Context.run_for(30ms);
  }

  bool isWritten() const {
    const auto it = Content.Topics.find(log::Topic::Departures);
    return it != Content.Topics.end() && !it->second.Records.empty();
  }
};

} // namespace

TEST_CASE("the wait for the store ends with the write, or with its limit") {
  // Guards against an acknowledgement that precedes what makes it last.
  for (auto behaviour :
       {test::StoreBehaviour::Serves, test::StoreBehaviour::Refuses}) {
    StoreFixture it;
    it.Behaviour = behaviour;
    const bool isServing = behaviour == test::StoreBehaviour::Serves;
    it.Departures->setDesired({{"t", 5}});
    bool isDone = false;
    boost::asio::co_spawn(
        it.Context,
        [&]() -> boost::asio::awaitable<void> {
          co_await it.Departures->awaitStored(isServing ? 1h : 300ms);
          isDone = true;
        },
        boost::asio::detached);
    it.Context.run_for(20ms);
    CHECK_FALSE(isDone);
    it.tick();
    CHECK(isDone == isServing);
    CHECK(it.isWritten() == isServing);
    it.Context.restart();
    it.Context.run_for(400ms);
    CHECK(isDone);
  }
}

TEST_CASE("nothing is written over departures that have not been read") {
  // Guards against a restarted node that erases what it has not yet recalled.
  StoreFixture it;
  it.Content.write(log::Topic::Departures, "n1", R"({"old":3})");
  it.Behaviour = test::StoreBehaviour::Refuses;
  it.Departures->load();
  it.Departures->setDesired({{"new", 5}});
  it.tick();
  it.Behaviour = test::StoreBehaviour::Serves;
  it.tick(100ms);
  CHECK_FALSE(it.Departures->isLoaded());
  CHECK(it.Content.Topics[log::Topic::Departures].Records.size() == 1);
  it.tick(1s);
  CHECK(it.Departures->isLoaded());
  CHECK(it.Restored == fleet::Departures{{"old", 3}});
  it.Departures->setDesired({{"new", 5}, {"old", 3}});
  it.tick();
  CHECK(it.Content.Topics[log::Topic::Departures].Records.back().Value ==
        R"({"new":5,"old":3})");
}

TEST_CASE("a store that does not answer is asked less and less often") {
  // Guards against restarted nodes that keep a failing store busy.
  StoreFixture it;
  it.Behaviour = test::StoreBehaviour::Refuses;
  it.Departures->load();
  auto countReads = [&](int seconds) {
    size_t out = 0;
    for (int n = 0; n < seconds; ++n) {
      it.tick(1s);
      out += std::exchange(it.Store.Lists, 0);
    }
    return out;
  };
  CHECK(countReads(60) <= 7);
  it.Departures->setDesired({{"t", 5}});
  CHECK(countReads(2) >= 1);
}

TEST_CASE("items of a stored record that cannot be read are left out") {
  CHECK(node::decodeDepartures(R"({"a":1,"b":"x","c":-1,"d":0,"e":2})") ==
        fleet::Departures{{"a", 1}, {"e", 2}});
  for (const char *it : {"", "[1]", "{", "7", R"({"a":1.5})"})
    CHECK(node::decodeDepartures(it).empty());
}
