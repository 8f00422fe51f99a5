#include <LibBase/Hash.h>
#include <LibHttp/TwoNodes.h>

#include <boost/asio/write.hpp>
#include <doctest/doctest.h>
#include <memory>
#include <string>
#include <vector>

using namespace radishcross;
using namespace radishcross::tests;

namespace {

const calls::CallHeaders Names;
constexpr std::string_view Key = "a secret of the tenant";

/// A snapshot with the route of TwoNodes' requests and, unless \p keys is
/// empty, a tenant that holds them.
config::SnapshotPointer snapshotWith(const std::vector<std::string> &keys,
                                     bool isPublic = false) {
  config::VersionContent content;
  content.Services = {{"pay", {}}};
  config::Route route{"pay", {{}, "", "/pay"}, "pay"};
  route.IsPublic = isPublic;
  content.Routes = {route};
  config::Tenant tenant;
  tenant.Name = "acme";
  tenant.CallRank = config::Rank::Critical;
  tenant.RatePerSecond = 5;
  for (const auto &it : keys)
    tenant.KeyHashes.push_back(base::sha256Hex(it));
  content.Tenants = {tenant};
  base::LastReason reason;
  auto out = config::Snapshot::create(
      {{"badges", 1, std::make_shared<const config::VersionContent>(content)}},
      1, reason);
  REQUIRE_MESSAGE(out, reason.text());
  return *out;
}

struct KeyedMesh : TwoNodes {
  explicit KeyedMesh(bool isPublic = false) {
    Near.Snapshot = snapshotWith({std::string(Key)}, isPublic);
    Far.Snapshot = Near.Snapshot;
  }
  std::optional<http::Response> ask(http::Request request) {
    return fetchFrom(Context, Near.Proxy->callsAddress(), std::move(request));
  }
  http::Request keyed() const {
    auto out = post();
    out.set(Names.Key, std::string(Key));
    return out;
  }
  /// Starts a request at a node; \p status is set to that of its response.
  void askLater(const ProxyNode &node, http::Request request,
                std::optional<unsigned> &status) {
    asio::co_spawn(
        Context,
        [](base::Address to,
           http::Request message) -> asio::awaitable<unsigned> {
          base::LastReason reason;
          auto out = co_await http::fetch(to, std::move(message),
                                          std::chrono::seconds(10), reason);
          co_return out ? out->result_int() : 0;
        }(node.Proxy->callsAddress(), std::move(request)),
        [&status](const std::exception_ptr &, unsigned got) { status = got; });
  }
};

/// An allotment of a given number of requests.
class FixedAllotment final : public tenants::AllotmentPort {
public:
  explicit FixedAllotment(int left, bool isAsking = false)
      : Left(left), IsAsking(isAsking) {}
  tenants::AllotmentVerdict take(std::string_view tenant,
                                 base::TimePoint) override {
    CHECK(tenant == "acme");
    ++Takes;
    if (Left == 0)
      return {false, std::chrono::milliseconds(300), IsAsking};
    --Left;
    return {};
  }
  tenants::AllotmentVerdict retake(std::string_view tenant,
                                   base::TimePoint now) override {
    ++Retakes;
    return take(tenant, now);
  }
  void leave(std::string_view tenant) override {
    CHECK(tenant == "acme");
    ++Departures;
  }
  void giveBack(std::string_view, base::TimePoint) override { ++Left; }
  /// Lets an answer with \p count tokens come.
  void arrive(int count) {
    Left += count;
    tellArrived("acme");
  }
  int Left;
  bool IsAsking; ///< Requests without a token wait for an answer.
  int Takes = 0;
  int Retakes = 0;
  int Departures = 0;
};

/// Returns the number of the tenant's requests that a node has counted.
uint64_t countedAt(ProxyNode &node, const std::string &result) {
  return node.Counters.counter(
      "tenant_requests_total{tenant=\"acme\",result=\"" + result + "\"}");
}

} // namespace

TEST_CASE(
    "a request with an unknown key, or none, is answered 401 and not run") {
  KeyedMesh mesh;
  auto twice = mesh.keyed();
  twice.insert(Names.Key, "another");
  auto unknown = mesh.post();
  unknown.set(Names.Key, "a guess");
  for (const auto &request : {mesh.post(), unknown, twice}) {
    auto response = mesh.ask(request);
    REQUIRE(response);
    CHECK(response->result_int() == 401);
    CHECK((*response)[calls::OutcomeHeader] == "not-run");
  }
  CHECK(mesh.SeenByTarget.empty());
  CHECK(mesh.Near.Broker.Requests.empty());
}

TEST_CASE("a target gets the name of the tenant and never its key") {
  KeyedMesh mesh;
  auto request = mesh.keyed();
  request.set(Names.Tenant, "forged");
  // Nor may a client name the field as one of its connection alone.
  request.set("Connection", "X-Hop, " + Names.Tenant + ", " + Names.Key);
  request.body() = std::string(Key);
  REQUIRE(mesh.ask(request));
  REQUIRE(mesh.SeenByTarget.size() == 1);
  const auto &seen = mesh.SeenByTarget.front();
  CHECK(seen.count(Names.Tenant) == 1);
  CHECK(seen[Names.Tenant] == "acme");
  CHECK(seen.count(Names.Key) == 0);
  // What the client itself puts into its body is the client's.
  CHECK(seen.body() == Key);
  REQUIRE(mesh.Near.Broker.Requests.size() == 1);
  CHECK(mesh.Near.Broker.Requests[0].Tenant == "acme");
  CHECK(mesh.Near.Broker.Requests[0].TenantRank == config::Rank::Critical);
}

TEST_CASE(
    "on a public route, and without tenants, key and tenant are removed") {
  for (bool hasTenants : {true, false}) {
    KeyedMesh mesh(true);
    if (!hasTenants)
      mesh.Near.Snapshot = emptySnapshot();
    auto request = mesh.keyed();
    request.set(Names.Tenant, "forged");
    REQUIRE(mesh.ask(request));
    REQUIRE(mesh.SeenByTarget.size() == 1);
    CHECK(mesh.SeenByTarget[0].count(Names.Key) == 0);
    CHECK(mesh.SeenByTarget[0].count(Names.Tenant) == 0);
  }
}

TEST_CASE("a proved nested call needs no key and has no tenant while its "
          "parent runs, and no longer") {
  KeyedMesh mesh;
  mesh.HoldResponses = true;
  mesh.Far.Broker.First = mesh.Near.Broker.First;
  std::optional<unsigned> parent;
  mesh.askLater(mesh.Near, mesh.keyed(), parent);
  runUntil(mesh.Context, [&] { return mesh.SeenByTarget.size() == 1; });
  const auto nested = mesh.SeenByTarget.front();
  // The target calls at its own node.
  std::optional<unsigned> child;
  mesh.askLater(mesh.Far, nested, child);
  runUntil(mesh.Context, [&] { return mesh.SeenByTarget.size() == 2; });
  CHECK(mesh.SeenByTarget[1].count(Names.Tenant) == 0);
  // Another node knows nothing of the parent.
  auto elsewhere = mesh.ask(nested);
  REQUIRE(elsewhere);
  CHECK(elsewhere->result_int() == 401);
  mesh.Release = true;
  runUntil(mesh.Context, [&] { return parent && child; });
  CHECK(parent == 200U);
  CHECK(child == 200U);
  // A target that reflects what it was sent hands out a proof that is over.
  std::optional<unsigned> reflected;
  mesh.askLater(mesh.Far, nested, reflected);
  runUntil(mesh.Context, [&] { return reflected.has_value(); });
  CHECK(reflected == 401U);
  CHECK(mesh.SeenByTarget.size() == 2);
}

TEST_CASE("the owner of an idempotency key ends calls whose client's key is "
          "taken away") {
  KeyedMesh mesh;
  const auto toTarget = mesh.Near.Broker.First;
  mesh.Near.Broker.First.What = calls::CallStep::Kind::Forward;
  mesh.Near.Broker.First.To.Target = {};
  // The owner's first attempt is refused; the key goes before the second.
  mesh.Far.Broker.First = toTarget;
  mesh.Far.Gate.Kind = admission::GateAnswer::Kind::Refuse;
  auto again = toTarget;
  again.Attempt = 2;
  mesh.Far.Broker.Next = {again};
  mesh.Far.Broker.OnAttemptEnded = [&mesh] {
    mesh.Far.Snapshot = snapshotWith({"another key"});
    mesh.Far.Gate.Kind = admission::GateAnswer::Kind::Run;
  };
  REQUIRE(mesh.ask(mesh.keyed()));
  CHECK(mesh.SeenByTarget.empty());
  REQUIRE(mesh.Far.Broker.Results.size() == 2);
  CHECK(mesh.Far.Broker.Results[1].Code == base::ResultCode::KeyUnknown);
}

TEST_CASE("the owner of an idempotency key runs calls whose client's key it "
          "has yet to learn of") {
  KeyedMesh mesh;
  mesh.Far.Snapshot = snapshotWith({"an older key"});
  mesh.Far.Broker.First = mesh.Near.Broker.First;
  mesh.Near.Broker.First.What = calls::CallStep::Kind::Forward;
  mesh.Near.Broker.First.To.Target = {};
  auto response = mesh.ask(mesh.keyed());
  REQUIRE(response);
  CHECK(response->result_int() == 200);
  CHECK(mesh.SeenByTarget.size() == 1);
}

TEST_CASE("a key that is taken away ends calls before their next attempt") {
  KeyedMesh mesh;
  // The first attempt is refused by the target's node; the key goes before the
  // second is sent.
  mesh.Far.Gate.Kind = admission::GateAnswer::Kind::Refuse;
  auto again = mesh.Near.Broker.First;
  again.Attempt = 2;
  mesh.Near.Broker.Next = {again};
  mesh.Near.Broker.OnAttemptEnded = [&mesh] {
    mesh.Near.Snapshot = snapshotWith({"another key"});
    mesh.Far.Gate.Kind = admission::GateAnswer::Kind::Run;
  };
  REQUIRE(mesh.ask(mesh.keyed()));
  CHECK(mesh.SeenByTarget.empty());
  REQUIRE(mesh.Near.Broker.Results.size() == 2);
  CHECK(mesh.Near.Broker.Results[1].Code == base::ResultCode::KeyUnknown);
  CHECK(mesh.Near.Broker.Results[1].End == calls::AttemptEnd::RefusedNotRun);
  // The next request on any connection is refused at once.
  auto response = mesh.ask(mesh.keyed());
  REQUIRE(response);
  CHECK(response->result_int() == 401);
}

TEST_CASE("a tenant beyond its allotment gets 429 with the time to come back") {
  KeyedMesh mesh;
  FixedAllotment allotment(1);
  mesh.Near.Proxy->setAllotments(&allotment);
  auto first = mesh.ask(mesh.keyed());
  REQUIRE(first);
  CHECK(first->result_int() == 200);
  auto second = mesh.ask(mesh.keyed());
  REQUIRE(second);
  CHECK(second->result_int() == 429);
  CHECK((*second)["Retry-After"] == "0.300");
  CHECK(mesh.SeenByTarget.size() == 1);
}

TEST_CASE("the token of a request that was not run is given back") {
  KeyedMesh mesh;
  FixedAllotment allotment(1);
  mesh.Near.Proxy->setAllotments(&allotment);
  mesh.Far.Gate.Kind = admission::GateAnswer::Kind::Refuse;
  REQUIRE(mesh.ask(mesh.keyed()));
  CHECK(allotment.Left == 1);
}

TEST_CASE("a request that waits for a token is woken when one arrives") {
  KeyedMesh mesh;
  FixedAllotment allotment(0, true);
  mesh.Near.Proxy->setAllotments(&allotment);
  // Of three that wait, the answers that come serve the oldest first.
  std::optional<unsigned> statuses[3];
  for (int n = 0; n < 3; ++n) {
    mesh.askLater(mesh.Near, mesh.keyed(), statuses[n]);
    runUntil(mesh.Context, [&] { return allotment.Takes == n + 1; });
  }
  CHECK(allotment.Retakes == 0);
  allotment.arrive(2);
  runUntil(mesh.Context, [&] { return statuses[0] && statuses[1]; });
  CHECK(statuses[0] == 200U);
  CHECK(statuses[1] == 200U);
  // One that does not get a token in time is refused.
  runUntil(mesh.Context, [&] { return statuses[2].has_value(); });
  CHECK(statuses[2] == 429U);
  CHECK(allotment.Retakes == 4);
  CHECK(countedAt(mesh.Near, "granted") == 2);
  CHECK(countedAt(mesh.Near, "refused") == 1);
}

TEST_CASE("a request whose tokens turn out to be scarce waits no longer") {
  KeyedMesh mesh;
  FixedAllotment allotment(0, true);
  mesh.Near.Proxy->setAllotments(&allotment);
  std::optional<unsigned> status;
  mesh.askLater(mesh.Near, mesh.keyed(), status);
  runUntil(mesh.Context, [&] { return allotment.Takes == 1; });
  allotment.IsAsking = false;
  allotment.arrive(0);
  runUntil(mesh.Context, [&] { return status.has_value(); });
  CHECK(status == 429U);
  CHECK(allotment.Retakes == 1);
}

namespace {

/// Sends a request with the tenant's key; the client leaves once \p isSeen.
template <typename Seen> void askAndLeave(KeyedMesh &mesh, Seen isSeen) {
  asio::ip::tcp::socket client(mesh.Context);
  const auto address = mesh.Near.Proxy->callsAddress();
  client.connect({asio::ip::make_address(address.Host), address.Port});
  const auto text = "POST /pay HTTP/1.1\r\nHost: a\r\n" + Names.Key + ": " +
                    std::string(Key) + "\r\nContent-Length: 0\r\n\r\n";
  asio::write(client, asio::buffer(text));
  runUntil(mesh.Context, isSeen);
  client.set_option(asio::socket_base::linger(true, 0));
  client.close();
}

} // namespace

TEST_CASE("a caller that leaves while it waits for a token is no refusal") {
  KeyedMesh mesh;
  FixedAllotment allotment(0, true);
  mesh.Near.Proxy->setAllotments(&allotment);
  askAndLeave(mesh, [&] { return allotment.Takes == 1; });
  runUntil(mesh.Context, [&] { return allotment.Departures == 1; });
  // What comes later is left for others.
  allotment.arrive(1);
  runUntil(mesh.Context, [&] { return mesh.Near.Proxy->inFlight() == 0; });
  CHECK(allotment.Left == 1);
  CHECK(mesh.Near.Broker.Requests.empty());
  CHECK(countedAt(mesh.Near, "granted") == 0);
  CHECK(countedAt(mesh.Near, "refused") == 0);
}

TEST_CASE("the token of a caller that leaves before its call is sent goes "
          "back") {
  KeyedMesh mesh;
  FixedAllotment allotment(1);
  mesh.Near.Proxy->setAllotments(&allotment);
  // The call waits for another of its idempotency key.
  mesh.Near.Broker.First.What = calls::CallStep::Kind::Wait;
  askAndLeave(mesh, [&] { return !mesh.Near.Broker.Requests.empty(); });
  runUntil(mesh.Context, [&] { return mesh.Near.Broker.Ended == 1; });
  CHECK(allotment.Left == 1);
  CHECK(mesh.SeenByTarget.empty());
}
