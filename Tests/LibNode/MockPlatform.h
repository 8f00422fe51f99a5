#pragma once

#include <StandIns/StoreModel.h>

#include <boost/asio/io_context.hpp>
#include <memory>

namespace radishcross::test {

/// The platform's store at its HTTP interface, in the test's own process.
class MockPlatform {
public:
  explicit MockPlatform(boost::asio::io_context &context);

  base::Address address() const { return Listener->address(); }

  /// Returns the number of changes in the log.
  size_t size() { return Store.endOffsetOf("keyed.radishcross-changes"); }

  standins::StoreModel Store;

private:
  std::shared_ptr<http::Server> Listener;
};

} // namespace radishcross::test
