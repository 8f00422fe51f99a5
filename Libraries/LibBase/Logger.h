#pragma once

#include <LibBase/ResultCode.h>

#include <cstdint>
#include <initializer_list>
#include <map>
#include <string>
#include <string_view>
#include <unistd.h>

namespace radishcross::base {

/// Output format of log lines.
enum class LogFormat { Json, Plain };

/// Severity of a log line.
enum class LogLevel { Debug, Info, Warning, Error };

/// Configuration of the process's log. Every line carries the node and its
/// data centre.
struct LogSettings {
  LogLevel Level = LogLevel::Info;
  LogFormat Format = LogFormat::Json;
  std::string Node;
  std::string DataCentre;
  int Descriptor = STDOUT_FILENO;

  bool operator==(const LogSettings &) const = default;
};

/// One named value of a log line, for example {"version", "7"}.
struct LogField {
  std::string_view Name;
  std::string Value;
};

/// Size of the buffer for a slow reader, in bytes; lines that do not fit are
/// dropped.
constexpr size_t LogBufferBytes = 256UL << 10;

/// Configures or reconfigures the process's log; buffered lines are kept.
/// Nothing is logged before the first call. Logging never blocks on the reader.
void configureLog(const LogSettings &settings);

/// Writes buffered lines as far as the reader accepts them, and logs how many
/// lines were dropped. Called periodically and before the process exits.
void flushLog();

/// Returns the number of lines dropped since the descriptor was set.
uint64_t droppedLogLines();

/// Returns the dropped lines by event. The map stays small, as events are
/// fixed phrases.
std::map<std::string, uint64_t> droppedLogLinesByEvent();

/// Returns whether lines of \p level are logged.
bool isLogged(LogLevel level);

/// Logs one line. \p event is a fixed phrase; variable values go into
/// \p fields.
void log(LogLevel level, std::string_view event,
         std::initializer_list<LogField> fields = {});

} // namespace radishcross::base
