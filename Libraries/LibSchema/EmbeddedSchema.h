#pragma once

#include <LibSchema/JsonSchema.h>
#include <LibSchema/StrictJson.h>

#include <boost/json/value.hpp>
#include <optional>
#include <string_view>

namespace radishcross::schema {

/// A schema that the program carries, compiled once.
class EmbeddedSchema {
public:
  explicit EmbeddedSchema(std::string_view text)
      : Compiled(JsonSchema::create(text, CompileError)) {}

  /// Returns the document that \p body is. Fails as parseStrictJson() and
  /// JsonSchema::check() do, with Internal where the schema itself is bad.
  std::optional<boost::json::value> parse(std::string_view body,
                                          const DocumentLimits &limits,
                                          base::LastReason &reason) const;

private:
  base::LastReason CompileError; ///< Before Compiled, which sets it.
  std::optional<JsonSchema> Compiled;
};

} // namespace radishcross::schema
