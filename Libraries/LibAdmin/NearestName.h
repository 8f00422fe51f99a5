#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace radishcross::admin {

/// Returns the name in \p names with the smallest edit distance (insertions,
/// deletions, substitutions and swaps of adjacent characters) to \p text, or an
/// empty string when none is close enough to suggest.
std::string nearestName(std::string_view text,
                        const std::vector<std::string> &names);

} // namespace radishcross::admin
