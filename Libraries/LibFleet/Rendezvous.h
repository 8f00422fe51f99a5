#pragma once

#include <LibFleet/Member.h>
#include <LibFleet/RecordFreshness.h>

#include <string_view>
#include <vector>

namespace radishcross::fleet {

/// Returns the rank of \p id among the live members of its data centre, by
/// descending rendezvous weight. Suspects are included in the count but rank
/// behind every other member.
ReaderRank readerRank(const std::vector<Member> &members,
                      std::string_view dataCentre, std::string_view id);

} // namespace radishcross::fleet
