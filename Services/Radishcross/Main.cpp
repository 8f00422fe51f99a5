#include "CommandLine.h"

#include <algorithm>
#include <cstdio>

namespace {

using namespace radishcross;

int exitCodeOf(base::ResultCode code) { return base::describe(code).ExitCode; }

int fail(const base::LastReason &reason) {
  std::fprintf(stderr, "error: %s\n", reason.line().c_str());
  return exitCodeOf(reason.code());
}

int print(const std::string &text) {
  std::fputs(text.c_str(), stdout);
  return 0;
}

bool asksForHelp(std::span<char *> words) {
  return std::any_of(words.begin(), words.end(), [](std::string_view word) {
    return word == "--help" || word == "-h";
  });
}

} // namespace

int main(int argc, char **argv) {
  std::span<char *> words(argv + 1, static_cast<size_t>(std::max(0, argc - 1)));
  std::string first = words.empty() ? "help" : words[0];
  if (first == "help" || first == "--help" || first == "-h")
    return print(cli::programHelp());
  if (first == "--version")
    return print("radishcross " RADISHCROSS_VERSION "\n");
  base::LastReason reason;
  const auto *command = cli::findCommand(first, reason);
  if (!command)
    return fail(reason);
  if (asksForHelp(words.subspan(1)))
    return print(cli::commandHelp(*command));
  auto arguments = cli::parseArguments(*command, words.subspan(1), reason);
  if (!arguments)
    return fail(reason);
  return exitCodeOf(command->Run(*arguments));
}
