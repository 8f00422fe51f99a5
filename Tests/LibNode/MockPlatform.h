#pragma once

#include <StandIns/StoreModel.h>

#include <boost/asio/io_context.hpp>
#include <memory>

namespace radishcross::test {

/// Serves the platform's store over HTTP in the process of the test.
class MockPlatform {
public:
  explicit MockPlatform(boost::asio::io_context &context);

  base::Address address() const { return Listener->address(); }

  /// Returns the end offset of the log of changes. A dropped key takes an
  /// offset too.
  size_t size() { return Store.endOffsetOf("keyed.radishcross-changes"); }

  standins::StoreModel Store;

private:
  std::shared_ptr<http::Server> Listener;
};

} // namespace radishcross::test
