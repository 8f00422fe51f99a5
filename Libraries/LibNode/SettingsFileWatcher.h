#pragma once

#include <LibNode/LiveSettings.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <string>

namespace radishcross::node {

/// Reads a node's settings file again at SIGHUP, and every two seconds because
/// the file may change without a signal.
class SettingsFileWatcher {
public:
  using Changed = std::function<void(const admin::NodeSettings &)>;

  /// \p changed is called with the settings in force after each change.
  SettingsFileWatcher(boost::asio::io_context &context, std::string path,
                      admin::NodeSettings inForce, Changed changed);

private:
  void armTimer();
  void awaitSignal();
  /// Returns whether the text differed from the last one and, if valid, changed
  /// a setting.
  bool reload();

  std::string Path;
  LiveSettings Current;
  Changed OnChanged;
  boost::asio::signal_set Signals;
  boost::asio::steady_timer Timer;
  bool IsReadable = true;
};

} // namespace radishcross::node
