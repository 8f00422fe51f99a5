#include "Command.h"
#include "Flags.h"
#include "NodeApi.h"
#include "Output.h"

#include <LibAdmin/ApiRequest.h>
#include <LibAdmin/TextTable.h>

#include <absl/flags/flag.h>
#include <chrono>
#include <thread>
#include <unistd.h>

namespace radishcross::cli {

namespace {

namespace json = boost::json;
using base::ResultCode;

constexpr auto WatchPeriod = std::chrono::milliseconds(500);
constexpr std::string_view ClearScreen = "\x1b[H\x1b[2J";

/// Limits the table to one screen; lagging nodes are listed first.
constexpr size_t MaximumRows = 40;

std::string statusPath(const std::string &name) {
  if (name.empty())
    return "/v1/fleet-status";
  return "/v1/fleet-status?configuration=" + admin::percentEncode(name);
}

std::string summaryOf(const json::value &report) {
  std::string name = memberText(report, "configuration");
  return (name.empty() ? "all configurations" : name) + ": " +
         memberText(report, "current") + " of " +
         memberText(report, "selected") + " selected nodes are current; " +
         memberText(report, "reachable") + " of " +
         memberText(report, "nodes") + " nodes answered\n";
}

bool isLagging(const json::value &row) {
  auto standing = memberText(row, "standing");
  return standing == "behind" || standing == "waiting" ||
         standing == "unreachable";
}

void addRow(admin::TextTable &table, const json::value &row) {
  table.add({memberText(row, "node"), memberText(row, "data_centre"),
             memberText(row, "standing"), memberText(row, "version"),
             memberText(row, "wanted"),
             timeText(memberNumber(row, "since_unix_ms")),
             memberText(row, "offset"), memberText(row, "reason")});
}

/// Formats the report as text, with lagging nodes first.
std::string reportText(const json::value &report) {
  admin::TextTable table({"NODE", "DATA CENTRE", "STANDING", "VERSION",
                          "WANTED", "SINCE (UTC)", "OFFSET", "REASON"});
  const auto &rows = report.at("rows").as_array();
  size_t shown = 0;
  for (bool wantsLagging : {true, false}) {
    for (const auto &row : rows) {
      if (isLagging(row) != wantsLagging || shown == MaximumRows)
        continue;
      addRow(table, row);
      ++shown;
    }
  }
  std::string out = summaryOf(report) + table.text();
  if (shown < rows.size())
    out += "(" + std::to_string(rows.size() - shown) +
           " more; --json lists all)\n";
  return out;
}

ResultCode showRecordStatus(const std::string &id) {
  base::LastReason reason;
  auto answer = getFromNode("/v1/records/" + admin::percentEncode(id), reason);
  if (!answer)
    return printFailure(reason);
  if (isJsonOutput()) {
    printDocument(answer->Document);
    return ResultCode::Ok;
  }
  const auto &document = answer->Document;
  std::string line = memberText(document, "outcome") + ": " +
                     memberText(document, "configuration") + ", version " +
                     memberText(document, "version") + ", at offset " +
                     memberText(document, "offset");
  auto why = memberText(document, "reason");
  if (!why.empty())
    line += ": " + memberText(document, "code") + " " +
            memberText(document, "name") + ": " + why;
  print(line + "\n");
  return ResultCode::Ok;
}

/// Shows one report of a watch: redrawn on a terminal, otherwise one line per
/// change.
void showProgress(const json::value &report, std::string &last) {
  if (isJsonOutput()) {
    printDocument(report);
    return;
  }
  bool isTerminal = isatty(STDOUT_FILENO) == 1;
  std::string text = isTerminal ? reportText(report) : summaryOf(report);
  if (text == last)
    return;
  last = text;
  if (isTerminal)
    print(ClearScreen);
  print(text);
  std::fflush(stdout);
}

} // namespace

ResultCode status(const Arguments &arguments) {
  auto id = absl::GetFlag(FLAGS_record);
  if (!id.empty())
    return showRecordStatus(id);
  base::LastReason reason;
  auto answer =
      getFromNode(statusPath(arguments.empty() ? "" : arguments[0]), reason);
  if (!answer)
    return printFailure(reason);
  if (isJsonOutput())
    printDocument(answer->Document);
  else
    print(reportText(answer->Document));
  return ResultCode::Ok;
}

ResultCode watch(const Arguments &arguments) {
  using Clock = std::chrono::steady_clock;
  auto until =
      Clock::now() + std::chrono::seconds(absl::GetFlag(FLAGS_seconds));
  base::LastReason reason;
  std::string last;
  while (true) {
    auto answer = getFromNode(statusPath(arguments.at(0)), reason);
    if (!answer)
      return printFailure(reason);
    const auto &report = answer->Document;
    showProgress(report, last);
    if (memberNumber(report, "current") == memberNumber(report, "selected"))
      return ResultCode::Ok;
    if (Clock::now() >= until)
      break;
    std::this_thread::sleep_for(WatchPeriod);
  }
  reason.fail(ResultCode::NotConverged,
              "not every selected node holds its version after " +
                  std::to_string(absl::GetFlag(FLAGS_seconds)) + " s");
  return printFailure(reason);
}

} // namespace radishcross::cli
