#include <LibBase/Hash.h>
#include <LibFleet/MemberTable.h>

#include <algorithm>
#include <string>
#include <utility>

namespace radishcross::fleet {

size_t MemberTable::bucketOf(std::string_view id) {
  return base::hash64(id) % MemberBuckets;
}

uint64_t MemberTable::recordHash(const Member &member) {
  // Dead members are removed at different times on different nodes.
  if (!isLive(member))
    return 0;
  uint64_t seed = base::hash64(member.Identity.Id, member.Incarnation);
  uint64_t state = static_cast<uint64_t>(member.State);
  return base::hash64(std::to_string(member.Revision), seed + state);
}

uint64_t MemberTable::hash() const {
  uint64_t sum = 0;
  for (uint64_t it : Hashes)
    sum = sum * 31 + it;
  return sum;
}

const Member *MemberTable::find(std::string_view id) const {
  auto entry = Indexes.find(std::string(id));
  return entry == Indexes.end() ? nullptr : &Members[entry->second];
}

void MemberTable::insert(const Member &record) {
  Indexes[record.Identity.Id] = Members.size();
  Hashes[bucketOf(record.Identity.Id)] ^= recordHash(record);
  Members.push_back(record);
}

/// A process that does not know all departures of the earlier ones only adds
/// to them.
static void mergeDepartures(Member &held, const Member &record) {
  if (record.KnowsDepartures) {
    held.Departed = record.Departed;
    held.KnowsDepartures = true;
    return;
  }
  for (const auto &[id, epoch] : record.Departed) {
    auto &latest = held.Departed[id];
    latest = std::max(latest, epoch);
  }
}

bool MemberTable::mergeInto(Member &held, const MemberUpdate &update) {
  const auto &record = update.Record;
  bool changed = false;
  if (update.HasContent && record.Revision > held.Revision) {
    held.Identity = record.Identity;
    held.Targets = record.Targets;
    held.KnowsExceptions = record.KnowsExceptions;
    if (record.KnowsExceptions)
      held.Exceptions = record.Exceptions;
    mergeDepartures(held, record);
    held.Revision = record.Revision;
    changed = true;
  }
  bool isNewer = record.Incarnation > held.Incarnation;
  bool isWorse =
      record.Incarnation == held.Incarnation && record.State > held.State;
  if (!isNewer && !isWorse)
    return changed;
  // A new incarnation may be a restarted process, which holds less.
  if (isNewer) {
    held.ConfigOffset = record.ConfigOffset;
    held.HeldOffset = record.HeldOffset;
    held.IsRecovered = record.IsRecovered;
  }
  held.Incarnation = record.Incarnation;
  held.State = record.State;
  return true;
}

bool MemberTable::merge(const MemberUpdate &update) {
  const auto &id = update.Record.Identity.Id;
  auto entry = Indexes.find(id);
  if (entry == Indexes.end()) {
    if (!update.HasContent || !isLive(update.Record))
      return false;
    insert(update.Record);
    return true;
  }
  auto &held = Members[entry->second];
  uint64_t before = recordHash(held);
  if (!mergeInto(held, update))
    return false;
  Hashes[bucketOf(id)] ^= before ^ recordHash(held);
  return true;
}

void MemberTable::updateDigest(std::string_view id, const Digest &digest) {
  auto entry = Indexes.find(std::string(id));
  if (entry == Indexes.end())
    return;
  auto &held = Members[entry->second];
  held.ConfigOffset = digest.InForce;
  held.HeldOffset = digest.Held;
  held.FoldHash = digest.FoldHash;
  held.IsRecovered = digest.IsRecovered;
}

void MemberTable::remove(std::string_view id) {
  auto entry = Indexes.find(std::string(id));
  if (entry == Indexes.end())
    return;
  size_t index = entry->second;
  Hashes[bucketOf(id)] ^= recordHash(Members[index]);
  Indexes.erase(entry);
  if (index + 1 != Members.size()) {
    Members[index] = std::move(Members.back());
    Indexes[Members[index].Identity.Id] = index;
  }
  Members.pop_back();
}

std::vector<Member> MemberTable::differing(const BucketHashes &theirs) const {
  std::vector<Member> result;
  for (const auto &it : Members) {
    size_t bucket = bucketOf(it.Identity.Id);
    if (theirs[bucket] != Hashes[bucket])
      result.push_back(it);
  }
  return result;
}

} // namespace radishcross::fleet
