#pragma once

#include <boost/json/object.hpp>
#include <string>
#include <string_view>

namespace radishcross::admin {

/// Reads a number of another node's document; 0 when it is missing or does not
/// fit.
template <typename Number>
Number numberAt(const boost::json::object &from, std::string_view key) {
  const auto *value = from.if_contains(key);
  boost::system::error_code ec;
  Number n =
      value && value->is_number() ? value->to_number<Number>(ec) : Number{};
  return ec ? Number{} : n;
}

/// Reads a text of another node's document; empty when it is missing.
inline std::string textAt(const boost::json::object &from,
                          std::string_view key) {
  const auto *value = from.if_contains(key);
  return value && value->is_string() ? std::string(value->as_string())
                                     : std::string();
}

} // namespace radishcross::admin
