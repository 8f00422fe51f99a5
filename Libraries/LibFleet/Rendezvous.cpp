#include <LibBase/Hash.h>
#include <LibFleet/MemberTable.h>
#include <LibFleet/Rendezvous.h>

namespace radishcross::fleet {

ReaderRank readerRank(const std::vector<Member> &members,
                      std::string_view dataCentre, std::string_view id) {
  uint64_t own = base::rendezvousWeight(dataCentre, id);
  ReaderRank rank;
  for (const auto &it : members) {
    const auto &other = it.Identity;
    if (!isLive(it) || other.DataCentre != dataCentre || other.Id == id)
      continue;
    ++rank.Count;
    if (it.State != MemberState::Alive)
      continue;
    uint64_t weight = base::rendezvousWeight(dataCentre, other.Id);
    if (weight > own || (weight == own && other.Id > id))
      ++rank.Rank;
  }
  return rank;
}

} // namespace radishcross::fleet
