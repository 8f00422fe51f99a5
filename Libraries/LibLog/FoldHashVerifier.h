#pragma once

#include <LibBase/EnumNames.h>
#include <LibLog/Record.h>

#include <cstdint>
#include <deque>
#include <string>
#include <string_view>

namespace radishcross::log {

/// What is known about a claim that the fold has a hash at an offset.
enum class HashVerdict : uint8_t { Unconfirmed, Confirmed, Refuted };

constexpr base::EnumName<HashVerdict> HashVerdictNames[] = {
    {HashVerdict::Unconfirmed, "unconfirmed"},
    {HashVerdict::Confirmed, "confirmed"},
    {HashVerdict::Refuted, "refuted"},
};

/// Remembers which source had which hash at which offset and judges claims by
/// it: a node's own fold decides alone; without one, a source other than the
/// claim's own confirms. Bounded to the latest sightings.
class FoldHashVerifier {
public:
  /// Notes the hash of this node's own fold, which started from an empty state
  /// or from a confirmed one.
  void addOwnHash(Offset at, uint64_t hash);

  /// Notes what another node or a snapshot in the log said.
  void addReportedHash(std::string_view source, Offset at, uint64_t hash);

  /// Judges the claim that \p claimant made. Sources that disagree leave it
  /// unconfirmed.
  HashVerdict verify(std::string_view claimant, Offset at, uint64_t hash) const;

private:
  struct HashReport {
    std::string Source; ///< Empty: this node's own fold.
    Offset At = 0;
    uint64_t Hash = 0;
  };

  static void addBounded(std::deque<HashReport> &in, HashReport report);

  std::deque<HashReport> Own;
  std::deque<HashReport> Others;
};

} // namespace radishcross::log
