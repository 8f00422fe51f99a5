#pragma once

#include <LibFleet/Member.h>
#include <LibFleet/RecordFreshness.h>

#include <string_view>
#include <vector>

namespace radishcross::fleet {

/// Returns the place of \p id among the live of its data centre by rendezvous
/// weight for that data centre, the highest first. Those that are suspected
/// count, but are ahead of nobody.
ReaderRank readerRank(const std::vector<Member> &members,
                      std::string_view dataCentre, std::string_view id);

} // namespace radishcross::fleet
