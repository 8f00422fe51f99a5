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

/// Rows that matter when all is well need not fill the screen.
constexpr size_t MaximumRows = 40;

std::string targetFor(const std::string &name) {
  if (name.empty())
    return "/v1/fleet-status";
  return "/v1/fleet-status?configuration=" + admin::percentEncode(name);
}

std::string summaryOf(const json::value &report) {
  std::string name = cell(report, "configuration");
  return (name.empty() ? "all configurations" : name) + ": " +
         cell(report, "current") + " of " + cell(report, "selected") +
         " selected nodes are current; " + cell(report, "reachable") + " of " +
         cell(report, "nodes") + " nodes answered\n";
}

bool isMissing(const json::value &row) {
  auto standing = cell(row, "standing");
  return standing == "behind" || standing == "waiting" ||
         standing == "unreachable";
}

void addRow(admin::TextTable &table, const json::value &row) {
  table.add({cell(row, "node"), cell(row, "data_centre"), cell(row, "standing"),
             cell(row, "version"), cell(row, "wanted"),
             timeText(numberOf(row, "since_unix_ms")), cell(row, "offset"),
             cell(row, "reason")});
}

/// Returns the report for people: who is missing comes first.
std::string screenOf(const json::value &report) {
  admin::TextTable table({"NODE", "DATA CENTRE", "STANDING", "VERSION",
                          "WANTED", "SINCE (UTC)", "OFFSET", "REASON"});
  const auto &rows = report.at("rows").as_array();
  size_t shown = 0;
  for (bool wantsMissing : {true, false}) {
    for (const auto &row : rows) {
      if (isMissing(row) != wantsMissing || shown == MaximumRows)
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

ResultCode statusOfRecord(const std::string &id) {
  base::LastReason reason;
  auto answer = getFromNode("/v1/records/" + admin::percentEncode(id), reason);
  if (!answer)
    return printFailure(reason);
  if (isForMachines()) {
    printDocument(answer->Document);
    return ResultCode::Ok;
  }
  const auto &document = answer->Document;
  std::string line = cell(document, "outcome") + ": " +
                     cell(document, "configuration") + ", version " +
                     cell(document, "version") + ", at offset " +
                     cell(document, "offset");
  auto why = cell(document, "reason");
  if (!why.empty())
    line += ": " + cell(document, "code") + " " + cell(document, "name") +
            ": " + why;
  print(line + "\n");
  return ResultCode::Ok;
}

/// Shows one report of a watch: redrawn on a terminal, else a line a change.
void showProgress(const json::value &report, std::string &last) {
  if (isForMachines()) {
    printDocument(report);
    return;
  }
  bool isTerminal = isatty(STDOUT_FILENO) == 1;
  std::string text = isTerminal ? screenOf(report) : summaryOf(report);
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
    return statusOfRecord(id);
  base::LastReason reason;
  auto answer =
      getFromNode(targetFor(arguments.empty() ? "" : arguments[0]), reason);
  if (!answer)
    return printFailure(reason);
  if (isForMachines())
    printDocument(answer->Document);
  else
    print(screenOf(answer->Document));
  return ResultCode::Ok;
}

ResultCode watch(const Arguments &arguments) {
  using Clock = std::chrono::steady_clock;
  auto until =
      Clock::now() + std::chrono::seconds(absl::GetFlag(FLAGS_seconds));
  base::LastReason reason;
  std::string last;
  while (true) {
    auto answer = getFromNode(targetFor(arguments.at(0)), reason);
    if (!answer)
      return printFailure(reason);
    const auto &report = answer->Document;
    showProgress(report, last);
    if (numberOf(report, "current") == numberOf(report, "selected"))
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
