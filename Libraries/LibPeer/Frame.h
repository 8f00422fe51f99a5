#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <memory>
#include <optional>
#include <string>

namespace radishcross::peer {

/// Bytes of the length that goes ahead of each message on a TCP connection.
constexpr size_t FrameHeaderBytes = 4;

/// Writes one message; returns false when the connection failed.
boost::asio::awaitable<bool> writeFrame(boost::asio::ip::tcp::socket &socket,
                                        std::string body);

/// Reads one message of at most \p maximum bytes; returns nothing when the
/// connection failed or the message is larger. The buffer grows with what has
/// arrived, so that a length alone reserves no memory.
boost::asio::awaitable<std::optional<std::string>>
readFrame(boost::asio::ip::tcp::socket &socket, size_t maximum);

/// Closes a socket when its time is over, unless it is stopped before.
class FrameDeadline {
public:
  FrameDeadline(boost::asio::ip::tcp::socket &socket,
                std::chrono::milliseconds limit);
  ~FrameDeadline();
  FrameDeadline(const FrameDeadline &) = delete;
  FrameDeadline &operator=(const FrameDeadline &) = delete;

private:
  struct State;
  std::shared_ptr<State> Shared;
};

} // namespace radishcross::peer
