#include <LibTrace/RingRecorder.h>

#include <doctest/doctest.h>

using namespace radishcross::trace;

namespace {

Entry entryAt(int64_t at, Module source, uint8_t event, std::string text = "") {
  Entry out;
  out.AtMicroseconds = at;
  out.Source = source;
  out.Event = event;
  out.Text = std::move(text);
  return out;
}

std::vector<int64_t> timesOf(const RingRecorder &ring, int64_t from) {
  auto entries = ring.since(from);
  std::vector<int64_t> out;
  out.reserve(entries.size());
  for (const auto &it : entries)
    out.push_back(it.AtMicroseconds);
  return out;
}

} // namespace

TEST_CASE("memory is bounded by the number of entries and by text bytes") {
  RingRecorder ring({.Entries = 100, .TextBytes = 1000});
  for (int i = 0; i < 10000; ++i)
    ring.record(entryAt(i, Module::Fold, 0, std::string(i % 300, 'x')));
  CHECK(ring.size() <= 100);
  CHECK(ring.textBytes() <= 1000);
  CHECK(ring.size() + ring.dropped() == 10000);
  ring.record(entryAt(10000, Module::Fold, 0, std::string(1001, 'x')));
  CHECK(ring.size() + ring.dropped() == 10001);
  CHECK(ring.recording("n", 0, 0).Entries.back().AtMicroseconds == 9999);
}

TEST_CASE("a recorder with zero limits keeps nothing") {
  RingRecorder ring({.Entries = 0, .TextBytes = 0});
  ring.record(entryAt(1, Module::Fold, SetUpEvent));
  CHECK(ring.size() == 0);
  CHECK(ring.dropped() == 1);
  CHECK(ring.recording("n", 0, 0).Entries.empty());
}

TEST_CASE("a recording starts each module with its set-up entry") {
  RingRecorder ring({.Entries = 100, .TextBytes = 1000});
  ring.record(entryAt(1, Module::Fold, SetUpEvent));
  ring.record(entryAt(2, Module::Fold, 1));
  ring.record(entryAt(3, Module::Admission, 1)); // Has no set-up event.
  ring.record(entryAt(4, Module::Fold, SetUpEvent));
  ring.record(entryAt(5, Module::Fold, 1));
  ring.record(entryAt(6, Module::CallPlan, 1));
  ring.record(entryAt(7, Module::CallPlan, SetUpEvent));
  ring.record(entryAt(8, Module::Fold, 2));
  using Times = std::vector<int64_t>;
  CHECK(timesOf(ring, 6) == Times{3, 4, 5, 7, 8});
  CHECK(timesOf(ring, 3) == Times{1, 2, 3, 4, 5, 7, 8});
  CHECK(timesOf(ring, 100) == Times{3, 4, 5, 7, 8});
  CHECK(ring.recording("n", 0, 6).LeftOut ==
        std::vector<Module>{Module::CallPlan});
}

TEST_CASE("a module whose first entry was dropped is left out and named") {
  RingRecorder ring({.Entries = 4, .TextBytes = 1000});
  ring.record(entryAt(1, Module::Admission, 0));
  ring.record(entryAt(2, Module::Fold, SetUpEvent));
  for (int i = 3; i < 6; ++i)
    ring.record(entryAt(i, Module::Admission, 1));
  CHECK(timesOf(ring, 0) == std::vector<int64_t>{2});
  CHECK(ring.recording("n", 0, 0).LeftOut ==
        std::vector<Module>{Module::Admission});
}

TEST_CASE("a module that reads another's state starts after it") {
  RingRecorder ring({.Entries = 100, .TextBytes = 1000});
  ring.record(entryAt(1, Module::Snapshot, SetUpEvent));
  ring.record(entryAt(2, Module::Snapshot, 1));
  ring.record(entryAt(3, Module::Fold, SetUpEvent));
  ring.record(entryAt(4, Module::Snapshot, 1));
  ring.record(entryAt(5, Module::Snapshot, SetUpEvent));
  ring.record(entryAt(6, Module::Snapshot, 1));
  CHECK(timesOf(ring, 2) == std::vector<int64_t>{3, 5, 6});
}
