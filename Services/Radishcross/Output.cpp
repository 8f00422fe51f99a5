#include "Output.h"

#include "Flags.h"

#include <absl/flags/flag.h>
#include <absl/strings/str_format.h>
#include <boost/json/serialize.hpp>
#include <cstdio>
#include <ctime>

namespace radishcross::cli {

namespace json = boost::json;

namespace {

constexpr int64_t MillisecondsPerSecond = 1000;

const json::value *findMember(const json::value &from, std::string_view key) {
  return from.is_object() ? from.as_object().if_contains(key) : nullptr;
}

} // namespace

bool isJsonOutput() { return absl::GetFlag(FLAGS_json); }

void print(std::string_view text) {
  std::fwrite(text.data(), 1, text.size(), stdout);
}

void printDocument(const json::value &document) {
  print(json::serialize(document) + "\n");
}

base::ResultCode printFailure(const base::LastReason &reason) {
  if (isJsonOutput())
    printDocument(json::object{{"code", static_cast<int>(reason.code())},
                               {"name", base::describe(reason.code()).Name},
                               {"reason", reason.text()}});
  else
    std::fprintf(stderr, "error: %s\n", reason.line().c_str());
  return reason.code();
}

std::string memberText(const json::value &from, std::string_view key) {
  const auto *value = findMember(from, key);
  if (!value || value->is_null())
    return "";
  if (value->is_string())
    return std::string(value->as_string());
  return json::serialize(*value);
}

int64_t memberNumber(const json::value &from, std::string_view key) {
  const auto *value = findMember(from, key);
  boost::system::error_code ec;
  return value ? value->to_number<int64_t>(ec) : 0;
}

std::string timeText(int64_t unixMilliseconds) {
  if (unixMilliseconds == 0)
    return "-";
  std::time_t seconds = unixMilliseconds / MillisecondsPerSecond;
  std::tm parts{};
  gmtime_r(&seconds, &parts);
  return absl::StrFormat("%04d-%02d-%02d %02d:%02d:%02d.%03d",
                         parts.tm_year + 1900, parts.tm_mon + 1, parts.tm_mday,
                         parts.tm_hour, parts.tm_min, parts.tm_sec,
                         unixMilliseconds % MillisecondsPerSecond);
}

} // namespace radishcross::cli
