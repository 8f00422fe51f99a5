#include <LibBase/Address.h>

#include <doctest/doctest.h>

using namespace radishcross::base;

TEST_CASE("IPv4 and IPv6 addresses with a port are parsed") {
  LastReason reason;
  auto v4 = parseAddress("127.0.0.1:9000", reason);
  REQUIRE(v4);
  CHECK(v4->text() == "127.0.0.1:9000");
  auto v6 = parseAddress("[::1]:80", reason);
  REQUIRE(v6);
  CHECK(v6->text() == "[::1]:80");
}

TEST_CASE("host names, missing ports and ports out of range are rejected") {
  for (const char *text :
       {"localhost:80", "127.0.0.1", "127.0.0.1:", ":80", "127.0.0.1:65536",
        "127.0.0.1:8x", "1.2.3.256:1", "127.0.0.1:99999999999999999999",
        "127.0.0.1:-1", "127.0.0.1:1e3", "127.0.0.1: 80", "127.0.0.1:+80",
        "127.0.0.1:80 ", "127.0.0.1:0x50", "", ":", "[]:80"}) {
    LastReason reason;
    CHECK_FALSE(parseAddress(text, reason));
    CHECK(reason.code() == ResultCode::BadAddress);
  }
}
