#pragma once

#include <LibBase/Random.h>
#include <LibHttp/CallFigures.h>
#include <LibHttp/CallProxy.h>
#include <LibHttp/ConnectionPool.h>
#include <LibHttp/GateRunner.h>

#include <boost/asio/awaitable.hpp>
#include <string>

namespace radishcross::http {

/// Carries out the steps of the broker and the gate for the requests of both
/// listeners. Outlives the listeners while requests are being handled.
class CallEngine {
public:
  explicit CallEngine(CallProxyEnvironment environment);

  /// Handles a request of a caller, or a deeper call of a local target.
  boost::asio::awaitable<Response> handleCaller(IncomingRequest incoming);

  /// Handles a request of another node.
  boost::asio::awaitable<Response> handleMesh(IncomingRequest incoming);

  /// From now on calls are refused as Draining, but for the deeper calls of
  /// calls in flight.
  void refuseNewCalls() { RefusesNewCalls = true; }

  void tick();
  base::TimePoint now() const { return Environment.Time->now(); }
  size_t callsAtGate() const { return Environment.Gate->inFlight(); }

private:
  boost::asio::awaitable<Response> runAtGate(MeshCall call,
                                             IncomingRequest incoming);
  boost::asio::awaitable<Response> runCall(calls::CallRequest call,
                                           IncomingRequest incoming);
  boost::asio::awaitable<Response> runSteps(const calls::CallRequest &call,
                                            IncomingRequest &incoming,
                                            config::SnapshotPointer snapshot);
  boost::asio::awaitable<calls::AttemptResult>
  attempt(const calls::CallRequest &call, const calls::CallStep &step,
          uint32_t attempts, IncomingRequest &incoming, Response &answer);
  boost::asio::awaitable<calls::AttemptResult>
  sendToNode(const calls::CallStep &step, const MeshCall &call,
             IncomingRequest &incoming, Response &answer);
  std::string newCallId();

  CallProxyEnvironment Environment;
  ConnectionPool Pool;
  GateRunner Targets;
  CallFigures Figures;
  base::Random Ids;
  bool RefusesNewCalls = false;
};

} // namespace radishcross::http
