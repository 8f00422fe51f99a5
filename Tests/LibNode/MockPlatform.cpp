#include <LibNode/MockPlatform.h>

#include <doctest/doctest.h>

namespace radishcross::test {

MockPlatform::MockPlatform(boost::asio::io_context &context) : Store(context) {
  base::LastReason reason;
  auto server = http::Server::create(
      context, {"127.0.0.1", 0}, {},
      [this](http::IncomingRequest request) {
        return Store.handle(std::move(request));
      },
      reason);
  REQUIRE_MESSAGE(server, reason.text());
  Listener = *server;
}

} // namespace radishcross::test
