#pragma once

#include <LibBase/EnumNames.h>
#include <LibBase/LastReason.h>

#include <optional>
#include <string>

namespace radishcross::admin {

/// Type of a checked document, recognised by its keys.
enum class DocumentKind : uint8_t { Settings, Version };

constexpr base::EnumName<DocumentKind> DocumentKindNames[] = {
    {DocumentKind::Settings, "settings"},
    {DocumentKind::Version, "version"},
};

/// Validates a settings file or a version's content as a node would, against
/// the schema and the semantic rules, and returns which of them it is. Fails
/// with a 1xxx or 2xxx code; the reason names the location. A file over the
/// size limit is rejected without being read completely.
std::optional<DocumentKind> checkFile(const std::string &path,
                                      base::LastReason &reason);

} // namespace radishcross::admin
