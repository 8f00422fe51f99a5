#include <LibCalls/LimitedTarget.h>

#include <doctest/doctest.h>

using namespace radishcross;
using namespace radishcross::calls;
using namespace radishcross::calls::testing;

namespace {

constexpr auto Window = 4s;

/// Calls that a target may get in a Window.
size_t allowed(MilliRate limit) {
  return static_cast<size_t>(limit * 3 / 2 * Window.count() / 1000 + 5);
}

} // namespace

TEST_CASE("a target gets more calls than the rate limit that it states") {
  for (const MilliRate limit : {0, 100, 2'000, 16'600, 24'200}) {
    CAPTURE(limit);
    LimitedTarget it(limit);
    it.run(1s, 20ms);
    it.Starts.clear();
    it.run(20s, 20ms);
    CHECK(it.mostStarts(Window) <= allowed(limit));
    // Less than the target accepts would be a loss to its callers.
    CHECK(it.Starts.size() + 5 >= static_cast<size_t>(limit / 50));
  }
}
