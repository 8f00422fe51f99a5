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

/// Subcommands: each runs to its end and returns the exit code.
int runPlatform();
int runTarget();
int runLoad();

/// Listens at --listen and prints {"listening":"IP:PORT"}; returns null, with a
/// line on standard error, when it cannot.
std::shared_ptr<http::Server> listenFromFlags(boost::asio::io_context &context,
                                              const http::ServerLimits &limits,
                                              http::Handler handler);

/// Returns the number \p name of the target's query, or \p fallback.
uint64_t queryNumber(std::string_view target, std::string_view name,
                     uint64_t fallback);

} // namespace radishcross::standins
