#include <LibPeer/Frame.h>

#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>

using namespace radishcross;
namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

/// Returns what is read from a connection that brings \p bytes and then ends.
std::optional<std::string> readFrom(const std::string &bytes, bool resets) {
  asio::io_context context(1);
  tcp::acceptor acceptor(context, {asio::ip::make_address("127.0.0.1"), 0});
  tcp::socket far(context);
  far.connect(acceptor.local_endpoint());
  tcp::socket near = acceptor.accept();
  asio::write(far, asio::buffer(bytes));
  if (resets)
    far.set_option(asio::socket_base::linger(true, 0));
  far.close();
  std::optional<std::string> out;
  asio::co_spawn(context, peer::readFrame(near, 1 << 20),
                 [&](const std::exception_ptr &error, auto got) {
                   REQUIRE_FALSE(error);
                   out = std::move(got);
                 });
  context.run();
  return out;
}

} // namespace

TEST_CASE("a frame that is cut at any byte is not read") {
  constexpr size_t BodyBytes = 300;
  const std::string body(BodyBytes, 'x');
  std::string frame("\0\0\1\x2c", peer::FrameHeaderBytes);
  frame.append(body);
  for (bool resets : {false, true}) {
    CAPTURE(resets);
    CHECK(readFrom(frame, resets) == body);
    for (size_t n = 0; n < frame.size(); ++n) {
      CAPTURE(n);
      CHECK_FALSE(readFrom(frame.substr(0, n), resets));
    }
  }
}
