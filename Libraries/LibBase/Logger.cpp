#include <LibBase/Logger.h>

#include <boost/json.hpp>
#include <chrono>
#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>

namespace radishcross::base {

namespace {

LogSettings Current;

struct LevelRow {
  LogLevel Level;
  log4cplus::LogLevel Native;
  std::string_view Name;
};

constexpr LevelRow Levels[] = {
    {LogLevel::Debug, log4cplus::DEBUG_LOG_LEVEL, "debug"},
    {LogLevel::Info, log4cplus::INFO_LOG_LEVEL, "info"},
    {LogLevel::Warning, log4cplus::WARN_LOG_LEVEL, "warning"},
    {LogLevel::Error, log4cplus::ERROR_LOG_LEVEL, "error"},
};

const LevelRow &rowOf(LogLevel level) {
  return Levels[static_cast<size_t>(level)];
}

std::string jsonLine(const LevelRow &row, std::string_view event,
                     std::initializer_list<LogField> fields) {
  auto micros = std::chrono::duration_cast<std::chrono::microseconds>(
      std::chrono::system_clock::now().time_since_epoch());
  boost::json::object line;
  line["time_us"] = micros.count();
  line["level"] = row.Name;
  line["node"] = Current.Node;
  line["data_centre"] = Current.DataCentre;
  line["event"] = event;
  for (const auto &it : fields)
    line[it.Name] = it.Value;
  return boost::json::serialize(line);
}

std::string plainLine(const LevelRow &row, std::string_view event,
                      std::initializer_list<LogField> fields) {
  std::string line = std::string(row.Name) + " " + Current.Node + "/" +
                     Current.DataCentre + " " + std::string(event);
  for (const auto &it : fields)
    line += " " + std::string(it.Name) + "=" + it.Value;
  return line;
}

} // namespace

void setUpLog(const LogSettings &settings) {
  static log4cplus::Initializer initializer;
  Current = settings;
  auto root = log4cplus::Logger::getRoot();
  root.removeAllAppenders();
  log4cplus::SharedAppenderPtr appender(
      new log4cplus::ConsoleAppender(true, true));
  appender->setLayout(std::make_unique<log4cplus::PatternLayout>("%m%n"));
  root.addAppender(appender);
  root.setLogLevel(rowOf(settings.Level).Native);
}

void log(LogLevel level, std::string_view event,
         std::initializer_list<LogField> fields) {
  if (level < Current.Level)
    return;
  const auto &row = rowOf(level);
  auto line = Current.Format == LogFormat::Json ? jsonLine(row, event, fields)
                                                : plainLine(row, event, fields);
  log4cplus::Logger::getRoot().log(row.Native, line);
}

} // namespace radishcross::base
