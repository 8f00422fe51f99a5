#pragma once

#include <LibBase/Address.h>
#include <LibBase/Metrics.h>
#include <LibConfig/ExternalConfiguration.h>
#include <LibHttp/RepeatSchedule.h>
#include <LibLog/KeyedStore.h>

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string_view>
#include <vector>

namespace radishcross::node {

/// The interfaces that a node needs from the platform that it runs on.
struct PlatformPorts {
  std::function<std::unique_ptr<log::KeyedStore>(
      boost::asio::io_context &, std::vector<base::Address>, base::Metrics &,
      http::RepeatPolicy readPolicy)>
      OpenStore;
  /// Decodes a record of the operator's topic; returns nothing if it is not a
  /// valid version.
  std::function<std::optional<config::ExternalVersion>(std::string_view text,
                                                       base::LastReason &)>
      DecodeOperatorRecord;
  /// The key of that record in the operator's topic.
  std::string_view ConfigurationKey;
};

} // namespace radishcross::node
