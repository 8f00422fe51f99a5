#include "StandIns.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <algorithm>
#include <charconv>
#include <cstdio>
#include <vector>

ABSL_FLAG(std::string, listen, "127.0.0.1:0", "IP:PORT to listen on");
ABSL_FLAG(uint64_t, seed, 1, "seed of all random choices");

namespace radishcross::standins {

namespace {

struct Subcommand {
  std::string_view Name;
  int (*Run)();
};

constexpr Subcommand Subcommands[] = {
    {"platform", runPlatform},
    {"target", runTarget},
    {"load", runLoad},
};

} // namespace

uint64_t queryNumber(std::string_view target, std::string_view name,
                     uint64_t fallback) {
  size_t at = target.find('?');
  while (at != std::string_view::npos) {
    target.remove_prefix(at + 1);
    std::string_view pair = target.substr(0, target.find('&'));
    at = target.find('&');
    if (!pair.starts_with(name) || pair.size() <= name.size() ||
        pair[name.size()] != '=')
      continue;
    std::from_chars(pair.data() + name.size() + 1, pair.data() + pair.size(),
                    fallback);
    break;
  }
  return fallback;
}

std::shared_ptr<http::Server> listenFromFlags(boost::asio::io_context &context,
                                              const http::ServerLimits &limits,
                                              http::Handler handler) {
  base::LastReason reason;
  auto address = base::parseAddress(absl::GetFlag(FLAGS_listen), reason);
  auto server = address ? http::Server::create(context, *address, limits,
                                               std::move(handler), reason)
                        : std::nullopt;
  if (!server) {
    std::fprintf(stderr, "--listen: %s\n", reason.line().c_str());
    return nullptr;
  }
  std::printf("{\"listening\":\"%s\"}\n", (*server)->address().text().c_str());
  std::fflush(stdout);
  return *server;
}

namespace {

/// Allows flags to be written with hyphens: --work-ms for --work_ms.
void replaceHyphens(char *argument) {
  std::string_view text(argument);
  if (!text.starts_with("--"))
    return;
  size_t end = std::min(text.find('='), text.size());
  std::replace(argument + 2, argument + end, '-', '_');
}

int dispatch(int argc, char **argv) {
  std::for_each(argv + 1, argv + argc, replaceHyphens);
  std::vector<char *> rest = absl::ParseCommandLine(argc, argv);
  std::string_view name = rest.size() > 1 ? rest[1] : "";
  for (const Subcommand &it : Subcommands)
    if (it.Name == name)
      return it.Run();
  std::fprintf(stderr, "usage: stand-ins platform|target|load [--flags]\n");
  return 2;
}

} // namespace

} // namespace radishcross::standins

int main(int argc, char **argv) {
  return radishcross::standins::dispatch(argc, argv);
}
