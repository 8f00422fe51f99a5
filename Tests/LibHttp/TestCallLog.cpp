#include <LibBase/Logger.h>
#include <LibHttp/CallLog.h>
#include <LogFile.h>

#include <doctest/doctest.h>
#include <memory>
#include <string>
#include <vector>

using namespace radishcross;
using calls::CallOutcome;
using http::EndedCall;
using tests::LogFile;
using tests::textAt;

namespace {

config::SnapshotPointer makeSnapshot() {
  auto content = std::make_shared<config::VersionContent>();
  content->Services.push_back({"s", {}});
  config::Route route;
  route.Name = "pay";
  route.Service = "s";
  route.Match.PathPrefix = "/pay";
  content->Routes.push_back(route);
  auto other = std::make_shared<config::VersionContent>();
  base::LastReason reason;
  auto out = config::Snapshot::create(
      {{"a", 2, other}, {"permits", 7, content}}, 1, reason);
  REQUIRE(out);
  return *out;
}

EndedCall callOf(const calls::CallRequest &request, std::string_view id,
                 CallOutcome outcome, unsigned status = 0) {
  EndedCall out;
  out.RequestId = id;
  out.Request = &request;
  out.Outcome = outcome;
  out.Status = status;
  return out;
}

void endAnswered(const calls::CallRequest &request, int id, unsigned status) {
  std::string text = std::to_string(id);
  http::logEndedCall(callOf(request, text, CallOutcome::Answered, status));
}

} // namespace

TEST_CASE("an unanswered call is logged in one line with all its fields") {
  LogFile log;
  auto snapshot = makeSnapshot();
  calls::CallRequest request;
  request.Method = "POST";
  request.Path = "/pay/1?x";
  auto call = callOf(request, "9c41d07be2a35f68", CallOutcome::Unknown);
  call.Held = snapshot.get();
  call.Matched =
      snapshot->findRoute(request.Method, request.Host, request.Path).Matched;
  call.TargetId = "i-7";
  call.Attempts = 2;
  call.Code = base::ResultCode::CallOutcomeUnknown;
  call.Took = std::chrono::milliseconds(431);
  http::logEndedCall(call);
  auto lines = log.lines();
  REQUIRE(lines.size() == 1);
  auto &line = lines[0];
  CHECK(textAt(line, "event") == "call ended");
  CHECK(textAt(line, "request") == "9c41d07be2a35f68");
  CHECK(textAt(line, "route") == "permits/pay");
  CHECK(textAt(line, "version") == "7");
  CHECK(textAt(line, "target") == "i-7");
  CHECK(textAt(line, "attempts") == "2");
  CHECK(textAt(line, "outcome") == "unknown");
  CHECK(textAt(line, "code") == std::to_string(static_cast<unsigned>(
                                    base::ResultCode::CallOutcomeUnknown)));
  CHECK(textAt(line, "took_ms") == "431");
  CHECK(textAt(line, "from") == "client");
  CHECK(textAt(line, "held") == "a:2,permits:7");
}

TEST_CASE("each attempt is logged before the end of the call") {
  LogFile log;
  calls::CallRequest request;
  std::vector<http::EndedAttempt> tried(2);
  tried[0].Number = 1;
  tried[0].Node = "savannah-1";
  tried[0].TargetId = "i-7";
  tried[0].Remaining = std::chrono::milliseconds(700);
  tried[0].Basis.Candidates = 5;
  tried[0].Basis.LeftOut = 1;
  tried[0].Basis.KnownAge = std::chrono::milliseconds(120);
  tried[0].Result.End = calls::AttemptEnd::RefusedNotRun;
  tried[0].Result.Code = base::ResultCode::Overloaded;
  tried[1].Number = 2;
  tried[1].Result.End = calls::AttemptEnd::Broken;
  auto call = callOf(request, "r", CallOutcome::Unknown);
  call.EndedAttempts = &tried;
  call.Stop = calls::StopReason::NoBudget;
  call.ServiceName = "permits/s";
  http::logEndedCall(call);
  auto lines = log.lines();
  REQUIRE(lines.size() == 3);
  CHECK(textAt(lines[0], "event") == "call attempt ended");
  CHECK(textAt(lines[0], "request") == "r");
  CHECK(textAt(lines[0], "to") == "savannah-1");
  CHECK(textAt(lines[0], "target") == "i-7");
  CHECK(textAt(lines[0], "candidates") == "5");
  CHECK(textAt(lines[0], "left_out") == "1");
  CHECK(textAt(lines[0], "known_ms") == "120");
  CHECK(textAt(lines[0], "left_ms") == "700");
  CHECK(textAt(lines[0], "end") == "refused");
  CHECK(textAt(lines[0], "code") == "5003");
  CHECK(textAt(lines[0], "told_by") == "target-node");
  CHECK(textAt(lines[1], "attempt") == "2");
  CHECK(textAt(lines[1], "told_by") == "connection");
  CHECK(textAt(lines[2], "event") == "call ended");
  CHECK(textAt(lines[2], "stop") == "no-budget");
  CHECK(textAt(lines[2], "service") == "permits/s");
  CHECK(textAt(lines[2], "told_by") == "connection");
}

TEST_CASE("the list of versions in a log line is bounded") {
  LogFile log;
  std::vector<config::ConfigurationVersion> versions;
  constexpr int Versions = 100;
  versions.reserve(Versions);
  for (int i = 0; i < Versions; ++i)
    versions.push_back({"configuration-" + std::to_string(i), 7,
                        std::make_shared<config::VersionContent>()});
  base::LastReason reason;
  auto snapshot = config::Snapshot::create(std::move(versions), 1, reason);
  REQUIRE(snapshot);
  calls::CallRequest request;
  auto call = callOf(request, "r", CallOutcome::NotRun);
  call.Held = snapshot->get();
  http::logEndedCall(call);
  auto lines = log.lines();
  REQUIRE(lines.size() == 1);
  CHECK(textAt(lines[0], "held").size() < 140);
}

TEST_CASE("a call without a route, or before any configuration, is logged") {
  LogFile log;
  auto snapshot = makeSnapshot();
  calls::CallRequest request;
  request.Path = "/nowhere";
  auto call = callOf(request, "a", CallOutcome::NotRun);
  http::logEndedCall(call);
  call.Held = snapshot.get();
  http::logEndedCall(call);
  auto lines = log.lines();
  REQUIRE(lines.size() == 2);
  CHECK(textAt(lines[0], "route") == "");
  CHECK(textAt(lines[1], "version") == "");
}

TEST_CASE("a sample of answered calls is logged, and every server error") {
  LogFile log;
  calls::CallRequest request;
  constexpr int Calls = 25600;
  for (int i = 0; i < Calls; ++i)
    endAnswered(request, i, 200);
  auto sampled = log.lines().size();
  CHECK(sampled > Calls / http::AnsweredCallsPerSample / 2);
  CHECK(sampled < Calls / http::AnsweredCallsPerSample * 2);
  for (int i = 0; i < 10; ++i)
    endAnswered(request, i, 500);
  CHECK(log.lines().size() == sampled + 10);
}

TEST_CASE("a request id with arbitrary bytes is logged as printable text") {
  LogFile log;
  calls::CallRequest request;
  std::string id = "a\"\xff\n" + std::string(1000, 'x');
  http::logEndedCall(callOf(request, id, CallOutcome::NotRun));
  auto lines = log.lines();
  REQUIRE(lines.size() == 1);
  CHECK(textAt(lines[0], "request") == "a\"??" + std::string(60, 'x'));
}
