#include <LibPeer/PullCodec.h>
#include <LibPeer/WireTypes.h>

#include <utility>

namespace radishcross::peer {

namespace {

constexpr uint64_t WordBytes = 8;
constexpr uint64_t MaximumRequestWords = 4096;
constexpr uint64_t MaximumAnswerWords = 4 * MaximumAnswerBytes / WordBytes;

kj::ArrayPtr<const kj::byte> toData(const std::string &bytes) {
  return {reinterpret_cast<const kj::byte *>(bytes.data()), bytes.size()};
}

std::string toString(capnp::Data::Reader data) {
  return {reinterpret_cast<const char *>(data.begin()), data.size()};
}

bool readRequest(wire::PullRequest::Reader reader, PullRequest &request) {
  if (reader.getKind() > static_cast<uint8_t>(PullKind::External) ||
      !readText(reader.getSender(), MaximumIdBytes, request.Sender))
    return false;
  request.Nonce = reader.getNonce();
  request.Kind = static_cast<PullKind>(reader.getKind());
  request.From = reader.getFrom();
  auto buckets = reader.getBuckets();
  if (request.Kind != PullKind::Members)
    return buckets.size() == 0;
  if (buckets.size() != fleet::MemberBuckets)
    return false;
  for (uint32_t n = 0; n < buckets.size(); ++n)
    request.Buckets[n] = buckets[n];
  return true;
}

bool readRecords(wire::PullAnswer::Reader reader, PullAnswer &answer) {
  for (auto it : reader.getRecords()) {
    bool isNext =
        answer.Records.empty() || it.getAt() > answer.Records.back().At;
    if (!isNext || it.getBytes().size() > log::MaximumRecordBytes)
      return false;
    answer.Records.push_back({it.getAt(), toString(it.getBytes())});
  }
  return true;
}

bool readAnswer(wire::PullAnswer::Reader reader, PullAnswer &answer) {
  if (reader.getKind() > static_cast<uint8_t>(PullKind::External))
    return false;
  answer.Nonce = reader.getNonce();
  answer.Kind = static_cast<PullKind>(reader.getKind());
  answer.Code = static_cast<base::ResultCode>(reader.getCode());
  answer.RetryAfterMilliseconds = reader.getRetryAfterMilliseconds();
  answer.Summary = readDigest(reader.getSummary());
  answer.State = toString(reader.getState());
  answer.StateOffset = reader.getStateOffset();
  for (auto it : reader.getMembers()) {
    fleet::MemberUpdate update;
    if (!readMember(it, update) || !update.HasContent)
      return false;
    answer.Members.push_back(std::move(update.Record));
  }
  return readRecords(reader, answer);
}

} // namespace

std::string encodePullRequest(const PullRequest &request) {
  capnp::MallocMessageBuilder arena;
  auto builder = arena.initRoot<wire::PullRequest>();
  builder.setSender(request.Sender);
  builder.setNonce(request.Nonce);
  builder.setKind(static_cast<uint8_t>(request.Kind));
  builder.setFrom(request.From);
  if (request.Kind != PullKind::Members)
    return packMessage(arena);
  auto buckets = builder.initBuckets(fleet::MemberBuckets);
  for (uint32_t n = 0; n < fleet::MemberBuckets; ++n)
    buckets.set(n, request.Buckets[n]);
  return packMessage(arena);
}

std::string encodePullAnswer(const PullAnswer &answer) {
  capnp::MallocMessageBuilder arena;
  auto builder = arena.initRoot<wire::PullAnswer>();
  builder.setNonce(answer.Nonce);
  builder.setKind(static_cast<uint8_t>(answer.Kind));
  builder.setCode(static_cast<uint16_t>(answer.Code));
  builder.setRetryAfterMilliseconds(answer.RetryAfterMilliseconds);
  writeDigest(builder.initSummary(), answer.Summary);
  auto records = builder.initRecords(answer.Records.size());
  uint32_t n = 0;
  for (const auto &it : answer.Records) {
    records[n].setAt(it.At);
    records[n++].setBytes(toData(it.Bytes));
  }
  builder.setState(toData(answer.State));
  builder.setStateOffset(answer.StateOffset);
  auto members = builder.initMembers(answer.Members.size());
  n = 0;
  for (const auto &it : answer.Members)
    writeMember(members[n++], it, true);
  return packMessage(arena);
}

std::optional<PullRequest> decodePullRequest(std::string_view bytes,
                                             base::LastReason &reason) {
  PullRequest request;
  bool isValid = bytes.size() <= MaximumRequestBytes &&
                 unpackMessage(bytes, MaximumRequestWords, [&](auto &message) {
                   return readRequest(
                       message.template getRoot<wire::PullRequest>(), request);
                 });
  if (!isValid)
    return reason.fail(base::ResultCode::DatagramMalformed,
                       "pull request is malformed or too large");
  return request;
}

std::optional<PullAnswer> decodePullAnswer(std::string_view bytes,
                                           base::LastReason &reason) {
  PullAnswer answer;
  bool isValid =
      bytes.size() <= MaximumAnswerBytes &&
      unpackMessage(bytes, MaximumAnswerWords, [&](auto &message) {
        return readAnswer(message.template getRoot<wire::PullAnswer>(), answer);
      });
  if (!isValid)
    return reason.fail(base::ResultCode::DatagramMalformed,
                       "pull answer is malformed or too large");
  return answer;
}

} // namespace radishcross::peer
