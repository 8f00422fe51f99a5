#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace radishcross::admin {

/// Returns the name of \p names that differs from \p text by the fewest
/// inserted, removed, replaced or swapped characters, or an empty text when
/// none is near enough to be what was meant.
std::string nearestName(std::string_view text,
                        const std::vector<std::string> &names);

} // namespace radishcross::admin
