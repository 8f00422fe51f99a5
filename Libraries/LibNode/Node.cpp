#include <LibNode/Node.h>

#include <LibBase/LastReason.h>
#include <LibBase/Logger.h>
#include <LibNode/NodeProcess.h>
#include <LibNode/SettingsFileWatcher.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <utility>

namespace radishcross::node {

namespace {

/// Starts the graceful shutdown on the first signal. Further signals change
/// nothing, so that an operator who repeats the signal cuts off no call.
void drainOnSignal(boost::asio::signal_set &signals, NodeProcess &node) {
  signals.async_wait([&signals, &node](boost::system::error_code ec, int) {
    if (ec)
      return;
    node.drainSelf();
    drainOnSignal(signals, node);
  });
}

} // namespace

base::ResultCode run(const admin::NodeSettings &settings,
                     const std::string &settingsPath, PlatformPorts ports) {
  // If the reader of the log goes away, calls must go on.
  std::signal(SIGPIPE, SIG_IGN);
  base::configureLog(settings.Log);
  boost::asio::io_context context(1);
  base::LastReason reason;
  // Until the settings file is watched, SIGHUP must not end the process.
  std::signal(SIGHUP, SIG_IGN);
  auto node = NodeProcess::create(context, settings, std::move(ports), reason);
  if (!node) {
    base::log(base::LogLevel::Error, "node cannot start",
              {{"reason", reason.line()}});
    base::flushLog();
    return reason.code();
  }
  boost::asio::signal_set signals(context, SIGTERM, SIGINT);
  drainOnSignal(signals, **node);
  SettingsFileWatcher file(context, settingsPath, settings,
                           [&](const admin::NodeSettings &changed) {
                             (*node)->settingsChanged(changed);
                           });
  (*node)->whenDrained([&context] { context.stop(); });
  base::log(base::LogLevel::Info, "node started",
            {{"calls", (*node)->callsAddress().text()},
             {"administration", settings.Administration.text()}});
  context.run();
  // Destroying the node writes the log lines of connections that are still
  // open.
  node->reset();
  base::log(base::LogLevel::Info, "node stopped");
  base::flushLog();
  return base::ResultCode::Ok;
}

} // namespace radishcross::node
