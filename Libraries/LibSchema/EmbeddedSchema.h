#pragma once

#include <LibSchema/JsonSchema.h>
#include <LibSchema/StrictJson.h>

#include <boost/json/value.hpp>
#include <optional>
#include <string_view>

namespace radishcross::schema {

/// A schema embedded in the program, compiled once.
class EmbeddedSchema {
public:
  explicit EmbeddedSchema(std::string_view text)
      : Compiled(JsonSchema::create(text, CompileError)) {}

  /// Parses \p body and checks it. Fails like parseStrictJson() and
  /// JsonSchema::check(), or with Internal when the schema itself is invalid.
  std::optional<boost::json::value> parse(std::string_view body,
                                          const DocumentLimits &limits,
                                          base::LastReason &reason) const;

private:
  base::LastReason
      CompileError; ///< Declared before Compiled, whose initialiser sets it.
  std::optional<JsonSchema> Compiled;
};

} // namespace radishcross::schema
