#include <LibBase/Random.h>
#include <LibTrace/Replay.h>
#include <LibTrace/TraceText.h>

#include <chrono>
#include <doctest/doctest.h>

using namespace radishcross;
using namespace radishcross::trace;
using base::ResultCode;

namespace {

/// Sums its inputs; the set-up event sets the initial value.
class SumPlayer final : public Player {
public:
  Outcome play(const Entry &entry) override {
    Sum = entry.Event == SetUpEvent ? entry.Numbers[0] : Sum + entry.Numbers[0];
    return {Sum, static_cast<int64_t>(entry.Text.size())};
  }
  std::string_view eventName(uint8_t event) const override {
    return event == SetUpEvent ? "set up" : "add";
  }

private:
  int64_t Sum = 0;
};

Trace sumTrace(size_t entries) {
  Trace out{"north-1", 7, "sums must agree", {}, {Module::Quarantine}};
  SumPlayer player;
  for (size_t i = 0; i < entries; ++i) {
    Entry entry;
    entry.AtMicroseconds = static_cast<int64_t>(i) * 10;
    entry.Source = Module::Admission;
    entry.Event = i == 0 ? SetUpEvent : 1;
    entry.Numbers[0] = static_cast<int64_t>(i) - 3;
    entry.Text = i % 2 == 0 ? "a\"\n" : "\xff\x01";
    entry.Decided = player.play(entry);
    out.Entries.push_back(std::move(entry));
  }
  return out;
}

Replay sumReplay() {
  return Replay([] {
    Replay::Players out;
    out[Module::Admission] = std::make_unique<SumPlayer>();
    return out;
  });
}

ResultCode codeOf(const std::string &text) {
  base::LastReason reason;
  auto trace = readTrace(text, reason);
  CHECK(trace.has_value() == (reason.code() == ResultCode::Ok));
  return reason.code();
}

std::string replaced(std::string text, std::string_view from,
                     std::string_view to) {
  size_t at = text.find(from);
  REQUIRE(at != std::string::npos);
  return text.replace(at, from.size(), to);
}

} // namespace

TEST_CASE(
    "a trace survives writing and reading, and replays without a difference") {
  auto trace = sumTrace(50);
  base::LastReason reason;
  auto read = readTrace(writeTrace(trace), reason);
  INFO(reason.line());
  REQUIRE(read);
  CHECK(read->Node == "north-1");
  CHECK(read->Seed == 7);
  CHECK(read->About == "sums must agree");
  CHECK(read->LeftOut == trace.LeftOut);
  REQUIRE(read->Entries.size() == 50);
  CHECK(read->Entries[1].Text == "\xff\x01");
  auto report = sumReplay().run(*read);
  CHECK(report.Played == 50);
  CHECK_FALSE(report.FirstDifference);
}

TEST_CASE("the first difference is described") {
  auto trace = sumTrace(5);
  trace.Entries[3].Decided[0] += 1;
  trace.Entries[4].Decided[0] += 1;
  auto report = sumReplay().run(trace);
  REQUIRE(report.FirstDifference);
  CHECK(report.Played == 4);
  auto line = describeDifference(*report.FirstDifference);
  CHECK(line.find("entry 4, at 30 us, module admission, event 1 (add)") !=
        std::string::npos);
  CHECK(line.find("decided [-6, 2, 0, 0], recorded [-5, 2, 0, 0]") !=
        std::string::npos);
}

TEST_CASE("entries of modules without a player are counted") {
  auto trace = sumTrace(4);
  trace.Entries[1].Source = Module::Quarantine;
  auto report = sumReplay().run(trace);
  CHECK(report.NotPlayed == std::map<Module, size_t>{{Module::Quarantine, 1}});
}

TEST_CASE("100,000 entries are replayed per second") {
  constexpr size_t EntriesPerSecond = 100000;
  auto trace = sumTrace(2 * EntriesPerSecond);
  auto start = std::chrono::steady_clock::now();
  auto report = sumReplay().run(trace);
  CHECK(std::chrono::steady_clock::now() - start < std::chrono::seconds(2));
  CHECK(report.Played == trace.Entries.size());
}

TEST_CASE("each kind of damage to a trace has its result code") {
  auto text = writeTrace(sumTrace(4));
  size_t closing = text.rfind("{\"entries\"");
  CHECK(codeOf(text) == ResultCode::Ok);
  CHECK(codeOf(text.substr(0, text.size() - 1)) == ResultCode::Ok);
  CHECK(codeOf("") == ResultCode::TraceMalformed);
  CHECK(codeOf("{}\n") == ResultCode::TraceMalformed);
  CHECK(codeOf(replaced(text, "_trace\":1", "_trace\":2")) ==
        ResultCode::TraceTooNew);
  CHECK(codeOf(replaced(text, "\"out\":[-3", "\"out\":[-4")) ==
        ResultCode::TraceAltered);
  for (size_t n : {text.find('\n') + 1, closing - 5, closing, text.size() - 3})
    CHECK(codeOf(text.substr(0, n)) == ResultCode::TraceTruncated);
}

TEST_CASE("a truncated or altered trace is never accepted") {
  auto text = writeTrace(sumTrace(6));
  base::Random random(11);
  for (int i = 0; i < 20000; ++i) {
    auto damaged = text;
    size_t at = random.below(text.size() - 1);
    if (random.below(2) == 0)
      damaged.resize(at);
    else
      damaged[at] = static_cast<char>(damaged[at] ^ (1 + random.below(255)));
    base::LastReason reason;
    CAPTURE(at);
    REQUIRE_FALSE(readTrace(damaged, reason));
  }
}

TEST_CASE("any entry survives writing and reading") {
  base::Random random(5);
  Trace trace{"n", 0, "", {}, {}};
  for (int i = 0; i < 2000; ++i) {
    Entry entry;
    entry.AtMicroseconds = static_cast<int64_t>(random.next());
    entry.Source = ModuleNames[random.below(std::size(ModuleNames))].Value;
    entry.Event = static_cast<uint8_t>(random.next());
    for (auto &it : entry.Numbers)
      it = static_cast<int64_t>(random.below(2) * random.next());
    for (auto &it : entry.Decided)
      it = static_cast<int64_t>(random.below(2) * random.next());
    for (uint64_t n = random.below(20); n > 0; --n)
      entry.Text.push_back(static_cast<char>(random.next()));
    trace.Entries.push_back(std::move(entry));
  }
  base::LastReason reason;
  auto read = readTrace(writeTrace(trace), reason);
  INFO(reason.line());
  REQUIRE(read);
  CHECK(read->Entries == trace.Entries);
}
