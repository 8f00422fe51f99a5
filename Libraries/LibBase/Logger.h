#pragma once

#include <LibBase/ResultCode.h>

#include <initializer_list>
#include <string>
#include <string_view>

namespace radishcross::base {

/// How log lines are written.
enum class LogFormat { Json, Plain };

/// How severe a log line is.
enum class LogLevel { Debug, Info, Warning, Error };

/// Set-up of the process's log; every line carries node and data centre.
struct LogSettings {
  LogLevel Level = LogLevel::Info;
  LogFormat Format = LogFormat::Json;
  std::string Node;
  std::string DataCentre;

  bool operator==(const LogSettings &) const = default;
};

/// One named value of a log line, for example {"version", "7"}.
struct LogField {
  std::string_view Name;
  std::string Value;
};

/// Sets up log4cplus to write to standard error.
void setUpLog(const LogSettings &settings);

/// Writes one line. \p event is a fixed phrase; what varies goes into fields.
void log(LogLevel level, std::string_view event,
         std::initializer_list<LogField> fields = {});

} // namespace radishcross::base
