#pragma once

#include <LibBase/EnumNames.h>
#include <LibBase/LastReason.h>
#include <LibFleet/MemberTable.h>
#include <LibLog/Record.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace radishcross::peer {

enum class PullKind : uint8_t {
  Records,  ///< Log records starting at an offset.
  State,    ///< The complete state of the fold.
  Members,  ///< Member records of the buckets whose hashes differ.
  External, ///< The record of a newer version of the external configuration.
};

constexpr base::EnumName<PullKind> PullKindNames[] = {
    {PullKind::Records, "records"},
    {PullKind::State, "state"},
    {PullKind::Members, "members"},
    {PullKind::External, "external"},
};

/// Requests data that the sender lacks from a peer.
struct PullRequest {
  fleet::NodeId Sender;
  uint64_t Nonce = 0; ///< Binds the answer to the request.
  PullKind Kind = PullKind::Records;
  /// For Records the first offset wanted, for External the version held.
  log::Offset From = 1;
  fleet::BucketHashes Buckets{}; ///< For Members: the sender's bucket hashes.
};

/// Answer to a pull request. With a code other than Ok it carries no data.
struct PullAnswer {
  uint64_t Nonce = 0;
  PullKind Kind = PullKind::Records;
  base::ResultCode Code = base::ResultCode::Ok;
  uint32_t RetryAfterMilliseconds = 0; ///< With PeerBusy.
  fleet::Digest Summary;
  std::vector<log::StoredRecord> Records; ///< In offset order, without gaps.
  /// For State, log::Fold::save() as JSON text and its offset. For External,
  /// the record's bytes and its version; empty if the peer holds none newer
  /// than From.
  std::string State;
  log::Offset StateOffset = 0;
  std::vector<fleet::Member> Members;
};

constexpr size_t MaximumRequestBytes = 4096;
constexpr size_t MaximumAnswerBytes = 32UL << 20;

std::string encodePullRequest(const PullRequest &request);
std::string encodePullAnswer(const PullAnswer &answer);

/// Both fail with DatagramMalformed.
std::optional<PullRequest> decodePullRequest(std::string_view bytes,
                                             base::LastReason &reason);
std::optional<PullAnswer> decodePullAnswer(std::string_view bytes,
                                           base::LastReason &reason);

} // namespace radishcross::peer
