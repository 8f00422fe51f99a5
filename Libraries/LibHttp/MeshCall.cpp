#include <LibHttp/MeshCall.h>

#include <LibCalls/CallTypes.h>

#include <algorithm>
#include <array>
#include <boost/beast/core/string.hpp>
#include <charconv>
#include <string_view>

namespace radishcross::http {

namespace {

namespace bh = boost::beast::http;

constexpr base::EnumName<MeshAudience> AudienceNames[] = {
    {MeshAudience::Node, "node"},
    {MeshAudience::Target, "target"},
};

/// The fields covered by the proof, in the order of the signed text.
constexpr std::string_view AuthenticatedFields[] = {
    calls::CallIdHeader,  calls::RankHeader,    calls::DeadlineHeader,
    calls::HopsHeader,    calls::ServiceHeader, calls::TargetHeader,
    calls::AttemptHeader,
};

/// Further fields that only nodes may set.
constexpr std::string_view UnauthenticatedFields[] = {
    calls::ProofHeader, calls::CodeHeader, calls::OutcomeHeader,
    calls::PressureHeader, calls::MeshHeader};

bool isMeshField(boost::beast::string_view name) {
  auto equals = [name](std::string_view it) {
    return boost::beast::iequals(name, {it.data(), it.size()});
  };
  return std::any_of(std::begin(AuthenticatedFields),
                     std::end(AuthenticatedFields), equals) ||
         std::any_of(std::begin(UnauthenticatedFields),
                     std::end(UnauthenticatedFields), equals);
}

/// Indices into AuthenticatedFields.
enum FieldIndex : uint8_t {
  CallIdIndex,
  RankIndex,
  DeadlineIndex,
  HopsIndex,
  ServiceIndex,
  TargetIndex,
  AttemptIndex
};

/// Order of the values in the header line between nodes.
constexpr std::array<size_t, std::size(AuthenticatedFields)> NodeLineOrder = {
    CallIdIndex,  RankIndex,    DeadlineIndex, HopsIndex,
    AttemptIndex, ServiceIndex, TargetIndex};

using FieldValues =
    std::array<std::string_view, std::size(AuthenticatedFields)>;

/// Separates the call id from the hash of the client's key, the mark of a call
/// that can go elsewhere, the target's rate limit and the latency objective
/// between nodes: "ID;kHASH;o;rLIMIT;OBJECTIVE", each optional. They are part
/// of the id's value because older nodes take the id as it is.
constexpr char IdSeparator = ';';
constexpr char RatePrefix = 'r';
constexpr std::string_view ElsewhereMark = "o";
constexpr char KeyPrefix = 'k';
constexpr size_t KeyHashDigits = 64;

/// Placeholder for the proof if there is no key.
constexpr std::string_view NoProof = "-";

/// Returns the next word of \p text and removes it together with its space.
std::string_view takeWord(std::string_view &text) {
  size_t n = std::min(text.find(' '), text.size());
  std::string_view word = text.substr(0, n);
  text.remove_prefix(std::min(n + 1, text.size()));
  return word;
}

/// Returns the header line of a call between nodes: the proof and the
/// authenticated values. Only the last two values may be empty, and only the
/// last one may contain spaces.
std::string nodeLine(const FieldValues &values, std::string_view proof) {
  std::string line(calls::MeshHeader);
  line.append(": ").append(proof);
  for (size_t it : NodeLineOrder)
    line.append(" ").append(values[it]);
  return line.append("\r\n");
}

/// Parses the output of nodeLine(); returns the proof.
std::string_view readNodeLine(std::string_view line, FieldValues &values) {
  std::string_view proof = takeWord(line);
  for (size_t it : NodeLineOrder)
    values[it] = it == NodeLineOrder.back() ? line : takeWord(line);
  return proof == NoProof ? std::string_view() : proof;
}

/// Returns the text covered by the proof, one field per line.
std::string authenticatedText(const Request &request, MeshAudience audience,
                              const FieldValues &values) {
  constexpr size_t TypicalBytes = 256;
  std::string text;
  text.reserve(TypicalBytes);
  text += base::nameOf(AudienceNames, audience);
  // Nested calls of a target have their own methods and paths.
  if (audience == MeshAudience::Node) {
    text.append("\n").append(request.method_string());
    text.append("\n").append(request.target());
  }
  for (std::string_view value : values)
    text.append("\n").append(value);
  return text;
}

template <typename Number>
bool parseNumber(std::string_view text, Number &number) {
  auto [end, ec] =
      std::from_chars(text.data(), text.data() + text.size(), number);
  return ec == std::errc() && end == text.data() + text.size();
}

std::string idWord(const MeshCall &call, MeshAudience audience) {
  auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(
      call.LatencyObjective);
  std::string word = call.CallId;
  if (audience != MeshAudience::Node)
    return word;
  if (!call.KeyHash.empty())
    word.append({IdSeparator, KeyPrefix}).append(call.KeyHash);
  if (call.CanGoElsewhere)
    word.append({IdSeparator}).append(ElsewhereMark);
  if (call.StatedRate)
    word.append({IdSeparator, RatePrefix})
        .append(std::to_string(*call.StatedRate));
  if (ms.count() > 0)
    word.append({IdSeparator}).append(std::to_string(ms.count()));
  return word;
}

/// Returns the text behind the last separator, or an empty one.
std::string_view lastPartOf(std::string_view word) {
  size_t at = word.rfind(IdSeparator);
  return at == std::string_view::npos ? std::string_view()
                                      : word.substr(at + 1);
}

/// Parses the output of idWord(). Any other suffix is part of the id.
void readIdWord(std::string_view word, MeshCall &call) {
  uint32_t ms = 0;
  std::string_view part = lastPartOf(word);
  if (parseNumber(part, ms)) {
    call.LatencyObjective = std::chrono::milliseconds(ms);
    word.remove_suffix(part.size() + 1);
  }
  part = lastPartOf(word);
  balance::MilliRate rate = 0;
  if (part.starts_with(RatePrefix) && parseNumber(part.substr(1), rate) &&
      rate >= 0) {
    call.StatedRate = rate;
    word.remove_suffix(part.size() + 1);
  }
  part = lastPartOf(word);
  if (part == ElsewhereMark) {
    call.CanGoElsewhere = true;
    word.remove_suffix(part.size() + 1);
  }
  part = lastPartOf(word);
  if (part.size() == KeyHashDigits + 1 && part.starts_with(KeyPrefix)) {
    call.KeyHash = part.substr(1);
    word.remove_suffix(part.size() + 1);
  }
  call.CallId = word;
}

} // namespace

void stripMeshFields(bh::fields &fields) {
  // Mesh field names are longer than most others, so few need a full
  // comparison.
  for (auto it = fields.begin(); it != fields.end();)
    if (it->name() == bh::field::unknown && isMeshField(it->name_string()))
      it = fields.erase(it);
    else
      ++it;
}

std::string meshHeaderLines(const Request &request, const MeshCall &call,
                            MeshAudience audience, const MeshKeys &keys) {
  auto remaining =
      std::chrono::duration_cast<std::chrono::milliseconds>(call.Remaining);
  std::string deadline = std::to_string(remaining.count());
  std::string hops = std::to_string(call.Hops);
  std::string attempt = std::to_string(call.Attempt);
  std::string id = idWord(call, audience);
  const FieldValues values = {id,
                              base::nameOf(config::RankNames, call.CallRank),
                              deadline,
                              hops,
                              call.ServiceName,
                              call.TargetId,
                              attempt};
  constexpr size_t TypicalBytes = 512;
  std::string proof;
  if (!keys.empty())
    proof = keys.sign(authenticatedText(request, audience, values));
  if (audience == MeshAudience::Node)
    return nodeLine(values, proof.empty() ? NoProof : proof);
  std::string lines;
  lines.reserve(TypicalBytes);
  auto add = [&](std::string_view name, std::string_view value) {
    lines.append(name).append(": ").append(value).append("\r\n");
  };
  for (size_t i = 0; i < values.size(); ++i)
    if (!values[i].empty())
      add(AuthenticatedFields[i], values[i]);
  if (!proof.empty())
    add(calls::ProofHeader, proof);
  return lines;
}

std::optional<MeshCall> readMeshCall(const Request &request,
                                     MeshAudience audience,
                                     const MeshKeys &keys,
                                     base::LastReason &reason) {
  FieldValues values;
  std::string_view proof;
  if (audience == MeshAudience::Node) {
    proof = readNodeLine(fieldOf(request, calls::MeshHeader), values);
  } else {
    proof = fieldOf(request, calls::ProofHeader);
    for (size_t i = 0; i < values.size(); ++i)
      values[i] = fieldOf(request, AuthenticatedFields[i]);
  }
  if (!keys.empty() &&
      (proof.empty() ||
       !keys.verify(authenticatedText(request, audience, values), proof)))
    return reason.fail(base::ResultCode::PeerUnauthenticated,
                       "the request carries no valid proof of the mesh key");
  MeshCall call;
  if (audience == MeshAudience::Node)
    readIdWord(values[CallIdIndex], call);
  else
    call.CallId = values[CallIdIndex];
  call.ServiceName = values[ServiceIndex];
  call.TargetId = values[TargetIndex];
  auto rank = base::fromName(config::RankNames, values[RankIndex]);
  uint32_t remainingMs = 0;
  if (!rank || call.CallId.empty() ||
      !parseNumber(values[DeadlineIndex], remainingMs) ||
      !parseNumber(values[HopsIndex], call.Hops) ||
      !parseNumber(values[AttemptIndex], call.Attempt))
    return reason.fail(base::ResultCode::BadRequest, "malformed mesh field");
  call.CallRank = *rank;
  call.Remaining = std::chrono::milliseconds(remainingMs);
  return call;
}

} // namespace radishcross::http
