#pragma once

#include <LibNode/LiveSettings.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <string>

namespace radishcross::node {

/// Reads a node's settings file again at SIGHUP, and every two seconds, since
/// it may change without a signal.
class SettingsFileWatcher {
public:
  using Changed = std::function<void(const admin::NodeSettings &)>;

  /// \p changed is called with what is in force after each change.
  SettingsFileWatcher(boost::asio::io_context &context, std::string path,
                      admin::NodeSettings inForce, Changed changed);

private:
  void armTimer();
  void awaitSignal();
  /// Returns whether the text was another one than at the last time.
  bool reload();

  std::string Path;
  LiveSettings Current;
  Changed OnChanged;
  boost::asio::signal_set Signals;
  boost::asio::steady_timer Timer;
  bool IsReadable = true;
};

} // namespace radishcross::node
