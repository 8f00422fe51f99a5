#pragma once

#include <LibBase/Clock.h>
#include <LibBase/LastReason.h>
#include <LibConfig/Rank.h>
#include <LibHttp/Message.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace radishcross::http {

/// What nodes tell each other, and their targets, about one call.
struct MeshCall {
  std::string CallId;
  config::Rank CallRank = config::Rank::Background;
  base::Duration Remaining{}; ///< Deadline left; travels in milliseconds.
  uint32_t Hops = 0;          ///< Calls above this one in the chain.
  uint32_t Attempt = 0;       ///< Attempts of this call before this one.
  std::string ServiceName;    ///< "configuration/name".
  std::string TargetId; ///< Empty: the receiving node's broker runs the call.
};

/// Who a message is for; a proof for one cannot be used for the other.
enum class MeshAudience : uint8_t {
  Node,   ///< Another node's mesh listener.
  Target, ///< A target, which passes the fields on with its deeper calls.
};

/// Removes every field of the mesh.
void stripMeshFields(boost::beast::http::fields &fields);

/// Writes the call's fields and their proof under \p key.
void writeMeshCall(Request &request, const MeshCall &call,
                   MeshAudience audience, const std::string &key);

/// Reads the call's fields; fails with PeerUnauthenticated where no key of
/// \p keys made the proof, and with BadRequest where a field is malformed.
std::optional<MeshCall> readMeshCall(const Request &request,
                                     MeshAudience audience,
                                     const std::vector<std::string> &keys,
                                     base::LastReason &reason);

} // namespace radishcross::http
