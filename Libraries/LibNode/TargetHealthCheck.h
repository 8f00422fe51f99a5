#pragma once

#include <LibAdmission/TargetLeases.h>
#include <LibBase/Address.h>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <string_view>

namespace radishcross::node {

/// Asks targets that may have left whether they have, at the health path of
/// their service. A target that is leaving answers there with a failure.
class TargetHealthCheck {
public:
  /// Returns the health path of a service; empty if it has none.
  using HealthPathOf = std::function<std::string(std::string_view service)>;

  /// \p onProven is called when a target has proved that it is alive.
  TargetHealthCheck(boost::asio::io_context &context,
                    admission::TargetLeases &leases, HealthPathOf checkPathOf,
                    std::function<void()> onProven);

  /// Asks each target in doubt that is not being asked. Targets of a service
  /// without a health path are believed.
  void ask();

private:
  static constexpr base::Duration Timeout = std::chrono::seconds(1);

  boost::asio::awaitable<void> check(fleet::TargetRecord target,
                                     std::string checkPath);

  boost::asio::io_context *Context;
  admission::TargetLeases *Leases;
  HealthPathOf FindHealthPath;
  std::function<void()> OnProven;
  std::set<std::string> BeingAsked; ///< Ids of targets.
  std::shared_ptr<bool> LifetimeToken = std::make_shared<bool>(true);
};

} // namespace radishcross::node
