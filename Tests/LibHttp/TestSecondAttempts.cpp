#include <LibHttp/Mesh.h>

#include <LibCalls/Broker.h>
#include <LibHttp/Responses.h>

#include <algorithm>
#include <array>
#include <memory>
#include <optional>
#include <string>
#include <vector>

using namespace radishcross;
using namespace radishcross::tests;
using namespace std::chrono_literals;
using admission::GateAnswer;

namespace {

/// A node whose target responds when the test allows it.
struct SlowNode {
  SlowNode(asio::io_context &context, const base::Clock &clock,
           const std::string &id)
      : Node(context, clock, id), Id(id), Context(&context) {
    base::LastReason reason;
    auto server = http::Server::create(
        context, {"127.0.0.1", 0}, {},
        [this](http::IncomingRequest in) { return serve(std::move(in)); },
        reason);
    REQUIRE(server);
    Target = *server;
    Node.Local = fleet::TargetRecord();
    Node.Local->Service = "badges/lookup";
    Node.Local->TargetId = "at-" + id;
    Node.Local->Where = Target->address();
    Node.Local->State = fleet::TargetState::Ready;
    Node.Local->Slots = 4;
  }

  asio::awaitable<http::Response> serve(http::IncomingRequest in) {
    ++Received;
    asio::steady_timer wake(*Context);
    boost::system::error_code ec;
    while (!MayRespond && !in.Watch->Gone) {
      wake.expires_after(1ms);
      co_await wake.async_wait(asio::redirect_error(asio::use_awaitable, ec));
    }
    Disconnected += in.Watch->Gone ? 1 : 0;
    co_return http::makeJsonResponse(Status, "from " + Id);
  }

  fleet::Member member() const {
    fleet::Member out;
    out.Identity.Id = Id;
    out.Identity.DataCentre = "dc1";
    out.Identity.Region = "south";
    out.Identity.Mesh = Node.Proxy->meshAddress();
    out.Targets = {*Node.Local};
    return out;
  }

  ProxyNode Node;
  std::string Id;
  asio::io_context *Context;
  std::shared_ptr<http::Server> Target;
  bool MayRespond = false;
  unsigned Status = 200;
  int Received = 0;
  int Disconnected = 0;
};

/// A client's node with the real broker, and three nodes with one target each.
struct LookupMesh {
  LookupMesh() {
    config::VersionContent content;
    content.Services = {{"lookup", {}}};
    config::Route route{"lookup", {{}, "", "/lookup"}, "lookup"};
    route.CallRank = config::Rank::Standard;
    route.Idempotent = true;
    content.Routes = {route};
    base::LastReason reason;
    auto held = config::Snapshot::create(
        {{"badges", 1,
          std::make_shared<const config::VersionContent>(content)}},
        1, reason);
    REQUIRE(held);
    http::CallProxyEnvironment environment;
    environment.Context = &Context;
    environment.Time = &Clock;
    environment.Counters = &Counters;
    environment.Broker = &Broker;
    environment.Gate = &NoGate;
    environment.CurrentSnapshot = [snapshot = *held] { return snapshot; };
    environment.LocalTarget = [](const std::string &) {
      return std::optional<fleet::TargetRecord>();
    };
    environment.MeshKeys = {"the mesh key"};
    environment.NodeId = "client-node";
    environment.DataCentre = "dc1";
    auto proxy = http::CallProxy::create(environment, {"127.0.0.1", 0},
                                         {"127.0.0.1", 0}, reason);
    REQUIRE(proxy);
    Proxy = *proxy;
  }

  /// Starts a call and returns the node whose target received it.
  SlowNode &beginAtAnyNode() {
    std::vector<fleet::Member> members;
    for (const auto &it : Nodes)
      members.push_back(it.member());
    Broker.membersChanged(members, Clock.now());
    begin();
    auto hasBegun = [](const SlowNode &it) { return it.Received > 0; };
    auto first = Nodes.end();
    runUntil(Context, [&] {
      first = std::find_if(Nodes.begin(), Nodes.end(), hasBegun);
      return first != Nodes.end();
    });
    return *first;
  }

  /// Starts a call with two attempts in flight; returns the second one's node.
  SlowNode &beginTwo(SlowNode *&first) {
    first = &beginAtAnyNode();
    Clock.advance(1s);
    Proxy->tick();
    auto isSecond = [&](const SlowNode &it) {
      return &it != first && it.Received > 0;
    };
    auto second = Nodes.end();
    runUntil(Context, [&] {
      second = std::find_if(Nodes.begin(), Nodes.end(), isSecond);
      return second != Nodes.end();
    });
    return *second;
  }

  void begin() {
    if (Client) {
      Client->connect(
          {asio::ip::make_address("127.0.0.1"), Proxy->callsAddress().Port});
      asio::write(*Client, asio::buffer(std::string(
                               "GET /lookup HTTP/1.1\r\nHost: a\r\n\r\n")));
      return;
    }
    asio::co_spawn(
        Context,
        [this]() -> asio::awaitable<std::optional<http::Response>> {
          base::LastReason reason;
          http::Request request(bh::verb::get, "/lookup", 11);
          request.set(bh::field::host, "badges.example");
          co_return co_await http::fetch(Proxy->callsAddress(),
                                         std::move(request), 10s, reason);
        },
        [this](const std::exception_ptr &, std::optional<http::Response> got) {
          Answer = std::move(got);
        });
  }

  /// Advances the clock, ticks the client's node and runs the event loop for a
  /// while.
  void advanceTime(base::Duration time) {
    Clock.advance(time);
    Proxy->tick();
    for (int n = 0; n < 20; ++n) {
      Context.restart();
      Context.run_for(1ms);
    }
  }

  asio::io_context Context{1};
  base::ManualClock Clock;
  trace::NullRecorder Recorder;
  base::Metrics Counters;
  calls::Quarantine Crashers{Recorder};
  calls::Broker Broker{
      {"client-node", "dc1", "south", 1, 1min, {}, {}}, Crashers, Recorder};
  MockGate NoGate;
  std::shared_ptr<http::CallProxy> Proxy;
  std::array<SlowNode, 3> Nodes = {SlowNode{Context, Clock, "a"},
                                   SlowNode{Context, Clock, "b"},
                                   SlowNode{Context, Clock, "c"}};
  std::optional<http::Response> Answer;
  std::optional<asio::ip::tcp::socket>
      Client; ///< Connection of a client that disconnects.
};

} // namespace

TEST_CASE("a refused hedge does not cancel the first attempt") {
  LookupMesh mesh;
  SlowNode &first = mesh.beginAtAnyNode();
  for (auto &it : mesh.Nodes)
    it.Node.Gate.Kind = GateAnswer::Kind::Refuse;
  mesh.advanceTime(1s);
  mesh.advanceTime(1s);
  first.MayRespond = true;
  runUntil(mesh.Context, [&] { return mesh.Answer.has_value(); });
  CHECK(first.Disconnected == 0);
  CHECK(mesh.Answer->result_int() == 200);
  CHECK(mesh.Answer->body() == "from " + first.Id);
}

TEST_CASE("two simultaneous responses give the client one complete response") {
  for (int n = 0; n < 10; ++n) {
    LookupMesh mesh;
    SlowNode *first = nullptr;
    SlowNode &second = mesh.beginTwo(first);
    first->MayRespond = second.MayRespond = true;
    runUntil(mesh.Context, [&] { return mesh.Answer.has_value(); });
    CHECK(mesh.Answer->result_int() == 200);
    CHECK(mesh.Answer->body().starts_with("from "));
    CHECK(first->Received + second.Received == 2);
  }
}

TEST_CASE("both attempts are cancelled when their client disconnects") {
  LookupMesh mesh;
  mesh.Client.emplace(mesh.Context);
  SlowNode *first = nullptr;
  SlowNode &second = mesh.beginTwo(first);
  mesh.Client.reset();
  runUntil(mesh.Context, [&] {
    return first->Disconnected == 1 && second.Disconnected == 1;
  });
  runUntil(mesh.Context, [&] { return mesh.Proxy->inFlight() == 0; });
}

TEST_CASE(
    "a hedge that has just started is cancelled when its client disconnects") {
  LookupMesh mesh;
  mesh.Client.emplace(mesh.Context);
  SlowNode &first = mesh.beginAtAnyNode();
  mesh.Clock.advance(1s);
  mesh.Proxy->tick();
  mesh.Client.reset();
  runUntil(mesh.Context, [&] {
    return mesh.Proxy->inFlight() == 0 && first.Disconnected == 1;
  });
}

TEST_CASE("destroying the event loop with two attempts in flight is safe") {
  for (const bool isFromLoop : {false, true}) {
    LookupMesh mesh;
    SlowNode *first = nullptr;
    if (isFromLoop)
      mesh.beginTwo(first);
    else
      mesh.beginAtAnyNode();
    mesh.Clock.advance(1s);
    mesh.Proxy->tick();
  }
}

TEST_CASE("two attempts can end after their node has been destroyed") {
  LookupMesh mesh;
  SlowNode *first = nullptr;
  SlowNode &second = mesh.beginTwo(first);
  mesh.Proxy.reset();
  for (int n = 0; n < 20; ++n) {
    mesh.Context.restart();
    mesh.Context.run_for(1ms);
  }
  second.MayRespond = first->MayRespond = true;
  for (int n = 0; n < 50; ++n) {
    mesh.Context.restart();
    mesh.Context.run_for(1ms);
  }
}

TEST_CASE("a server error of the hedge does not cancel the first attempt") {
  LookupMesh mesh;
  SlowNode *first = nullptr;
  SlowNode &second = mesh.beginTwo(first);
  second.Status = 500;
  second.MayRespond = true;
  mesh.advanceTime(100ms);
  first->MayRespond = true;
  runUntil(mesh.Context, [&] { return mesh.Answer.has_value(); });
  CHECK(first->Disconnected == 0);
  CHECK(mesh.Answer->result_int() == 200);
}

TEST_CASE("a server error of one attempt is returned if the other one breaks") {
  for (const bool isFirst : {true, false}) {
    LookupMesh mesh;
    SlowNode *first = nullptr;
    SlowNode &second = mesh.beginTwo(first);
    SlowNode &failing = isFirst ? *first : second;
    SlowNode &broken = isFirst ? second : *first;
    failing.Status = 500;
    failing.MayRespond = true;
    mesh.advanceTime(100ms);
    CHECK_FALSE(mesh.Answer);
    broken.Target.reset();
    runUntil(mesh.Context, [&] { return mesh.Answer.has_value(); });
    CHECK(mesh.Answer->result_int() == 500);
    CHECK(mesh.Answer->body() == "from " + failing.Id);
  }
}
