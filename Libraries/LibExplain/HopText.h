#pragma once

#include <LibExplain/LogLine.h>

#include <string>

namespace radishcross::explain {

// What single lines say, in words.

std::string receivedText(const LogLine &end);
std::string attemptText(const LogLine &attempt);
std::string gateText(const LogLine &gate);
std::string attemptEndText(const LogLine &attempt);
std::string endText(const LogLine &end);

/// Returns "5003 overloaded"; an unknown number alone.
std::string codeText(int64_t number);

/// Returns in words why there was no further attempt; empty: nothing to say.
std::string stopText(const LogLine &end);

} // namespace radishcross::explain
