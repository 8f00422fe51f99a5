#include <LibNode/SettingsFileWatcher.h>

#include <LibBase/Logger.h>

#include <chrono>
#include <csignal>
#include <fstream>
#include <iterator>
#include <utility>

namespace radishcross::node {

namespace {

constexpr std::chrono::seconds PollInterval{2};

std::string joinNames(const std::vector<std::string> &names) {
  std::string out;
  for (const auto &it : names)
    out += (out.empty() ? "" : ",") + it;
  return out;
}

} // namespace

SettingsFileWatcher::SettingsFileWatcher(boost::asio::io_context &context,
                                         std::string path,
                                         admin::NodeSettings inForce,
                                         Changed changed)
    : Path(std::move(path)), Current(std::move(inForce)),
      OnChanged(std::move(changed)), Signals(context, SIGHUP), Timer(context) {
  reload();
  awaitSignal();
  armTimer();
}

void SettingsFileWatcher::armTimer() {
  Timer.expires_after(PollInterval);
  Timer.async_wait([this](boost::system::error_code ec) {
    if (ec)
      return;
    reload();
    armTimer();
  });
}

void SettingsFileWatcher::awaitSignal() {
  Signals.async_wait([this](boost::system::error_code ec, int) {
    if (ec)
      return;
    if (!reload())
      base::log(base::LogLevel::Info, "settings reread", {{"changed", "no"}});
    awaitSignal();
  });
}

bool SettingsFileWatcher::reload() {
  std::ifstream file(Path, std::ios::binary);
  std::string text{std::istreambuf_iterator<char>(file), {}};
  bool isReadable = file && !text.empty();
  if (isReadable != std::exchange(IsReadable, isReadable) && !isReadable)
    base::log(base::LogLevel::Error, "settings file cannot be read",
              {{"path", Path}});
  if (!isReadable)
    return false;
  base::LastReason reason;
  auto update = Current.update(text, reason);
  if (update.What == SettingsUpdate::Kind::Rejected)
    base::log(base::LogLevel::Error, "settings refused",
              {{"path", Path}, {"reason", reason.line()}});
  if (update.What != SettingsUpdate::Kind::Applied)
    return update.What != SettingsUpdate::Kind::Unchanged;
  const auto &difference = update.Difference;
  if (difference.Live.empty() && difference.Restart.empty())
    return false;
  if (!difference.Live.empty())
    OnChanged(Current.inForce());
  base::log(difference.Restart.empty() ? base::LogLevel::Info
                                       : base::LogLevel::Warning,
            "settings changed",
            {{"applied", joinNames(difference.Live)},
             {"needs_restart", joinNames(difference.Restart)}});
  return true;
}

} // namespace radishcross::node
