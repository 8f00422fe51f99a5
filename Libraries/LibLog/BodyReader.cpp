#include <LibConfig/Names.h>
#include <LibLog/BodyReader.h>

#include <boost/json/array.hpp>

namespace radishcross::log {

using boost::json::array;
using boost::json::value;

BodyReader::BodyReader(const value &body) : Object(body.if_object()) {
  if (!Object)
    FirstError = "found no object";
}

void BodyReader::fail(std::string_view key, std::string_view expected) {
  if (FirstError.empty())
    FirstError = std::string(key) + ": expected " + std::string(expected);
}

const value *BodyReader::optional(std::string_view key) {
  if (!Object)
    return nullptr;
  KeysRead.insert(key);
  return Object->if_contains(key);
}

const value *BodyReader::require(std::string_view key) {
  const auto *found = optional(key);
  if (!found)
    fail(key, "a value, found nothing");
  return found;
}

std::string BodyReader::text(std::string_view key, size_t maximumBytes) {
  const auto *found = require(key);
  if (found && found->is_string() && found->get_string().size() <= maximumBytes)
    return std::string(found->get_string());
  fail(key, "a text of at most " + std::to_string(maximumBytes) + " bytes");
  return {};
}

std::string BodyReader::textOr(std::string_view key, size_t maximumBytes,
                               std::string_view fallback) {
  return optional(key) ? text(key, maximumBytes) : std::string(fallback);
}

std::string BodyReader::name(std::string_view key) {
  auto found = text(key, config::MaximumNameBytes);
  if (!config::isName(found))
    fail(key, "a name of letters, digits, '-', '_' and '.'");
  return found;
}

uint64_t BodyReader::number(std::string_view key, uint64_t maximum) {
  const auto *found = require(key);
  boost::json::error_code ec;
  uint64_t n = 0;
  if (found && (found->is_int64() || found->is_uint64()))
    n = found->to_number<uint64_t>(ec);
  else
    ec = boost::json::error::not_number;
  if (!ec && n <= maximum)
    return n;
  fail(key, "a whole number of at most " + std::to_string(maximum));
  return 0;
}

bool BodyReader::flag(std::string_view key) {
  const auto *found = require(key);
  if (found && found->is_bool())
    return found->get_bool();
  fail(key, "true or false");
  return false;
}

const value &BodyReader::any(std::string_view key) {
  static const value null;
  const auto *found = require(key);
  return found ? *found : null;
}

const array &BodyReader::list(std::string_view key) {
  static const array empty;
  const auto *found = require(key);
  if (found && found->is_array())
    return found->get_array();
  fail(key, "a list");
  return empty;
}

bool BodyReader::finish(base::LastReason &reason) {
  if (FirstError.empty())
    for (const auto &it : *Object)
      if (!KeysRead.contains(it.key()))
        fail(it.key(), "no such key");
  if (FirstError.empty())
    return true;
  reason.fail(base::ResultCode::RecordMalformed, FirstError);
  return false;
}

} // namespace radishcross::log
