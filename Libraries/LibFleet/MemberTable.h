#pragma once

#include <LibFleet/Gossip.h>
#include <LibFleet/Member.h>

#include <array>
#include <cstdint>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace radishcross::fleet {

/// Number of groups that members fall into by the hash of their id, so that
/// two nodes find what differs without sending whole tables.
constexpr size_t MemberBuckets = 32;
using BucketHashes = std::array<uint64_t, MemberBuckets>;

/// The members that a node knows. Updates may arrive in any order and any
/// number of times: content goes by the revision, which never falls for one
/// node id, and the state by the incarnation and then by the rank
/// alive < suspect < dead < left. All tables that saw the same updates are
/// equal.
class MemberTable {
public:
  /// Merges an update. Returns true when something changed. An update without
  /// content of an unknown member is ignored, as is the death of one.
  bool merge(const MemberUpdate &update);

  /// Sets the volatile part of a member, which no hash covers.
  void updateDigest(std::string_view id, const Digest &digest);

  /// Forgets a member.
  void remove(std::string_view id);

  const Member *find(std::string_view id) const;
  const std::vector<Member> &all() const { return Members; }

  /// Returns a hash of all live records; equal tables have equal hashes.
  uint64_t hash() const;
  const BucketHashes &buckets() const { return Hashes; }
  static size_t bucketOf(std::string_view id);

  /// Returns the records of the buckets whose hash differs from \p theirs.
  std::vector<Member> differing(const BucketHashes &theirs) const;

private:
  static uint64_t recordHash(const Member &member);
  void insert(const Member &record);
  static bool mergeInto(Member &held, const MemberUpdate &update);

  std::vector<Member> Members;
  std::unordered_map<std::string, size_t> Indexes;
  BucketHashes Hashes{};
};

/// Tells whether calls and gossip may go to the member.
inline bool isLive(const Member &member) {
  return member.State == MemberState::Alive ||
         member.State == MemberState::Suspect;
}

} // namespace radishcross::fleet
