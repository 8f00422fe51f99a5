#pragma once

#include <LibConfig/ExternalConfiguration.h>
#include <LibFleet/NodeDirectory.h>
#include <LibNode/PlatformPorts.h>
#include <LibNode/TopicReader.h>

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>

namespace radishcross::node {

/// What one node reads from and keeps at the platform's store, apart from the
/// log of changes: the directory of nodes and the external configuration.
class PlatformLink {
public:
  struct Events {
    std::function<void(const base::Address &gossip)> NodeFound;
    std::function<void()> ConfigurationChanged;
  };

  PlatformLink(boost::asio::io_context &context, log::KeyedStore &store,
               const PlatformPorts &ports, fleet::DirectoryEntry self,
               Events events);

  /// Starts to read the directory and, where \p hasConfiguration, the
  /// operator's record.
  void start(bool hasConfiguration, uint64_t seed);

  /// Writes this node's entry where that is due.
  void tick(base::TimePoint now);

  const config::ExternalConfiguration &configuration() const {
    return External;
  }

private:
  void directoryRecord(const log::KeyedRecord &record);
  void operatorRecord(const log::KeyedRecord &record);

  boost::asio::io_context *Context;
  log::KeyedStore *Store;
  const PlatformPorts *Ports;
  fleet::NodeDirectory Directory;
  config::ExternalConfiguration External;
  Events OnEvent;
  std::shared_ptr<TopicReader> Nodes;
  std::shared_ptr<TopicReader> Operator;
  base::TimePoint NextWrite{};
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace radishcross::node
