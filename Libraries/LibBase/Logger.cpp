#include <LibBase/LogWriter.h>
#include <LibBase/Logger.h>

#include <chrono>
#include <functional>
#include <map>
#include <mutex>

namespace radishcross::base {

namespace {

/// Fewer buffered bytes than this wait for the next flush, so that one write
/// covers several lines.
constexpr size_t FlushThresholdBytes = 4096;
/// Limit of the "events" field of the line that reports dropped lines.
constexpr size_t MaxEventsTextBytes = 512;

/// State of the process's log.
struct State {
  State() { Settings.Descriptor = -1; }

  std::mutex Lock;
  LogSettings Settings;
  LogWriter Writer{-1, 0};
  uint64_t DroppedLines = 0;
  std::map<std::string, uint64_t, std::less<>> DroppedByEvent;
  std::map<std::string, uint64_t, std::less<>>
      UnreportedByEvent;      ///< Since the last report.
  uint64_t ReportedDrops = 0; ///< Dropped lines already reported.
};

State &state() {
  static State it;
  return it;
}

struct LevelRow {
  LogLevel Level;
  std::string_view Name;
};

constexpr LevelRow Levels[] = {
    {LogLevel::Debug, "debug"},
    {LogLevel::Info, "info"},
    {LogLevel::Warning, "warning"},
    {LogLevel::Error, "error"},
};

const LevelRow &rowOf(LogLevel level) {
  return Levels[static_cast<size_t>(level)];
}

/// Returns the length of the UTF-8 character that \p text begins with; 0 if
/// there is none.
size_t characterLength(std::string_view text) {
  struct Row {
    unsigned char First; ///< Lowest first byte of a character of this length.
    unsigned char LowestSecond;
    size_t Length;
  };
  // A lower second byte would be an overlong form.
  constexpr Row Rows[] = {{0xF1, 0x80, 4},
                          {0xF0, 0x90, 4},
                          {0xE1, 0x80, 3},
                          {0xE0, 0xA0, 3},
                          {0xC2, 0x80, 2}};
  auto byteAt = [&](size_t at) { return static_cast<unsigned char>(text[at]); };
  auto first = byteAt(0);
  for (const auto &row : Rows) {
    if (first < row.First)
      continue;
    // A higher one would be a surrogate, or beyond the last character.
    unsigned char highest = first == 0xED ? 0x9F : first == 0xF4 ? 0x8F : 0xBF;
    if (first > 0xF4 || text.size() < row.Length ||
        byteAt(1) < row.LowestSecond || byteAt(1) > highest)
      return 0;
    for (size_t it = 2; it < row.Length; ++it)
      if ((byteAt(it) & 0xC0U) != 0x80U)
        return 0;
    return row.Length;
  }
  return 0;
}

/// Appends a text as a JSON string. Serialising through the JSON library costs
/// several times as much, which matters when an overload logs thousands of
/// refused calls.
void appendJsonString(std::string &out, std::string_view text) {
  constexpr std::string_view Digits = "0123456789abcdef";
  constexpr std::string_view ReplacementCharacter = "\\ufffd";
  out += '"';
  for (size_t it = 0; it < text.size(); ++it) {
    char c = text[it];
    auto byte = static_cast<unsigned char>(c);
    if (byte >= 0x80) {
      size_t length = characterLength(text.substr(it));
      out += length > 0 ? text.substr(it, length) : ReplacementCharacter;
      it += length > 0 ? length - 1 : 0;
    } else if (c == '"' || c == '\\') {
      out += '\\';
      out += c;
    } else if (byte < 0x20) {
      out += "\\u00";
      out += Digits[byte >> 4U];
      out += Digits[byte & 15U];
    } else {
      out += c;
    }
  }
  out += '"';
}

void appendField(std::string &out, std::string_view name,
                 std::string_view value) {
  out += ',';
  appendJsonString(out, name);
  out += ':';
  appendJsonString(out, value);
}

std::string jsonLine(const LogSettings &settings, const LevelRow &row,
                     std::string_view event,
                     std::initializer_list<LogField> fields) {
  constexpr size_t TypicalLineBytes = 640;
  auto micros = std::chrono::duration_cast<std::chrono::microseconds>(
      std::chrono::system_clock::now().time_since_epoch());
  std::string line;
  line.reserve(TypicalLineBytes);
  line += "{\"time_us\":";
  line += std::to_string(micros.count());
  appendField(line, "level", row.Name);
  appendField(line, "node", settings.Node);
  appendField(line, "data_centre", settings.DataCentre);
  appendField(line, "event", event);
  for (const auto &it : fields)
    appendField(line, it.Name, it.Value);
  line += '}';
  return line;
}

std::string plainLine(const LogSettings &settings, const LevelRow &row,
                      std::string_view event,
                      std::initializer_list<LogField> fields) {
  std::string line = std::string(row.Name) + " " + settings.Node + "/" +
                     settings.DataCentre + " " + std::string(event);
  for (const auto &it : fields)
    line += " " + std::string(it.Name) + "=" + it.Value;
  return line;
}

std::string lineOf(const LogSettings &settings, LogLevel level,
                   std::string_view event,
                   std::initializer_list<LogField> fields) {
  const auto &row = rowOf(level);
  return settings.Format == LogFormat::Json
             ? jsonLine(settings, row, event, fields)
             : plainLine(settings, row, event, fields);
}

/// Returns "event: lines" of each event with dropped lines, cut off at
/// MaxEventsTextBytes.
std::string droppedEventsText(const State &log) {
  std::string out;
  for (const auto &[event, lines] : log.UnreportedByEvent) {
    auto next = event + ": " + std::to_string(lines);
    if (out.size() + next.size() > MaxEventsTextBytes)
      return out + ", ...";
    out += (out.empty() ? "" : ", ") + next;
  }
  return out;
}

/// Logs how many lines were dropped since the last report, once the buffer has
/// room for it.
void reportDrops(State &log) {
  uint64_t unreported = log.DroppedLines - log.ReportedDrops;
  if (unreported == 0)
    return;
  auto line = lineOf(log.Settings, LogLevel::Warning, "log lines dropped",
                     {{"lines", std::to_string(unreported)},
                      {"events", droppedEventsText(log)}});
  if (!log.Writer.add(line))
    return;
  log.ReportedDrops = log.DroppedLines;
  log.UnreportedByEvent.clear();
}

void countDropped(State &log, std::string_view event) {
  ++log.DroppedLines;
  for (auto *counts : {&log.DroppedByEvent, &log.UnreportedByEvent}) {
    auto it = counts->find(event);
    if (it == counts->end())
      it = counts->emplace(event, 0).first;
    ++it->second;
  }
}

} // namespace

void configureLog(const LogSettings &settings) {
  auto &log = state();
  std::lock_guard guard(log.Lock);
  bool isSameDescriptor = log.Settings.Descriptor == settings.Descriptor;
  log.Settings = settings;
  if (isSameDescriptor)
    return;
  log.Writer.flush();
  log.Writer = LogWriter(settings.Descriptor, LogBufferBytes);
  log.DroppedLines = 0;
  log.ReportedDrops = 0;
  log.DroppedByEvent.clear();
  log.UnreportedByEvent.clear();
}

bool isLogged(LogLevel level) {
  auto &log = state();
  std::lock_guard guard(log.Lock);
  return log.Settings.Descriptor >= 0 && level >= log.Settings.Level;
}

void log(LogLevel level, std::string_view event,
         std::initializer_list<LogField> fields) {
  auto &log = state();
  std::lock_guard guard(log.Lock);
  if (log.Settings.Descriptor < 0 || level < log.Settings.Level)
    return;
  reportDrops(log);
  if (!log.Writer.add(lineOf(log.Settings, level, event, fields)))
    countDropped(log, event);
  // A buffer of at least twice the threshold has a slow reader; only
  // flushLog() tries it again.
  bool isUrgent = level == LogLevel::Error;
  size_t bufferedBytes = log.Writer.bufferedBytes();
  if (isUrgent || (bufferedBytes >= FlushThresholdBytes &&
                   bufferedBytes < 2 * FlushThresholdBytes))
    log.Writer.flush();
}

void flushLog() {
  auto &log = state();
  std::lock_guard guard(log.Lock);
  log.Writer.flush();
  reportDrops(log);
  log.Writer.flush();
}

uint64_t droppedLogLines() {
  auto &log = state();
  std::lock_guard guard(log.Lock);
  return log.DroppedLines;
}

std::map<std::string, uint64_t> droppedLogLinesByEvent() {
  auto &log = state();
  std::lock_guard guard(log.Lock);
  return {log.DroppedByEvent.begin(), log.DroppedByEvent.end()};
}

} // namespace radishcross::base
