#pragma once

#include <LibBase/EnumNames.h>
#include <LibBase/LastReason.h>

#include <optional>
#include <string>

namespace radishcross::admin {

/// What a checked file holds, told by its keys.
enum class DocumentKind : uint8_t { Settings, Version };

constexpr base::EnumName<DocumentKind> DocumentKindNames[] = {
    {DocumentKind::Settings, "settings"},
    {DocumentKind::Version, "version"},
};

/// Checks a file of settings or of a version's content as a node would, by
/// schema and by meaning, and tells which it is. Fails with a 1xxx or 2xxx
/// code; the reason names the place. A file over the size limit is refused
/// without being read whole.
std::optional<DocumentKind> checkFile(const std::string &path,
                                      base::LastReason &reason);

} // namespace radishcross::admin
