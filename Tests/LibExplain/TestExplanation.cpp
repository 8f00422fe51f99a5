#include <LibExplain/Explanation.h>

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <doctest/doctest.h>
#include <string>
#include <utility>
#include <vector>

using namespace radishcross;
using base::ResultCode;
using explain::Explanation;
using explain::LogCollection;

namespace {

using Fields = std::vector<std::pair<std::string, std::string>>;

std::string line(int64_t at, const std::string &node, const std::string &event,
                 const Fields &fields) {
  boost::json::object out;
  out["time_us"] = at;
  out["level"] = "info";
  out["node"] = node;
  out["data_centre"] = "mobile";
  out["event"] = event;
  for (const auto &[name, value] : fields)
    out[name] = value;
  return boost::json::serialize(out);
}

std::string attempt(int64_t at, const std::string &number,
                    const std::string &to, const std::string &target,
                    const std::string &end, const std::string &code) {
  return line(at, "c", "call attempt ended",
              {{"request", "r"},
               {"attempt", number},
               {"to", to},
               {"target", target},
               {"as", "target"},
               {"candidates", "5"},
               {"left_out", "1"},
               {"known_ms", "120"},
               {"left_ms", "700"},
               {"end", end},
               {"code", code},
               {"took_ms", "9"},
               {"told_by", "target-node"}});
}

std::string gate(int64_t at, const std::string &node, const std::string &target,
                 const std::string &code) {
  return line(at, node, "call at gate",
              {{"request", "r"},
               {"target", target},
               {"running", "6"},
               {"limit", "6"},
               {"waiting", "8"},
               {"queue_length", "8"},
               {"decided", "refused"},
               {"end", "refused"},
               {"code", code},
               {"told_by", "own-node"}});
}

std::string ended(int64_t at, const Fields &more) {
  Fields fields = {{"request", "r"},        {"from", "client"},
                   {"route", "operator/a"}, {"version", "17"},
                   {"held", "operator:17"}, {"service", "operator/s"},
                   {"rank", "standard"},    {"deadline_ms", "800"},
                   {"attempts", "2"},       {"outcome", "not-run"},
                   {"status", "0"},         {"told_by", "target-node"},
                   {"took_ms", "20"}};
  fields.insert(fields.end(), more.begin(), more.end());
  return line(at, "c", "call ended", fields);
}

std::string inForce(int64_t at, const std::string &node,
                    const std::string &version) {
  return line(at, node, "version in force",
              {{"configuration", "operator"}, {"version", version}});
}

Explanation explained(const std::vector<std::string> &lines) {
  LogCollection collection("r");
  for (const auto &it : lines)
    collection.add(it);
  return explain::explain(collection);
}

bool has(const std::string &text, const std::string &part) {
  return text.find(part) != std::string::npos;
}

std::vector<std::string> nodesOf(const Explanation &explanation) {
  std::vector<std::string> out;
  for (const auto &it : explanation.Hops)
    out.push_back(it.Node);
  return out;
}

} // namespace

TEST_CASE(
    "hops are in path order, whatever the clocks and the order of the files") {
  // The clock of y is an hour ahead, that of x is behind, and the files are in
  // reverse order.
  auto got = explained({gate(3'600'000'000, "y", "t2", "5003"),
                        gate(1, "x", "t1", "5003"),
                        attempt(2'000'000, "1", "x", "t1", "refused", "5003"),
                        attempt(2'000'001, "2", "y", "t2", "refused", "5003"),
                        ended(2'000'002, {{"code", "5003"},
                                          {"stop", "no-budget"},
                                          {"retries_left", "0"}})});
  CHECK(nodesOf(got) ==
        std::vector<std::string>{"c", "c", "x", "c", "c", "y", "c", "c"});
  CHECK(got.Cause == ResultCode::Overloaded);
  CHECK(has(got.CauseText, "5003 overloaded"));
  CHECK(has(got.CauseText, "the service's retry budget is spent"));
  CHECK(has(got.Hops[7].What, "0 retries left in the budget"));
  CHECK(has(got.Hops[0].What, "route operator/a of version 17"));
  CHECK(has(got.Hops[1].What, "chosen of 5, 1 left out"));
  CHECK(has(got.Hops[1].What, "120 ms old"));
  CHECK(
      has(got.Hops[2].What, "6 running of at most 6, 8 waiting of at most 8"));
  CHECK(got.MissingNodes.empty());
  CHECK(got.Gaps.empty());
}

TEST_CASE("nodes without a file and missing lines are reported") {
  auto got = explained({attempt(1, "1", "x", "t1", "broken", "0"),
                        attempt(2, "2", "y", "t2", "timed-out", "0"),
                        inForce(0, "y", "17"),
                        ended(3, {{"code", "5005"},
                                  {"outcome", "unknown"},
                                  {"stop", "attempts-used"}}),
                        "{\"time_us\":4,\"node\":\"x", "noise"});
  CHECK(got.MissingNodes == std::vector<std::string>{"x"});
  REQUIRE(got.Gaps.size() == 1);
  CHECK(has(got.Gaps[0], "y has no line of attempt 2"));
  CHECK(got.Garbled == 2);
  CHECK(got.Cause == ResultCode::CallOutcomeUnknown);
  CHECK(has(got.CauseText, "its attempts are used up"));
  auto text = explain::explanationText(got);
  CHECK(has(text, "missing node: x\n"));
  CHECK(has(text, "2 garbled or cut"));
  CHECK(has(text, "\ncause: 5005 call-outcome-unknown: "));
}

TEST_CASE("a version that has just changed is reported with the cause") {
  const auto noRoute = [](int64_t at) {
    return ended(at, {{"code", "5001"},
                      {"route", ""},
                      {"version", ""},
                      {"service", ""},
                      {"told_by", "own-node"}});
  };
  auto got =
      explained({inForce(1'000'000, "c", "16"), inForce(9'000'000, "c", "17"),
                 inForce(8'000'000, "d", "16"), noRoute(9'120'000)});
  CHECK(got.Cause == ResultCode::NoRoute);
  CHECK(has(got.CauseText, "version 17 of operator had been in force at c for "
                           "100 ms"));
  REQUIRE(got.Observations.size() == 2);
  CHECK(got.Observations[1] == "d had version 16 of operator in force");
  auto later = explained({inForce(1'000'000, "c", "17"), noRoute(60'000'000)});
  CHECK_FALSE(has(later.CauseText, "had been in force"));
}

TEST_CASE("the owner of an idempotency key is a separate hop") {
  auto forward = line(1, "c", "call attempt ended",
                      {{"request", "r"},
                       {"attempt", "1"},
                       {"to", "o"},
                       {"as", "owner"},
                       {"end", "refused"},
                       {"code", "5002"},
                       {"told_by", "target-node"}});
  auto owner = line(2, "o", "call ended",
                    {{"request", "r"},
                     {"from", "node"},
                     {"code", "5002"},
                     {"outcome", "not-run"},
                     {"stop", "no-target"}});
  auto got = explained({owner, forward, ended(3, {{"code", "5002"}})});
  CHECK(nodesOf(got) == std::vector<std::string>{"c", "c", "o", "o", "c", "c"});
  CHECK(has(got.Hops[2].What, "owns the request's key"));
  CHECK(got.Cause == ResultCode::NoTarget);
}

TEST_CASE(
    "a server error of the target is a cause, a successful response is not") {
  auto failed = explained(
      {ended(1, {{"code", "0"}, {"outcome", "answered"}, {"status", "500"}})});
  CHECK(failed.Cause == ResultCode::TargetFailed);
  auto answered = explained(
      {ended(1, {{"code", "0"}, {"outcome", "answered"}, {"status", "200"}})});
  CHECK(answered.Cause == ResultCode::Ok);
}

TEST_CASE("an incomplete path is explained, and no path gives not-found") {
  auto atGate = explained({gate(1, "x", "t1", "5003")});
  CHECK(atGate.Hops.size() == 1);
  CHECK(atGate.Cause == ResultCode::Overloaded);
  auto cut = explained({attempt(1, "1", "x", "t1", "refused", "5003")});
  CHECK(cut.Cause == ResultCode::NotFound);
  CHECK(cut.Hops.size() == 2);
  CHECK(cut.Gaps.size() == 1);
  auto none = explained({inForce(1, "c", "1")});
  CHECK(none.Hops.empty());
  CHECK(none.Cause == ResultCode::NotFound);
}

TEST_CASE("lifecycle events of the path's nodes shortly before are reported") {
  auto got =
      explained({line(1, "x", "node started", {}),
                 line(50'000'000, "x", "drain started", {}),
                 line(50'000'000, "z", "drain started", {}),
                 line(50'000'000, "y", "target left", {{"target", "t1"}}),
                 attempt(52'000'000, "1", "x", "t1", "refused", "5014"),
                 ended(52'000'000, {{"code", "5014"}})});
  REQUIRE(got.Observations.size() == 2);
  CHECK(got.Observations[0] == "x: drain started, 2000 ms before the end");
  CHECK(got.Observations[1] == "y: target left (t1), 2000 ms before the end");
}

TEST_CASE("a call shed before any attempt does not mention retries") {
  auto line = ended(1, {{"code", "5003"}, {"stop", "shed"}});
  auto at = line.find("\"attempts\":\"2\"");
  line.replace(at, 14, "\"attempts\":\"0\"");
  auto got = explained({line});
  REQUIRE(got.Hops.size() == 2);
  CHECK(has(got.Hops[1].What, "it was shed before any attempt"));
  CHECK_FALSE(has(got.Hops[1].What, "retries left"));
}
