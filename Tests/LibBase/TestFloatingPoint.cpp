#include <doctest/doctest.h>

TEST_CASE("a product and a sum are rounded one after the other") {
  // A fused multiply-add, which only some architectures have, leaves 2^-60.
  volatile double factor = 1 + 0x1p-30;
  volatile double product = factor * factor;
  CHECK(factor * factor - product == 0);
}
