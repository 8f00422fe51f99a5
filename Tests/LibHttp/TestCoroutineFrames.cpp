#include <boost/asio/detail/config.hpp>
#include <doctest/doctest.h>

TEST_CASE("coroutine frames are not allocated with std::aligned_alloc") {
  // g++ 12 warns of that where it inlines only a part of it, which depends on
  // the code around each coroutine.
#ifdef BOOST_ASIO_HAS_STD_ALIGNED_ALLOC
  FAIL("Asio uses std::aligned_alloc");
#endif
}
