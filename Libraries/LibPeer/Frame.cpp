#include <LibPeer/Frame.h>

#include <algorithm>
#include <array>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/endian/conversion.hpp>
#include <cstdint>
#include <memory>

namespace radishcross::peer {

namespace asio = boost::asio;

namespace {
constexpr auto UseTuple = asio::as_tuple(asio::use_awaitable);
constexpr size_t ReadStepBytes = 64UL << 10;
} // namespace

struct FrameDeadline::State {
  explicit State(asio::ip::tcp::socket &socket)
      : Timer(socket.get_executor()), Socket(&socket) {}
  asio::steady_timer Timer;
  asio::ip::tcp::socket *Socket; ///< Null once the deadline is cancelled.
};

FrameDeadline::FrameDeadline(asio::ip::tcp::socket &socket,
                             std::chrono::milliseconds limit)
    : Shared(std::make_shared<State>(socket)) {
  Shared->Timer.expires_after(limit);
  Shared->Timer.async_wait([state = Shared](boost::system::error_code ec) {
    if (ec || !state->Socket)
      return;
    boost::system::error_code ignored;
    state->Socket->close(ignored);
  });
}

FrameDeadline::~FrameDeadline() {
  Shared->Socket = nullptr;
  Shared->Timer.cancel();
}

asio::awaitable<bool> writeFrame(asio::ip::tcp::socket &socket,
                                 std::string body) {
  std::array<unsigned char, FrameHeaderBytes> header{};
  boost::endian::store_big_u32(header.data(),
                               static_cast<uint32_t>(body.size()));
  std::array<asio::const_buffer, 2> buffers{asio::buffer(header),
                                            asio::buffer(body)};
  auto [ec, n] = co_await asio::async_write(socket, buffers, UseTuple);
  co_return !ec;
}

asio::awaitable<std::optional<std::string>>
readFrame(asio::ip::tcp::socket &socket, size_t maximum) {
  std::array<unsigned char, FrameHeaderBytes> header{};
  auto [ec, n] =
      co_await asio::async_read(socket, asio::buffer(header), UseTuple);
  if (ec)
    co_return std::nullopt;
  size_t size = boost::endian::load_big_u32(header.data());
  if (size > maximum)
    co_return std::nullopt;
  std::string body;
  while (body.size() < size) {
    size_t have = body.size();
    body.resize(std::min(size, have + ReadStepBytes));
    auto [stepError, stepBytes] = co_await asio::async_read(
        socket, asio::buffer(body.data() + have, body.size() - have), UseTuple);
    if (stepError)
      co_return std::nullopt;
  }
  co_return body;
}

} // namespace radishcross::peer
