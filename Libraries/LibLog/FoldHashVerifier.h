#pragma once

#include <LibBase/EnumNames.h>
#include <LibLog/Record.h>

#include <cstdint>
#include <deque>
#include <string>
#include <string_view>

namespace radishcross::log {

/// Result of verifying the claim that the fold has some hash at some offset.
enum class HashVerdict : uint8_t { Unconfirmed, Confirmed, Refuted };

constexpr base::EnumName<HashVerdict> HashVerdictNames[] = {
    {HashVerdict::Unconfirmed, "unconfirmed"},
    {HashVerdict::Confirmed, "confirmed"},
    {HashVerdict::Refuted, "refuted"},
};

/// Records which source reported which hash at which offset and verifies claims
/// against these reports. The node's own fold is decisive; without it, a source
/// other than the claimant has to confirm the claim. Keeps only the latest
/// reports.
class FoldHashVerifier {
public:
  /// Records the hash of this node's own fold, which started from an empty
  /// state or from a confirmed one.
  void addOwnHash(Offset at, uint64_t hash);

  /// Records a hash that another node or a snapshot in the log reported.
  void addReportedHash(std::string_view source, Offset at, uint64_t hash);

  /// Verifies a claim made by \p claimant. If other sources disagree, the claim
  /// stays unconfirmed.
  HashVerdict verify(std::string_view claimant, Offset at, uint64_t hash) const;

private:
  struct HashReport {
    std::string Source; ///< Empty for this node's own fold.
    Offset At = 0;
    uint64_t Hash = 0;
  };

  static void addBounded(std::deque<HashReport> &in, HashReport report);

  std::deque<HashReport> Own;
  std::deque<HashReport> Others;
};

} // namespace radishcross::log
