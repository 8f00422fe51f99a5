#pragma once

#include <boost/json/object.hpp>
#include <string>
#include <string_view>

namespace radishcross::admin {

/// Reads a number from another node's document; 0 when it is missing, is not a
/// number or does not fit the type.
template <typename Number>
Number numberAt(const boost::json::object &from, std::string_view key) {
  const auto *value = from.if_contains(key);
  boost::system::error_code ec;
  Number n =
      value && value->is_number() ? value->to_number<Number>(ec) : Number{};
  return ec ? Number{} : n;
}

/// Reads a string from another node's document; empty when it is missing or is
/// not a string.
inline std::string textAt(const boost::json::object &from,
                          std::string_view key) {
  const auto *value = from.if_contains(key);
  return value && value->is_string() ? std::string(value->as_string())
                                     : std::string();
}

} // namespace radishcross::admin
