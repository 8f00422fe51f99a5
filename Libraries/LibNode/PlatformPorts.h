#pragma once

#include <LibBase/Address.h>
#include <LibBase/Metrics.h>
#include <LibConfig/ExternalConfiguration.h>
#include <LibHttp/RepeatSchedule.h>
#include <LibLog/KeyedStore.h>
#include <LibRollout/RolloutTypes.h>

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
  /// Prefix of the keys of orders and of the states of roll-outs.
  std::string_view RolloutKeyPrefix;
  /// Decodes an order; its service has the operator's name.
  std::function<std::optional<rollout::Order>(
      std::string_view key, std::string_view text, base::LastReason &)>
      DecodeRolloutOrder;
  /// Encode and decode the state of a roll-out.
  std::function<std::string(const rollout::Progress &)> EncodeRolloutStatus;
  std::function<std::optional<rollout::Progress>(std::string_view text,
                                                 base::LastReason &)>
      DecodeRolloutStatus;
};

} // namespace radishcross::node
