#pragma once

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

/// What nodes tell each other, and their targets, about one call.
struct MeshCall {
  std::string CallId;
  config::Rank CallRank = config::Rank::Background;
  /// Deadline left; travels in milliseconds; 0 means that it has passed.
  base::Duration Remaining{};
  /// Of the call's route; 0: none is stated, or an older node sent the call.
  /// Travels between nodes only, in milliseconds.
  base::Duration LatencyObjective{};
  uint32_t Hops = 0;       ///< Calls above this one in the chain.
  uint32_t Attempt = 1;    ///< 2 for a retry.
  std::string ServiceName; ///< "configuration/name".
  std::string TargetId; ///< Empty: the receiving node's broker runs the call.
};

/// AttemptHeader of a request that is a retry.
constexpr uint32_t RetryAttempt = 2;

/// AttemptHeader of an answer when a call made below it failed and was dealt
/// with there.
constexpr std::string_view FailureBelowValue = "below";

/// Who a message is for; a proof for one cannot be used for the other.
enum class MeshAudience : uint8_t {
  Node,   ///< Another node's mesh listener.
  Target, ///< A target, which passes the fields on with its deeper calls.
};

/// Removes every field of the mesh.
void stripMeshFields(boost::beast::http::fields &fields);

/// Returns the lines of the call's fields and of their proof, to be written
/// into the head of \p request, which has no fields of the mesh itself.
std::string meshHeaderLines(const Request &request, const MeshCall &call,
                            MeshAudience audience, const MeshKeys &keys);

/// Reads the call's fields; fails with PeerUnauthenticated where no key of
/// \p keys made the proof, and with BadRequest where a field is malformed.
std::optional<MeshCall> readMeshCall(const Request &request,
                                     MeshAudience audience,
                                     const MeshKeys &keys,
                                     base::LastReason &reason);

} // namespace radishcross::http
