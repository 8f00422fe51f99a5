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
  Records,  ///< Log records from an offset on.
  State,    ///< The fold's whole state.
  Members,  ///< Member records of the buckets that differ.
  External, ///< The record of a higher version of the external configuration.
};

constexpr base::EnumName<PullKind> PullKindNames[] = {
    {PullKind::Records, "records"},
    {PullKind::State, "state"},
    {PullKind::Members, "members"},
    {PullKind::External, "external"},
};

/// Asks a peer for what the asker lacks.
struct PullRequest {
  fleet::NodeId Sender;
  uint64_t Nonce = 0; ///< Binds the answer to the request.
  PullKind Kind = PullKind::Records;
  /// For Records the first one wanted, for External the version held.
  log::Offset From = 1;
  fleet::BucketHashes Buckets{}; ///< For Members: the asker's hashes.
};

/// Answer to a pull. A code other than Ok means that nothing was sent.
struct PullAnswer {
  uint64_t Nonce = 0;
  PullKind Kind = PullKind::Records;
  base::ResultCode Code = base::ResultCode::Ok;
  uint32_t RetryAfterMilliseconds = 0; ///< With PeerBusy.
  fleet::Digest Summary;
  std::vector<log::StoredRecord> Records; ///< In offset order, without gaps.
  /// log::Fold::save() as JSON text and its offset; for External the record's
  /// bytes and its version, or nothing where the peer holds none above From.
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
