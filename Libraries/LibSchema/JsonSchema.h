#pragma once

#include <LibBase/LastReason.h>

#include <boost/json/value.hpp>
#include <memory>
#include <optional>
#include <string_view>

namespace radishcross::schema {

/// A compiled JSON Schema. Schemas should only limit the length of strings and
/// leave their form to code: the validator matches `pattern` recursively, so a
/// long string can exhaust the stack.
class JsonSchema {
public:
  /// Compiles \p text; fails with DocumentMalformed.
  static std::optional<JsonSchema> create(std::string_view text,
                                          base::LastReason &reason);
  JsonSchema(JsonSchema &&) noexcept;
  JsonSchema &operator=(JsonSchema &&) noexcept;
  ~JsonSchema();

  /// Validates \p value. On failure the reason is one line with the path of the
  /// first violation, the value found and what is expected; the code is one of
  /// UnknownKey, WrongType, NumberOutOfRange, MissingKey and BadValue.
  bool check(const boost::json::value &value, base::LastReason &reason) const;

private:
  struct Implementation;
  explicit JsonSchema(std::unique_ptr<Implementation> compiled);
  std::unique_ptr<Implementation> Compiled;
};

} // namespace radishcross::schema
