#include <LibBase/Random.h>
#include <LibLog/GossipForm.h>
#include <LibPeer/GossipCodec.h>
#include <LibPeer/MeshAuthenticator.h>
#include <LibPeer/PullCodec.h>
#include <LibPeer/ReplayGuard.h>

#include <doctest/doctest.h>
#include <functional>

using namespace radishcross;
using namespace radishcross::peer;

namespace {

constexpr int MutationsPerDecoder = 200000;

fleet::Member exampleMember() {
  fleet::Member member;
  member.Identity = {"node-1",         "dc-0",
                     "south",          {{"ring", "canary"}},
                     {"127.0.0.1", 1}, {"127.0.0.1", 2},
                     {"127.0.0.1", 3}, {"::1", 4}};
  member.Incarnation = 7;
  member.Revision = 9;
  member.State = fleet::MemberState::Suspect;
  member.ConfigOffset = 4;
  member.HeldOffset = 5;
  member.Targets.push_back({"badges/lookup",
                            "t",
                            {"127.0.0.1", 5},
                            fleet::TargetState::Draining,
                            9,
                            120,
                            300,
                            2,
                            "v2",
                            3000});
  return member;
}

Datagram exampleDatagram() {
  Datagram datagram{"node-1", 100, 3, {}};
  auto &message = datagram.Message;
  message.Kind = fleet::GossipKind::PingRequest;
  message.Probe = 12;
  message.Subject = "node-2";
  message.Summary = {5, 4, 3, 2, true, {9, std::chrono::milliseconds(1500)}};
  message.Updates = {{exampleMember(), true}, {exampleMember(), false}};
  message.Notices = {{"topic", "text", 8, 1000}};
  return datagram;
}

PullAnswer exampleAnswer() {
  PullAnswer answer;
  answer.Nonce = 5;
  answer.Kind = PullKind::Members;
  answer.Code = base::ResultCode::PeerBusy;
  answer.RetryAfterMilliseconds = 50;
  answer.Records = {{3, "three"}, {4, std::string("\0four", 5)}};
  answer.State = "{}";
  answer.StateOffset = 2;
  answer.Members = {exampleMember()};
  return answer;
}

PullRequest exampleRequest() {
  PullRequest request{"node-1", 5, PullKind::Members, 3, {}};
  request.Buckets[3] = 17;
  return request;
}

/// Changes, truncates, inserts or repeats a few bytes of \p bytes.
std::string mutate(std::string bytes, base::Random &random) {
  for (auto n = 1 + random.below(4); n > 0 && !bytes.empty(); --n) {
    auto at = random.below(bytes.size());
    switch (random.below(5)) {
    case 0:
      bytes[at] = static_cast<char>(random.next());
      break;
    case 1:
      bytes[at] = static_cast<char>(bytes[at] ^ (1 << random.below(8)));
      break;
    case 2:
      bytes.resize(at);
      break;
    case 3:
      bytes.insert(at, bytes.substr(at, random.below(16)));
      break;
    default:
      bytes.insert(at,
                   std::string(random.below(8), random.below(2) ? '\xff' : 0));
    }
  }
  return bytes;
}

Datagram exampleAllotment() {
  Datagram out;
  out.Sender = "node-1";
  out.Epoch = 2;
  out.Sequence = 7;
  tenants::AllotmentMessage it;
  it.Group = 3;
  it.Session = 4;
  it.Sequence = 5;
  it.Stamp = 6;
  it.ShareOf = 91;
  it.Needs = {{"t", 1, 2, 3}};
  it.Grants = {{"t", 8, 9}};
  out.Allotment = it;
  return out;
}

} // namespace

TEST_CASE("messages survive an encode and decode round trip") {
  base::LastReason reason;
  auto datagram = decodeDatagram(encodeDatagram(exampleDatagram()), reason);
  REQUIRE(datagram);
  CHECK(encodeDatagram(*datagram) == encodeDatagram(exampleDatagram()));
  const auto &member = datagram->Message.Updates[0].Record;
  CHECK(member.Identity.NodeLabels == exampleMember().Identity.NodeLabels);
  CHECK(member.Identity.Administration.text() == "[::1]:4");
  CHECK(member.Targets[0].State == fleet::TargetState::Draining);
  CHECK(member.Targets[0].SoftwareVersion == "v2");
  CHECK(member.Targets[0].WarmUpMs == 3000);
  CHECK(member.HeldOffset == 5);
  CHECK_FALSE(datagram->Message.Updates[1].HasContent);

  auto request = decodePullRequest(encodePullRequest(exampleRequest()), reason);
  REQUIRE(request);
  CHECK(request->Buckets == exampleRequest().Buckets);

  auto answer = decodePullAnswer(encodePullAnswer(exampleAnswer()), reason);
  REQUIRE(answer);
  CHECK(answer->Records[1].Bytes == exampleAnswer().Records[1].Bytes);
  CHECK(encodePullAnswer(*answer) == encodePullAnswer(exampleAnswer()));
}

TEST_CASE("messages about allotments survive a round trip") {
  base::LastReason reason;
  auto ask = decodeDatagram(encodeDatagram(exampleAllotment()), reason);
  REQUIRE(ask);
  REQUIRE(ask->Allotment);
  CHECK(ask->Sender == "node-1");
  CHECK(ask->Sequence == 7);
  const auto &it = *ask->Allotment;
  CHECK_FALSE(it.IsAnswer);
  CHECK(it.Group == 3);
  CHECK(it.Session == 4);
  CHECK(it.Sequence == 5);
  CHECK(it.Stamp == 6);
  CHECK(it.ShareOf == 91);
  REQUIRE(it.Needs.size() == 1);
  CHECK(it.Needs[0].Tenant == "t");
  CHECK(it.Needs[0].Used == 1);
  CHECK(it.Needs[0].Stock == 2);
  CHECK(it.Needs[0].Want == 3);
  REQUIRE(it.Grants.size() == 1);
  CHECK(it.Grants[0].Kept == 8);
  CHECK(it.Grants[0].Granted == 9);
  CHECK(encodeDatagram(*ask) == encodeDatagram(exampleAllotment()));
}

TEST_CASE("messages about allotments stay small") {
  MeshAuthenticator authenticator({"key"});
  auto datagram = exampleAllotment();
  datagram.Epoch = 1796600000000;
  datagram.Sequence = 1000000;
  datagram.Sender = "vm-with-a-name-7";
  auto &it = *datagram.Allotment;
  it.Session = 1796600000000;
  it.Sequence = 100000;
  it.Stamp = 86400000000;
  it.Needs.clear();
  it.Grants.clear();
  auto idle = authenticator.seal(encodeDatagram(datagram)).size();
  for (int n = 0; n < 3; ++n)
    it.Needs.push_back({"some-tenant-" + std::to_string(n), 100000, 30, 200});
  auto busy = authenticator.seal(encodeDatagram(datagram)).size();
  MESSAGE("idle " << idle << ", three tenants " << busy << " bytes");
  CHECK(idle <= 120);
  CHECK(busy <= 220);
  // The most that one message holds.
  it.Needs.clear();
  for (int n = 0; n < 26; ++n)
    it.Needs.push_back({"tenant-with-" + std::to_string(n), UINT32_MAX,
                        UINT32_MAX, UINT32_MAX});
  CHECK(authenticator.seal(encodeDatagram(datagram)).size() <=
        MaximumDatagramBytes);
}

TEST_CASE("decoders reject malformed messages and never crash") {
  struct Case {
    std::string Encoded;
    std::function<bool(std::string_view, base::LastReason &)> Decode;
  };
  Case cases[] = {
      {encodeDatagram(exampleDatagram()),
       [](auto bytes, auto &reason) {
         return decodeDatagram(bytes, reason).has_value();
       }},
      {encodeDatagram(exampleAllotment()),
       [](auto bytes, auto &reason) {
         return decodeDatagram(bytes, reason).has_value();
       }},
      {encodePullRequest(exampleRequest()),
       [](auto bytes, auto &reason) {
         return decodePullRequest(bytes, reason).has_value();
       }},
      {encodePullAnswer(exampleAnswer()),
       [](auto bytes, auto &reason) {
         return decodePullAnswer(bytes, reason).has_value();
       }},
  };
  for (uint64_t seed = 1; const auto &it : cases) {
    base::Random random(seed++);
    int refused = 0;
    for (int n = 0; n < MutationsPerDecoder; ++n) {
      base::LastReason reason;
      if (it.Decode(mutate(it.Encoded, random), reason))
        continue;
      ++refused;
      REQUIRE(reason.code() == base::ResultCode::DatagramMalformed);
    }
    CHECK(refused > MutationsPerDecoder / 10);
    base::LastReason reason;
    CHECK_FALSE(it.Decode("", reason));
    // A repeated pair of bytes that each unpacks to 2 KB of zeros.
    std::string bomb;
    for (int n = 0; n < 600; ++n)
      bomb += std::string("\0\xff", 2);
    CHECK_FALSE(it.Decode(bomb, reason));
  }
}

TEST_CASE("a record larger than any node accepts does not fail the pulls of "
          "the records beside it") {
  PullAnswer answer;
  answer.Kind = PullKind::Records;
  for (const std::string &bytes :
       {std::string("three"), std::string(log::MaximumRecordBytes + 1, 'x'),
        std::string(log::MaximumRecordBytes, 'y')}) {
    log::StoredRecord record{answer.Records.size() + 3, bytes};
    answer.Records.push_back({record.At, std::string(log::gossipForm(record))});
  }
  base::LastReason reason;
  auto got = decodePullAnswer(encodePullAnswer(answer), reason);
  REQUIRE_MESSAGE(got, reason.text());
  REQUIRE(got->Records.size() == 3);
  CHECK(got->Records[1].Bytes.empty());
  CHECK(got->Records[2].Bytes.size() == log::MaximumRecordBytes);
}

TEST_CASE("a mutated message fails authentication") {
  MeshAuthenticator authenticator({"new", "old"});
  auto sealed = MeshAuthenticator({"old"}).seal("body");
  base::LastReason reason;
  CHECK(authenticator.open(sealed, reason) == "body");
  base::Random random(1);
  for (int n = 0; n < 10000; ++n) {
    auto changed = mutate(sealed, random);
    REQUIRE((changed == sealed || !authenticator.open(changed, reason)));
  }
  CHECK(reason.code() == base::ResultCode::PeerUnauthenticated);
  CHECK_FALSE(
      MeshAuthenticator({}).open(MeshAuthenticator({}).seal("body"), reason));
}

TEST_CASE("each datagram is accepted once, in any order within the window") {
  struct Case {
    uint64_t Epoch;
    uint64_t Sequence;
    bool Accepted;
  };
  ReplayGuard guard;
  for (auto it : {Case{5, 10, true}, Case{5, 10, false}, Case{5, 12, true},
                  Case{5, 11, true}, Case{5, 11, false}, Case{5, 200, true},
                  Case{5, 136, false}, Case{5, 137, true}, Case{4, 300, false},
                  Case{6, 1, true}, Case{5, 201, false}}) {
    CAPTURE(it.Epoch);
    CAPTURE(it.Sequence);
    CHECK(guard.accept("node-1", it.Epoch, it.Sequence) == it.Accepted);
  }
  CHECK(guard.accept("node-2", 5, 10));
}
