#include <LibHttp/MeshCall.h>

#include <LibBase/Hash.h>
#include <LibCalls/CallTypes.h>

#include <algorithm>
#include <boost/beast/core/string.hpp>
#include <charconv>
#include <string_view>

namespace radishcross::http {

namespace {

namespace bh = boost::beast::http;

constexpr std::string_view MeshPrefix = "X-Radishcross-";

constexpr base::EnumName<MeshAudience> AudienceNames[] = {
    {MeshAudience::Node, "node"},
    {MeshAudience::Target, "target"},
};

std::string_view fieldOf(const Request &request, std::string_view name) {
  auto it = request.find(name);
  if (it == request.end())
    return {};
  return {it->value().data(), it->value().size()};
}

std::string toHex(std::string_view bytes) {
  constexpr std::string_view Digits = "0123456789abcdef";
  std::string out;
  out.reserve(bytes.size() * 2);
  for (char c : bytes) {
    auto byte = static_cast<unsigned char>(c);
    out += Digits[byte >> 4];
    out += Digits[byte & 15U];
  }
  return out;
}

/// Returns the bytes that a proof covers, one field a line.
std::string provenText(const Request &request, MeshAudience audience) {
  std::string text(base::nameOf(AudienceNames, audience));
  // A target's deeper calls have methods and paths of their own.
  if (audience == MeshAudience::Node) {
    text.append("\n").append(request.method_string());
    text.append("\n").append(request.target());
  }
  for (std::string_view name :
       {calls::CallIdHeader, calls::RankHeader, calls::DeadlineHeader,
        calls::HopsHeader, calls::ServiceHeader, calls::TargetHeader,
        calls::AttemptHeader})
    text.append("\n").append(fieldOf(request, name));
  return text;
}

bool isProven(const Request &request, MeshAudience audience,
              const std::vector<std::string> &keys) {
  std::string_view proof = fieldOf(request, calls::ProofHeader);
  if (proof.empty())
    return false;
  std::string text = provenText(request, audience);
  return std::any_of(keys.begin(), keys.end(), [&](const std::string &key) {
    return base::equalInConstantTime(toHex(base::hmacSha256(key, text)), proof);
  });
}

template <typename Number>
bool parseNumber(std::string_view text, Number &number) {
  auto [end, ec] =
      std::from_chars(text.data(), text.data() + text.size(), number);
  return ec == std::errc() && end == text.data() + text.size();
}

} // namespace

void stripMeshFields(bh::fields &fields) {
  for (auto it = fields.begin(); it != fields.end();) {
    auto name = it->name_string().substr(0, MeshPrefix.size());
    if (boost::beast::iequals(name, MeshPrefix))
      it = fields.erase(it);
    else
      ++it;
  }
}

void writeMeshCall(Request &request, const MeshCall &call,
                   MeshAudience audience, const std::string &key) {
  auto remaining =
      std::chrono::duration_cast<std::chrono::milliseconds>(call.Remaining);
  stripMeshFields(request);
  request.set(calls::CallIdHeader, call.CallId);
  request.set(calls::RankHeader,
              base::nameOf(config::RankNames, call.CallRank));
  request.set(calls::DeadlineHeader, std::to_string(remaining.count()));
  request.set(calls::HopsHeader, std::to_string(call.Hops));
  request.set(calls::ServiceHeader, call.ServiceName);
  request.set(calls::AttemptHeader, std::to_string(call.Attempt));
  if (!call.TargetId.empty())
    request.set(calls::TargetHeader, call.TargetId);
  request.set(calls::ProofHeader,
              toHex(base::hmacSha256(key, provenText(request, audience))));
}

std::optional<MeshCall> readMeshCall(const Request &request,
                                     MeshAudience audience,
                                     const std::vector<std::string> &keys,
                                     base::LastReason &reason) {
  if (!isProven(request, audience, keys))
    return reason.fail(base::ResultCode::PeerUnauthenticated,
                       "the request carries no valid proof of the mesh key");
  MeshCall call;
  call.CallId = fieldOf(request, calls::CallIdHeader);
  call.ServiceName = fieldOf(request, calls::ServiceHeader);
  call.TargetId = fieldOf(request, calls::TargetHeader);
  auto rank =
      base::fromName(config::RankNames, fieldOf(request, calls::RankHeader));
  uint32_t remainingMs = 0;
  if (!rank || call.CallId.empty() ||
      !parseNumber(fieldOf(request, calls::DeadlineHeader), remainingMs) ||
      !parseNumber(fieldOf(request, calls::HopsHeader), call.Hops) ||
      !parseNumber(fieldOf(request, calls::AttemptHeader), call.Attempt))
    return reason.fail(base::ResultCode::BadRequest,
                       "a field of the mesh is malformed");
  call.CallRank = *rank;
  call.Remaining = std::chrono::milliseconds(remainingMs);
  return call;
}

} // namespace radishcross::http
