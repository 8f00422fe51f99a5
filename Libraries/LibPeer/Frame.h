#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <memory>
#include <optional>
#include <string>

namespace radishcross::peer {

/// Size of the length prefix of each message on a TCP connection, in bytes.
constexpr size_t FrameHeaderBytes = 4;

/// Writes one length-prefixed message; returns false if the connection failed.
boost::asio::awaitable<bool> writeFrame(boost::asio::ip::tcp::socket &socket,
                                        std::string body);

/// Reads one message of at most \p maximum bytes; returns nothing if the
/// connection failed or the message is larger. The buffer grows with the data
/// received, so a length prefix alone reserves no memory.
boost::asio::awaitable<std::optional<std::string>>
readFrame(boost::asio::ip::tcp::socket &socket, size_t maximum);

/// Closes a socket after a time limit, unless it is destroyed first.
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
