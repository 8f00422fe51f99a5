#include <LibAdmin/RequestBody.h>

#include <LibConfig/Names.h>

namespace radishcross::admin {

namespace json = boost::json;
using base::ResultCode;

std::optional<std::string> readText(const json::object &body,
                                    std::string_view key,
                                    std::optional<std::string> fallback,
                                    base::LastReason &reason) {
  const auto *value = body.if_contains(key);
  if (value && value->is_string())
    return std::string(value->as_string());
  if (value)
    return reason.fail(ResultCode::WrongType,
                       std::string(key) + ": expected a text");
  if (!fallback)
    return reason.fail(ResultCode::MissingKey,
                       std::string(key) + ": the key is missing");
  return fallback;
}

bool checkName(const std::string &text, std::string_view key,
               base::LastReason &reason) {
  if (config::isName(text))
    return true;
  reason.fail(ResultCode::BadValue,
              std::string(key) + ": found \"" +
                  text.substr(0, config::MaximumNameBytes) +
                  "\", expected 1 to 63 letters, digits, '-', '_' or '.', the "
                  "first a letter or digit");
  return false;
}

std::optional<std::string> readName(const json::object &body,
                                    std::string_view key,
                                    base::LastReason &reason) {
  auto name = readText(body, key, std::nullopt, reason);
  if (!name || !checkName(*name, key, reason))
    return std::nullopt;
  return name;
}

std::optional<uint64_t> readNumber(const json::object &body,
                                   std::string_view key, uint64_t fallback,
                                   base::LastReason &reason) {
  const auto *value = body.if_contains(key);
  if (!value)
    return fallback;
  boost::system::error_code ec;
  auto n = value->to_number<uint64_t>(ec);
  if (ec)
    return reason.fail(ResultCode::WrongType,
                       std::string(key) + ": expected a whole number");
  return n;
}

std::optional<config::Selector> readSelector(const json::object &body,
                                             base::LastReason &reason) {
  auto text = readText(body, "selector", "", reason);
  return text ? config::Selector::create(*text, reason) : std::nullopt;
}

} // namespace radishcross::admin
