#pragma once

#include <LibFleet/Gossip.h>
#include <LibFleet/Member.h>

#include <array>
#include <cstdint>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace radishcross::fleet {

/// Number of buckets that members are hashed into by id. Two nodes compare the
/// hashes of their buckets to find differences without exchanging whole tables.
constexpr size_t MemberBuckets = 32;
using BucketHashes = std::array<uint64_t, MemberBuckets>;

/// The members known to a node. Merging updates is commutative and idempotent:
/// the highest revision, which never decreases for a node id, determines the
/// content; the highest incarnation, then the order alive < suspect < dead <
/// left, determines the state. Tables that merged the same updates are equal.
class MemberTable {
public:
  /// Merges an update; returns true if the table changed. For an unknown
  /// member, an update without content or with the state dead or left is
  /// ignored.
  bool merge(const MemberUpdate &update);

  /// Sets a member's offsets and recovery state, which are not part of any
  /// hash.
  void updateDigest(std::string_view id, const Digest &digest);

  /// Removes a member; does nothing if it is unknown.
  void remove(std::string_view id);

  const Member *find(std::string_view id) const;
  const std::vector<Member> &all() const { return Members; }

  /// Returns a hash over all live members; equal tables have equal hashes.
  uint64_t hash() const;
  const BucketHashes &buckets() const { return Hashes; }
  static size_t bucketOf(std::string_view id);

  /// Returns the members in the buckets whose hashes differ from \p theirs.
  std::vector<Member> differing(const BucketHashes &theirs) const;

private:
  static uint64_t recordHash(const Member &member);
  void insert(const Member &record);
  static bool mergeInto(Member &held, const MemberUpdate &update);

  std::vector<Member> Members;
  std::unordered_map<std::string, size_t> Indexes;
  BucketHashes Hashes{};
};

/// Returns true if calls and gossip may be sent to the member.
inline bool isLive(const Member &member) {
  return member.State == MemberState::Alive ||
         member.State == MemberState::Suspect;
}

} // namespace radishcross::fleet
