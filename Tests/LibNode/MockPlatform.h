#pragma once

#include <LibHttp/Server.h>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <memory>
#include <string>
#include <vector>

namespace radishcross::test {

/// The platform's log at its HTTP interface, in the test's own process.
class MockPlatform {
public:
  explicit MockPlatform(boost::asio::io_context &context);

  base::Address address() const { return Listener->address(); }
  size_t size() const { return Records.size(); }

  /// While true, every request is answered with 503.
  bool Outage = false;

private:
  boost::asio::awaitable<http::Response> handle(http::IncomingRequest request);

  std::vector<std::string> Records;
  std::shared_ptr<http::Server> Listener;
};

} // namespace radishcross::test
