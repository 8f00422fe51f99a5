#pragma once

#include <optional>
#include <span>
#include <string_view>

namespace radishcross::base {

/// One row of a table that maps the values of an enumeration to names.
template <typename Enum> struct EnumName {
  Enum Value;
  std::string_view Name;
};

/// Returns the name of \p value in \p table, or "unknown" when it has no row.
template <typename Enum, size_t Size>
constexpr std::string_view nameOf(const EnumName<Enum> (&table)[Size],
                                  Enum value) {
  for (const auto &row : table)
    if (row.Value == value)
      return row.Name;
  return "unknown";
}

/// Returns the value named \p name in \p table, or nothing.
template <typename Enum, size_t Size>
constexpr std::optional<Enum> fromName(const EnumName<Enum> (&table)[Size],
                                       std::string_view name) {
  for (const auto &row : table)
    if (row.Name == name)
      return row.Value;
  return std::nullopt;
}

} // namespace radishcross::base
