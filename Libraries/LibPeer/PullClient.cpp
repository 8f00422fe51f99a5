#include <LibPeer/Frame.h>
#include <LibPeer/PullClient.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/ip/address.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <exception>
#include <utility>

namespace radishcross::peer {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {
constexpr std::chrono::milliseconds PullTimeout{5000};
} // namespace

std::optional<PullAnswer> PullClient::open(const std::string &frame,
                                           const PullRequest &request) const {
  base::LastReason reason;
  auto body = Authenticator.open(frame, reason);
  if (!body)
    return std::nullopt;
  auto answer = decodePullAnswer(*body, reason);
  // The nonce detects late and replayed answers.
  if (!answer || answer->Nonce != request.Nonce || answer->Kind != request.Kind)
    return std::nullopt;
  return answer;
}

asio::awaitable<std::optional<std::string>> PullClient::ask(tcp::socket &socket,
                                                            std::string frame) {
  if (Closed)
    co_return std::nullopt;
  *Bytes.Sent += frame.size() + FrameHeaderBytes;
  if (!co_await writeFrame(socket, std::move(frame)))
    co_return std::nullopt;
  auto answered = co_await readFrame(socket, MaximumAnswerBytes +
                                                 MeshAuthenticator::TagBytes);
  if (answered && !Closed)
    *Bytes.Received += answered->size() + FrameHeaderBytes;
  co_return answered;
}

asio::awaitable<std::optional<PullAnswer>>
PullClient::exchange(base::Address peer, PullRequest request) {
  boost::system::error_code ec;
  tcp::endpoint endpoint(asio::ip::make_address(peer.Host, ec), peer.Port);
  if (ec)
    co_return std::nullopt;
  tcp::socket socket(Context);
  FrameDeadline deadline(socket, PullTimeout);
  co_await socket.async_connect(endpoint,
                                asio::redirect_error(asio::use_awaitable, ec));
  if (ec)
    co_return std::nullopt;
  auto answered =
      co_await ask(socket, Authenticator.seal(encodePullRequest(request)));
  if (!answered)
    co_return std::nullopt;
  co_return open(*answered, request);
}

void PullClient::pull(const base::Address &peer, PullRequest request,
                      Done done) {
  // The handler keeps the client alive until the exchange has ended.
  auto finish = [self = shared_from_this(),
                 done = std::move(done)](const std::exception_ptr &failure,
                                         std::optional<PullAnswer> answer) {
    if (failure)
      answer.reset();
    done(std::move(answer));
  };
  asio::post(Context, [this, peer, request = std::move(request),
                       finish = std::move(finish)]() mutable {
    asio::co_spawn(Context, exchange(peer, std::move(request)),
                   std::move(finish));
  });
}

} // namespace radishcross::peer
