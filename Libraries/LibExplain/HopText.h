#pragma once

#include <LibExplain/LogLine.h>

#include <string>

namespace radishcross::explain {

// Texts of single log lines, for people.

std::string receivedText(const LogLine &end);
std::string attemptText(const LogLine &attempt);
std::string gateText(const LogLine &gate);
std::string attemptEndText(const LogLine &attempt);
std::string endText(const LogLine &end);

/// Returns "5003 overloaded"; just the number for an unknown code.
std::string codeText(int64_t number);

/// Returns why there was no further attempt, or an empty string when the line
/// gives no known reason.
std::string stopText(const LogLine &end);

} // namespace radishcross::explain
