#include <LibTrace/Ring.h>

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

std::vector<int64_t> timesOf(const std::vector<Entry> &entries) {
  std::vector<int64_t> out;
  out.reserve(entries.size());
  for (const auto &it : entries)
    out.push_back(it.AtMicroseconds);
  return out;
}

} // namespace

TEST_CASE("memory is bounded by entries and by bytes of text") {
  Ring ring({.Entries = 100, .TextBytes = 1000});
  for (int i = 0; i < 10000; ++i)
    ring.record(entryAt(i, Module::Fold, 0, std::string(i % 300, 'x')));
  CHECK(ring.size() <= 100);
  CHECK(ring.textBytes() <= 1000);
  CHECK(ring.size() + ring.dropped() == 10000);
  ring.record(entryAt(10000, Module::Fold, 0, std::string(1001, 'x')));
  CHECK(ring.size() + ring.dropped() == 10001);
  CHECK(ring.since(0).back().AtMicroseconds == 9999);
}

TEST_CASE("a window begins for each module with what sets it up") {
  Ring ring({.Entries = 100, .TextBytes = 1000});
  ring.record(entryAt(1, Module::Fold, SetUpEvent));
  ring.record(entryAt(2, Module::Fold, 1));
  ring.record(entryAt(3, Module::Admission, 1)); // Never set up in the ring.
  ring.record(entryAt(4, Module::Fold, SetUpEvent));
  ring.record(entryAt(5, Module::Fold, 1));
  ring.record(entryAt(6, Module::Quarantine, 1));
  ring.record(entryAt(7, Module::Quarantine, SetUpEvent));
  ring.record(entryAt(8, Module::Fold, 2));
  ring.record(entryAt(9, Module::Quarantine, 1));
  using Times = std::vector<int64_t>;
  CHECK(timesOf(ring.since(6)) == Times{4, 5, 7, 8, 9});
  CHECK(timesOf(ring.since(3)) == Times{1, 2, 4, 5, 7, 8, 9});
  CHECK(timesOf(ring.since(100)) == Times{4, 5, 7, 8, 9});
}

TEST_CASE("a module that reads another's state begins after it") {
  Ring ring({.Entries = 100, .TextBytes = 1000});
  ring.record(entryAt(1, Module::Snapshot, SetUpEvent));
  ring.record(entryAt(2, Module::Snapshot, 1));
  ring.record(entryAt(3, Module::Fold, SetUpEvent));
  ring.record(entryAt(4, Module::Snapshot, 1));
  ring.record(entryAt(5, Module::Snapshot, SetUpEvent));
  ring.record(entryAt(6, Module::Snapshot, 1));
  CHECK(timesOf(ring.since(2)) == std::vector<int64_t>{3, 5, 6});
}
