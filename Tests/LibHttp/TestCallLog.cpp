#include <LibBase/Logger.h>
#include <LibHttp/CallLog.h>

#include <array>
#include <boost/json/parse.hpp>
#include <cstdio>
#include <doctest/doctest.h>
#include <memory>
#include <string>
#include <unistd.h>
#include <vector>

using namespace radishcross;
using calls::CallOutcome;
using http::EndedCall;

namespace {

/// The process's log in a file, for as long as it lives.
class LogFile {
public:
  LogFile() : File(std::tmpfile()) {
    REQUIRE(File);
    base::LogSettings settings;
    settings.Descriptor = ::fileno(File);
    base::setUpLog(settings);
  }
  ~LogFile() {
    base::LogSettings none;
    none.Descriptor = -1;
    base::setUpLog(none);
    std::fclose(File);
  }
  LogFile(const LogFile &) = delete;
  LogFile &operator=(const LogFile &) = delete;

  std::vector<boost::json::object> lines() {
    base::flushLog();
    std::rewind(File);
    std::vector<boost::json::object> out;
    std::array<char, 4096> buf{};
    while (std::fgets(buf.data(), buf.size(), File))
      out.push_back(boost::json::parse(buf.data()).as_object());
    return out;
  }

private:
  std::FILE *File;
};

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

std::string textAt(const boost::json::object &line, std::string_view key) {
  return std::string(line.at(key).get_string());
}

void endAnswered(const calls::CallRequest &request, int id, unsigned status) {
  std::string text = std::to_string(id);
  http::logEndedCall(callOf(request, text, CallOutcome::Answered, status));
}

} // namespace

TEST_CASE("a call that was not answered has one line with all its fields") {
  LogFile log;
  auto snapshot = makeSnapshot();
  calls::CallRequest request;
  request.Method = "POST";
  request.Path = "/pay/1?x";
  auto call = callOf(request, "9c41d07be2a35f68", CallOutcome::Unknown);
  call.Held = snapshot.get();
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
}

TEST_CASE("a call without a route, or before any configuration, has a line") {
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

TEST_CASE("of answered calls a sample has a line, and each failed answer") {
  LogFile log;
  calls::CallRequest request;
  constexpr int Calls = 25600;
  for (int i = 0; i < Calls; ++i)
    endAnswered(request, i, 200);
  auto sampled = log.lines().size();
  CHECK(sampled > Calls / http::AnsweredCallsForOneLine / 2);
  CHECK(sampled < Calls / http::AnsweredCallsForOneLine * 2);
  for (int i = 0; i < 10; ++i)
    endAnswered(request, i, 500);
  CHECK(log.lines().size() == sampled + 10);
}

TEST_CASE("an id of any bytes leaves the line readable") {
  LogFile log;
  calls::CallRequest request;
  std::string id = "a\"\xff\n" + std::string(1000, 'x');
  http::logEndedCall(callOf(request, id, CallOutcome::NotRun));
  auto lines = log.lines();
  REQUIRE(lines.size() == 1);
  CHECK(textAt(lines[0], "request") == "a\"??" + std::string(60, 'x'));
}
