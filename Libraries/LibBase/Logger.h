#pragma once

#include <LibBase/ResultCode.h>

#include <cstdint>
#include <initializer_list>
#include <map>
#include <string>
#include <string_view>
#include <unistd.h>

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
  int Descriptor = STDOUT_FILENO;

  bool operator==(const LogSettings &) const = default;
};

/// One named value of a log line, for example {"version", "7"}.
struct LogField {
  std::string_view Name;
  std::string Value;
};

/// Lines that wait for a slow reader, in bytes; what does not fit is dropped.
constexpr size_t LogBufferBytes = 256UL << 10;

/// Sets up the process's log, or changes it; lines that wait stay. Nothing is
/// written before. Writing never waits for the log's reader.
void configureLog(const LogSettings &settings);

/// Writes the lines that are kept, as far as the reader takes them, and tells
/// how many were dropped. Called periodically and before the end.
void flushLog();

/// Returns the lines that were dropped since the descriptor was set.
uint64_t droppedLogLines();

/// The same by event. Events are fixed phrases, so there are few.
std::map<std::string, uint64_t> droppedLogLinesByEvent();

/// Tells whether lines of \p level are written at all.
bool isLogged(LogLevel level);

/// Writes one line. \p event is a fixed phrase; what varies goes into fields.
void log(LogLevel level, std::string_view event,
         std::initializer_list<LogField> fields = {});

} // namespace radishcross::base
