#include <LibAdmin/ApiRequest.h>

#include <LibSchema/StrictJson.h>

#include <algorithm>
#include <boost/json/value.hpp>
#include <charconv>

namespace radishcross::admin {

namespace {

using base::ResultCode;

constexpr size_t MaximumTargetBytes = 2048;
constexpr size_t MaximumSegments = 8;

std::optional<std::string> percentDecode(std::string_view text) {
  std::string out;
  for (size_t i = 0; i < text.size(); ++i) {
    if (text[i] != '%') {
      out.push_back(text[i]);
      continue;
    }
    unsigned char byte = 0;
    if (i + 2 >= text.size())
      return std::nullopt;
    const char *digits = text.data() + i + 1;
    auto [end, error] = std::from_chars(digits, digits + 2, byte, 16);
    if (error != std::errc() || end != digits + 2)
      return std::nullopt;
    out.push_back(static_cast<char>(byte));
    i += 2;
  }
  return out;
}

std::vector<std::string_view> split(std::string_view text, char separator) {
  std::vector<std::string_view> parts;
  while (!text.empty()) {
    size_t end = text.find(separator);
    parts.push_back(text.substr(0, end));
    if (end == std::string_view::npos)
      break;
    text.remove_prefix(end + 1);
  }
  return parts;
}

bool readQuery(std::string_view query, ApiTarget &out) {
  for (std::string_view pair : split(query, '&')) {
    size_t equals = pair.find('=');
    if (equals == std::string_view::npos)
      return false;
    auto key = percentDecode(pair.substr(0, equals));
    auto value = percentDecode(pair.substr(equals + 1));
    if (!key || !value || !out.Query.emplace(*key, *value).second)
      return false;
  }
  return true;
}

} // namespace

std::optional<ApiTarget> parseTarget(std::string_view target,
                                     base::LastReason &reason) {
  auto fail = [&] {
    return reason.fail(ResultCode::UsageError,
                       "the path or the query is malformed");
  };
  if (target.size() > MaximumTargetBytes || !target.starts_with('/'))
    return fail();
  ApiTarget out;
  size_t question = target.find('?');
  for (auto part : split(target.substr(1, question - 1), '/')) {
    auto segment = percentDecode(part);
    if (!segment || segment->empty() || out.Segments.size() == MaximumSegments)
      return fail();
    out.Segments.push_back(std::move(*segment));
  }
  if (question != std::string_view::npos &&
      !readQuery(target.substr(question + 1), out))
    return fail();
  return out;
}

std::string percentEncode(std::string_view text) {
  constexpr std::string_view Digits = "0123456789ABCDEF";
  std::string out;
  for (unsigned char byte : text) {
    if (std::isalnum(byte) || byte == '-' || byte == '.' || byte == '_') {
      out.push_back(static_cast<char>(byte));
      continue;
    }
    out.push_back('%');
    out.push_back(Digits[byte >> 4]);
    out.push_back(Digits[byte & 15]);
  }
  return out;
}

std::string queryText(const ApiRequest &request, std::string_view key) {
  auto it = request.Query.find(key);
  return it == request.Query.end() ? std::string() : it->second;
}

std::optional<uint64_t> parseNumber(std::string_view text,
                                    std::string_view name,
                                    base::LastReason &reason) {
  uint64_t n = 0;
  const char *last = text.data() + text.size();
  auto [end, error] = std::from_chars(text.data(), last, n);
  if (error != std::errc() || end != last)
    return reason.fail(ResultCode::UsageError,
                       std::string(name) + ": found \"" +
                           std::string(text.substr(0, 64)) +
                           "\", expected a whole number");
  return n;
}

std::optional<uint64_t> queryNumber(const ApiRequest &request,
                                    std::string_view key, uint64_t fallback,
                                    uint64_t maximum,
                                    base::LastReason &reason) {
  auto it = request.Query.find(key);
  if (it == request.Query.end())
    return fallback;
  auto n = parseNumber(it->second, key, reason);
  if (n && *n > maximum)
    return reason.fail(ResultCode::UsageError,
                       std::string(key) + ": found " + std::to_string(*n) +
                           ", expected at most " + std::to_string(maximum));
  return n;
}

std::optional<boost::json::object>
parseBody(const ApiRequest &request, const std::vector<std::string_view> &known,
          base::LastReason &reason) {
  auto document = schema::parseStrictJson(request.Body, {}, reason);
  if (!document)
    return std::nullopt;
  if (!document->is_object())
    return reason.fail(ResultCode::WrongType, "the body: expected an object");
  for (const auto &[key, value] : document->as_object())
    if (std::find(known.begin(), known.end(), key) == known.end())
      return reason.fail(ResultCode::UnknownKey,
                         std::string(key) + ": found an unknown key");
  return document->as_object();
}

} // namespace radishcross::admin
