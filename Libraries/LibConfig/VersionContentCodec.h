#pragma once

#include <LibBase/LastReason.h>
#include <LibConfig/Resources.h>

#include <boost/json/value.hpp>
#include <optional>
#include <string_view>

namespace radishcross::config {

/// Returns the JSON Schema of a version's content (Version.schema.json).
std::string_view versionSchemaText();

/// Validates \p document against the schema, then its semantics (names,
/// prefixes, references inside the configuration), and returns the content.
/// Fails with the schema's codes or a 2xxx code.
std::optional<VersionContent>
decodeVersionContent(const boost::json::value &document,
                     base::LastReason &reason);

/// Returns the document of \p content with all defaults written out.
boost::json::value encodeVersionContent(const VersionContent &content);

} // namespace radishcross::config
