#include "Command.h"
#include "Flags.h"
#include "NodeApi.h"
#include "Output.h"

#include <LibAdmin/Players.h>
#include <LibTrace/TraceText.h>

#include <absl/flags/flag.h>
#include <chrono>
#include <fstream>
#include <iterator>

namespace radishcross::cli {

namespace {

namespace json = boost::json;
using base::ResultCode;

/// Returns the administration address for \p from, which is an address or a
/// member's id.
std::optional<std::string> addressOf(const std::string &from,
                                     base::LastReason &reason) {
  if (from.empty() || from.find(':') != std::string::npos)
    return from;
  auto answer = getFromNode("/v1/members", reason);
  if (!answer)
    return std::nullopt;
  for (const auto &it : answer->Document.at("members").as_array())
    if (memberText(it, "node") == from)
      return memberText(it, "administration");
  return reason.fail(ResultCode::NotFound, "no member is named " + from);
}

std::optional<std::string> readFile(const std::string &path,
                                    base::LastReason &reason) {
  std::ifstream file(path, std::ios::binary);
  if (!file)
    return reason.fail(ResultCode::FileUnreadable,
                       path + ": the file cannot be opened");
  return std::string(std::istreambuf_iterator<char>(file), {});
}

/// Result of replaying one trace.
struct Result {
  std::string Path;
  std::vector<trace::Module> LeftOut; ///< Modules that the recording left out.
  trace::ReplayReport Report;
  double Seconds = 0;
};

std::string entriesPerSecond(const Result &result) {
  double rate = result.Seconds > 0
                    ? static_cast<double>(result.Report.Played) / result.Seconds
                    : 0;
  return std::to_string(static_cast<uint64_t>(rate));
}

void printJson(const Result &result) {
  json::object notPlayed;
  for (const auto &[module, n] : result.Report.NotPlayed)
    notPlayed[base::nameOf(trace::ModuleNames, module)] = n;
  json::array leftOut;
  for (auto module : result.LeftOut)
    leftOut.emplace_back(base::nameOf(trace::ModuleNames, module));
  json::object out{{"trace", result.Path},
                   {"left_out", std::move(leftOut)},
                   {"played", result.Report.Played},
                   {"not_played", std::move(notPlayed)},
                   {"seconds", result.Seconds},
                   {"agrees", !result.Report.FirstDifference.has_value()}};
  if (result.Report.FirstDifference)
    out["difference"] =
        trace::describeDifference(*result.Report.FirstDifference);
  printDocument(out);
}

void printText(const Result &result) {
  print(result.Path + ": " + std::to_string(result.Report.Played) +
        " entries played, " + entriesPerSecond(result) + " a second, " +
        (result.Report.FirstDifference ? "one differs" : "all outcomes agree") +
        "\n");
  for (auto module : result.LeftOut)
    print("  not recorded whole: " +
          std::string(base::nameOf(trace::ModuleNames, module)) + "\n");
  for (const auto &[module, n] : result.Report.NotPlayed)
    print("  not played: " + std::to_string(n) + " entries of " +
          std::string(base::nameOf(trace::ModuleNames, module)) + "\n");
  if (result.Report.FirstDifference)
    print("  " + trace::describeDifference(*result.Report.FirstDifference) +
          "\n");
}

ResultCode replayFile(const trace::Replay &players, const std::string &path) {
  base::LastReason reason;
  auto text = readFile(path, reason);
  if (!text)
    return printFailure(reason);
  auto trace = trace::readTrace(*text, reason);
  if (!trace) {
    reason.fail(reason.code(), path + ": " + std::string(reason.text()));
    return printFailure(reason);
  }
  Result result;
  result.Path = path;
  result.LeftOut = trace->LeftOut;
  auto start = std::chrono::steady_clock::now();
  result.Report = players.run(*trace);
  std::chrono::duration<double> taken =
      std::chrono::steady_clock::now() - start;
  result.Seconds = taken.count();
  if (isJsonOutput())
    printJson(result);
  else
    printText(result);
  return result.Report.FirstDifference ? ResultCode::TraceDiffers
                                       : ResultCode::Ok;
}

} // namespace

ResultCode record(const Arguments &) {
  base::LastReason reason;
  auto where = addressOf(absl::GetFlag(FLAGS_from), reason);
  if (!where)
    return printFailure(reason);
  auto answer = getFromNode("/v1/recording?seconds=" +
                                std::to_string(absl::GetFlag(FLAGS_seconds)),
                            reason, *where);
  if (!answer)
    return printFailure(reason);
  auto trace = trace::readTrace(answer->Text, reason);
  if (!trace)
    return printFailure(reason);
  trace->About = absl::GetFlag(FLAGS_about);
  print(trace::writeTrace(*trace));
  return ResultCode::Ok;
}

ResultCode replay(const Arguments &arguments) {
  auto players = admin::allPlayers();
  auto worst = ResultCode::Ok;
  for (const auto &path : arguments) {
    auto code = replayFile(players, path);
    if (code != ResultCode::Ok)
      worst = code;
  }
  return worst;
}

} // namespace radishcross::cli
