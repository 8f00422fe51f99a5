#include <LibAdmission/FloodModel.h>

#include <doctest/doctest.h>
#include <iostream>
#include <tuple>

using namespace radishcross;
using namespace radishcross::calls;
using namespace radishcross::balance;
using namespace radishcross::admission;
using namespace radishcross::calls::testing;

namespace {

/// By rank: offered share of the capacity without a flood.
constexpr double QuietShare[] = {0.15, 0.2, 0.15};
constexpr double FloodFactor = 10;

FloodCase quietCase(uint32_t slots, bool exponential) {
  FloodCase out;
  out.Slots = slots;
  out.Exponential = exponential;
  const double capacity = slots * 1e6 / static_cast<double>(out.Mean.count());
  for (size_t rank = 0; rank < config::RankCount; ++rank)
    out.Offered[rank] = QuietShare[rank] * capacity;
  return out;
}

FloodCase floodOf(Rank rank, uint32_t slots, bool exponential) {
  auto out = quietCase(slots, exponential);
  const double capacity = slots * 1e6 / static_cast<double>(out.Mean.count());
  out.Offered[static_cast<size_t>(rank)] = FloodFactor * capacity;
  return out;
}

double seconds(base::Duration it) {
  return static_cast<double>(it.count()) / 1e6;
}

void print(const char *name, const FloodCase &what,
           std::array<FloodOutcome, config::RankCount> &outcomes) {
  std::cout << name << " slots=" << what.Slots
            << (what.Exponential ? " exponential" : " uniform");
  for (size_t rank = 0; rank < config::RankCount; ++rank) {
    auto &it = outcomes[rank];
    std::cout << " | " << config::RankNames[rank].Name
              << " offered=" << it.Offered << " answered=" << it.Answered
              << " refused=" << it.Refused << " p99_us=" << it.percentile99()
              << " slot_time_s=" << seconds(it.SlotTime);
  }
  std::cout << "\n";
}

} // namespace

TEST_CASE("a flood of background calls does not slow down the other ranks") {
  for (const uint32_t slots : {6U, 9U}) {
    for (const bool exponential : {false, true}) {
      CAPTURE(slots);
      CAPTURE(exponential);
      const auto quiet = quietCase(slots, exponential);
      const auto flood = floodOf(Rank::Background, slots, exponential);
      auto before = FloodModel(quiet).run();
      auto during = FloodModel(flood).run();
      print("quiet", quiet, before);
      print("background flood", flood, during);
      for (size_t rank = 0; rank < 2; ++rank) {
        CHECK(during[rank].Refused == 0);
        CHECK(during[rank].percentile99() <=
              before[rank].percentile99() * 3 / 2);
      }
      CHECK(during[2].LongestRefusal <= 200ms);
    }
  }
}

TEST_CASE(
    "a flood of critical calls leaves the floors and the goodput intact") {
  for (const uint32_t slots : {6U, 9U}) {
    for (const bool exponential : {false, true}) {
      CAPTURE(slots);
      CAPTURE(exponential);
      const auto flood = floodOf(Rank::Critical, slots, exponential);
      auto during = FloodModel(flood).run();
      print("critical flood", flood, during);
      const double slotTime = slots * seconds(flood.Length);
      const auto share = [&](size_t rank) {
        return seconds(during[rank].SlotTime) / slotTime;
      };
      CHECK(share(1) >= 0.10);
      CHECK(share(2) >= 0.05);
      uint64_t answered = 0;
      for (const auto &it : during)
        answered += it.Answered;
      CHECK(static_cast<double>(answered) * seconds(flood.Mean) >=
            0.95 * slotTime);
      CHECK(during[0].LongestRefusal <= 200ms);
    }
  }
}

TEST_CASE("the limit is reduced only if the target cannot run all its slots") {
  auto flood = floodOf(Rank::Standard, 9, false);
  for (const auto &[capacity, least, most] :
       {std::tuple{9.0, 9U, 9U}, std::tuple{2.0, 2U, 6U}}) {
    flood.Capacity = capacity;
    FloodModel model(flood);
    model.run();
    CHECK(model.limit() >= least);
    CHECK(model.limit() <= most);
  }
}
