#include "CommandLine.h"

#include <LibAdmin/NearestName.h>
#include <LibAdmin/TextTable.h>

#include <absl/flags/commandlineflag.h>
#include <absl/flags/reflection.h>
#include <algorithm>

namespace radishcross::cli {

namespace {

using base::ResultCode;

constexpr std::string_view CommonFlags[] = {"node", "token", "json"};
constexpr std::string_view Dashes = "--";

/// Commands that connect to no node; they accept neither --node nor --token.
constexpr std::string_view OfflineCommands[] = {"node", "check", "schema",
                                                "replay", "explain"};

std::vector<std::string> flagsOf(const Command &command) {
  std::vector<std::string> out(command.Flags.begin(), command.Flags.end());
  bool isOffline =
      std::find(std::begin(OfflineCommands), std::end(OfflineCommands),
                command.Name) != std::end(OfflineCommands);
  for (auto it : CommonFlags)
    if (!isOffline || it == "json")
      out.emplace_back(it);
  return out;
}

/// Returns the Abseil flag for \p name on the command line. Abseil defines
/// "version" itself, so --version is registered as "version_number".
absl::CommandLineFlag *findFlag(std::string name) {
  if (name == "version")
    name = "version_number";
  std::replace(name.begin(), name.end(), '-', '_');
  return absl::FindCommandLineFlag(name);
}

std::string suggestion(const std::string &word,
                       const std::vector<std::string> &names,
                       std::string_view prefix) {
  auto nearest = admin::nearestName(word, names);
  if (nearest.empty())
    return "";
  return "; did you mean " + std::string(prefix) + nearest + "?";
}

bool fail(base::LastReason &reason, std::string text) {
  reason.fail(ResultCode::UsageError, std::move(text));
  return false;
}

/// Sets the flag at \p words[i]; advances \p i if the value is a separate
/// word.
bool setFlag(const Command &command, std::span<char *> words, size_t &i,
             base::LastReason &reason) {
  std::string word = std::string(words[i]).substr(Dashes.size());
  size_t equals = word.find('=');
  std::string name = word.substr(0, equals);
  auto known = flagsOf(command);
  if (std::find(known.begin(), known.end(), name) == known.end())
    return fail(reason, "radishcross " + std::string(command.Name) +
                            " has no flag --" + name +
                            suggestion(name, known, Dashes));
  auto *flag = findFlag(name);
  if (!flag)
    return fail(reason, "the flag --" + name + " is not registered");
  std::string value = "true";
  if (equals != std::string::npos) {
    value = word.substr(equals + 1);
  } else if (!flag->IsOfType<bool>()) {
    if (i + 1 == words.size())
      return fail(reason, "--" + name + " needs a value");
    value = words[++i];
  }
  std::string error;
  if (flag->ParseFrom(value, &error))
    return true;
  std::replace(error.begin(), error.end(), '\n', ' ');
  return fail(reason, "--" + name + ": " + error);
}

bool checkCount(const Command &command, const Arguments &arguments,
                base::LastReason &reason) {
  if (arguments.size() >= command.MinimumArguments &&
      arguments.size() <= command.MaximumArguments)
    return true;
  return fail(reason, "found " + std::to_string(arguments.size()) +
                          " arguments, expected: radishcross " +
                          std::string(command.Name) + " " +
                          std::string(command.Parameters));
}

} // namespace

std::optional<Arguments> parseArguments(const Command &command,
                                        std::span<char *> words,
                                        base::LastReason &reason) {
  Arguments arguments;
  bool flagsEnded = false;
  for (size_t i = 0; i < words.size(); ++i) {
    std::string_view word = words[i];
    if (word == Dashes && !flagsEnded)
      flagsEnded = true;
    else if (flagsEnded || !word.starts_with(Dashes))
      arguments.emplace_back(word);
    else if (!setFlag(command, words, i, reason))
      return std::nullopt;
  }
  if (!checkCount(command, arguments, reason))
    return std::nullopt;
  return arguments;
}

const Command *findCommand(std::string_view name, base::LastReason &reason) {
  std::vector<std::string> names;
  for (const auto &it : commands()) {
    if (it.Name == name)
      return &it;
    names.emplace_back(it.Name);
  }
  fail(reason, "there is no command \"" + std::string(name) + "\"" +
                   suggestion(std::string(name), names, ""));
  return nullptr;
}

std::string commandHelp(const Command &command) {
  std::string out = "radishcross " + std::string(command.Name);
  if (!command.Parameters.empty())
    out += " " + std::string(command.Parameters);
  out += " [flags]\n\n" + std::string(command.Summary) + "\n\nFlags:\n";
  admin::TextTable table({});
  for (const auto &name : flagsOf(command))
    if (auto *flag = findFlag(name))
      table.add({"  --" + name, flag->Help()});
  out += table.text().substr(1);
  out += "\nExample:\n  " + std::string(command.Example) + "\n";
  return out;
}

std::string programHelp() {
  std::string out =
      "radishcross distributes configuration over a service mesh.\n\n"
      "radishcross COMMAND [arguments] [flags]\n\nCommands:\n";
  admin::TextTable table({});
  for (const auto &it : commands())
    table.add({"  " + std::string(it.Name),
               std::string(it.Summary.substr(0, it.Summary.find(". ")))});
  out += table.text().substr(1);
  out += "\nradishcross COMMAND --help shows its flags and an example.\n"
         "Exit codes are listed in docs/RESULT-CODES.md.\n";
  return out;
}

} // namespace radishcross::cli
