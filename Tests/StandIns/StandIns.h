#pragma once

#include <LibHttp/Server.h>

#include <absl/flags/declare.h>
#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

ABSL_DECLARE_FLAG(std::string, listen);
ABSL_DECLARE_FLAG(uint64_t, seed);

namespace radishcross::standins {

/// Subcommands. Each runs until it has finished and returns the exit code.
int runPlatform();
int runTarget();
int runLoad();

/// Listens on the address of --listen and prints {"listening":"IP:PORT"}. On
/// failure prints the reason to standard error and returns null.
std::shared_ptr<http::Server> listenFromFlags(boost::asio::io_context &context,
                                              const http::ServerLimits &limits,
                                              http::Handler handler);

/// Returns the number of the query parameter \p name of a request target, or \p
/// fallback.
uint64_t queryNumber(std::string_view target, std::string_view name,
                     uint64_t fallback);

} // namespace radishcross::standins
