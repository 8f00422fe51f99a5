#pragma once

#include <LibBalance/TargetSignals.h>
#include <LibBase/Clock.h>
#include <LibBase/LastReason.h>
#include <LibConfig/Rank.h>
#include <LibHttp/MeshKey.h>
#include <LibHttp/Message.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace radishcross::http {

/// Metadata of a call that nodes pass to each other and to their targets.
struct MeshCall {
  std::string CallId;
  config::Rank CallRank = config::Rank::Background;
  /// Remaining deadline; sent in milliseconds; 0 means that it has passed.
  base::Duration Remaining{};
  /// Latency objective of the call's route; 0: none, or the sender is an older
  /// node that doesn't send it. Sent between nodes only, in milliseconds.
  base::Duration LatencyObjective{};
  /// The target's rate limit, if the sender knows one from its answers. Sent
  /// between nodes only.
  std::optional<balance::MilliRate> StatedRate;
  /// SHA-256 of the key that the client sent, in hexadecimal digits, for the
  /// node that owns the call's idempotency key; empty: none. Sent between nodes
  /// only.
  std::string KeyHash;
  /// The sender will ask another target if this one's node refuses. Sent
  /// between nodes only; older nodes don't.
  bool CanGoElsewhere = false;
  uint32_t Hops = 0;       ///< Number of ancestor calls in the chain.
  uint32_t Attempt = 1;    ///< RetryAttempt, HedgeAttempt, or 1 for others.
  std::string ServiceName; ///< "configuration/name".
  std::string
      TargetId; ///< Empty if the receiving node's broker is to run the call.
};

/// AttemptHeader of a request that is a retry.
constexpr uint32_t RetryAttempt = 2;

/// AttemptHeader of a retry that must not wait at the target's gate, since it
/// is made beside an attempt that is only slow.
constexpr uint32_t HedgeAttempt = 3;

/// Value of AttemptHeader in a response if a nested call failed and the failure
/// was handled below.
constexpr std::string_view FailureBelowValue = "below";

/// Recipient of a message. The proof for one audience is not valid for the
/// other.
enum class MeshAudience : uint8_t {
  Node,   ///< Another node's mesh listener.
  Target, ///< A target, which copies the fields to its nested calls.
};

/// Removes all mesh fields.
void stripMeshFields(boost::beast::http::fields &fields);

/// Returns the header lines with the call's fields and their proof, to be
/// inserted into the head of \p request, which must have no mesh fields itself.
std::string meshHeaderLines(const Request &request, const MeshCall &call,
                            MeshAudience audience, const MeshKeys &keys);

/// Parses the call's fields. Fails with PeerUnauthenticated if no key of \p
/// keys made the proof, and with BadRequest if a field is malformed.
std::optional<MeshCall> readMeshCall(const Request &request,
                                     MeshAudience audience,
                                     const MeshKeys &keys,
                                     base::LastReason &reason);

} // namespace radishcross::http
