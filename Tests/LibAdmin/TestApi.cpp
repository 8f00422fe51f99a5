#include <LibAdmin/ImpactCheck.h>
#include <LibAdmin/MockNodeControl.h>
#include <LibConfig/VersionContentCodec.h>

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <doctest/doctest.h>

using namespace radishcross;
using namespace radishcross::admin;
using base::ResultCode;
using boost::beast::http::verb;

namespace {

constexpr const char *Publish = R"({"content": {
  "services": [{"name": "lookup"}],
  "routes": [{"name": "look", "match": {"path_prefix": "/badges"},
              "service": "lookup", "rank": "standard"}]}})";

boost::json::value documentOf(const http::Response &answer) {
  CAPTURE(answer.body());
  return boost::json::parse(answer.body());
}

std::string textOf(const boost::json::value &from, std::string_view key) {
  return std::string(from.at(key).as_string());
}

/// A node with its API. Other nodes respond with the body that Answers holds
/// for the requested path; without one they are unreachable.
struct Fixture {
  MockNodeControl Node;
  std::map<std::string, std::string> Answers;
  size_t Asked = 0;
  std::string AskedWith; ///< Authorization of the last request to another node.
  Api Served{Node, mockTokens(),
             [this](const base::Address &, http::Request request,
                    base::Duration, base::LastReason &reason) {
               return answer(std::move(request), reason);
             }};

  boost::asio::awaitable<std::optional<http::Response>>
  answer(http::Request request, base::LastReason &reason) {
    ++Asked;
    AskedWith = request[boost::beast::http::field::authorization];
    auto it = Answers.find(std::string(request.target()));
    if (it == Answers.end())
      co_return reason.fail(ResultCode::NodeUnreachable,
                            "the node is unreachable");
    http::Response out(boost::beast::http::status::ok, 11);
    out.body() = it->second;
    co_return out;
  }

  http::Response get(const std::string &target, const char *token = "eye") {
    return call(Served, verb::get, target, token);
  }
  http::Response publish(const std::string &record, const std::string &body,
                         const char *token = "ops") {
    return post("/v1/configurations/badges/versions?record=" + record, body,
                token);
  }
  http::Response post(const std::string &target, const std::string &body,
                      const char *token = "ops") {
    return call(Served, verb::post, target, token, body);
  }
};

} // namespace

TEST_CASE_FIXTURE(
    Fixture,
    "health, metrics and readiness need no token, and readiness is reported") {
  CHECK(get("/healthz", "").result_int() == 200);
  CHECK(get("/metrics", "").result_int() == 200);
  CHECK(get("/readyz", "").result_int() == 200);
  Node.Ready = false;
  auto answer = get("/readyz", "");
  CHECK(answer.result_int() == 503);
  CHECK(answer[boost::beast::http::field::retry_after] == "1");
}

TEST_CASE_FIXTURE(Fixture, "each resource requires its role") {
  struct Case {
    verb Method;
    const char *Target;
    Role Needs;
  };
  const Case cases[] = {
      {verb::get, "/v1/status", Role::Reader},
      {verb::get, "/v1/fleet-status", Role::Reader},
      {verb::get, "/v1/members", Role::Reader},
      {verb::get, "/v1/configurations", Role::Reader},
      {verb::get, "/v1/audit", Role::Reader},
      {verb::get, "/v1/records/x", Role::Reader},
      {verb::get, "/v1/quarantine", Role::Reader},
      {verb::get, "/v1/allotments", Role::Reader},
      {verb::get, "/v1/usage", Role::Reader},
      {verb::get, "/v1/route?method=GET&path=/", Role::Reader},
      {verb::post, "/v1/configurations/badges/versions", Role::Publisher},
      {verb::post, "/v1/attachments", Role::Publisher},
      {verb::delete_, "/v1/attachments/x", Role::Publisher},
      {verb::post, "/v1/drain", Role::Publisher},
      {verb::post, "/v1/drain-self", Role::Administrator},
      {verb::get, "/v1/recording", Role::Administrator},
      {verb::delete_, "/v1/quarantine/2748", Role::Administrator},
  };
  const std::pair<const char *, Role> holders[] = {
      {"eye", Role::Reader},
      {"ops", Role::Publisher},
      {"root", Role::Administrator}};
  for (const auto &it : cases) {
    CAPTURE(it.Target);
    for (const char *stranger : {"", "nobody"})
      CHECK(call(Served, it.Method, it.Target, stranger).result_int() == 401);
    for (const auto &holder : holders) {
      CAPTURE(holder.first);
      auto status =
          call(Served, it.Method, it.Target, holder.first).result_int();
      CHECK((status == 403) == (holder.second < it.Needs));
      CHECK(status != 401);
    }
  }
  CHECK(Node.Counters.counter(
            "administration_refused_total{reason=\"unauthorised\"}") == 34);
  CHECK(Node.Appends == 0);
}

TEST_CASE_FIXTURE(Fixture, "a refusal reveals nothing about tokens or paths") {
  auto body = get("/v1/status", "wrong").body();
  CHECK(body.find("wrong") == std::string::npos);
  CHECK(body == get("/v1/audit", "").body());
}

TEST_CASE_FIXTURE(
    Fixture, "a repeated publish is appended once and the version is held") {
  auto answer = publish("record-0001", Publish);
  CAPTURE(answer.body());
  REQUIRE(answer.result_int() == 200);
  auto document = documentOf(answer);
  CHECK(textOf(document, "outcome") == "accepted");
  CHECK(document.at("version").as_int64() == 1);
  CHECK(document.at("offset").as_int64() == 1);
  // The same record again: its outcome is known, nothing is appended.
  CHECK(publish("record-0001", Publish).body() == answer.body());
  CHECK(Node.Appends == 1);
  CHECK(documentOf(get("/v1/records/record-0001")) == document);

  auto before = documentOf(get("/v1/status"));
  CHECK_FALSE(before.as_object().contains("external_confirmed_age_ms"));
  Node.ExternalAge = std::chrono::milliseconds(1234);
  auto status = documentOf(get("/v1/status?configuration=badges"));
  CHECK(status.at("external_confirmed_age_ms").as_int64() == 1234);
  const auto &row = status.at("configurations").at(0);
  CHECK(row.at("version").as_int64() == 1);
  CHECK(row.at("wanted").as_int64() == 1);
  CHECK(row.at("since_unix_ms").as_int64() > 0);
  auto version = documentOf(get("/v1/configurations/badges/versions/1"));
  CHECK(version.at("content").at("services").at(0).at("name") == "lookup");
  auto audit = documentOf(get("/v1/audit?configuration=badges&actor=ops"));
  CHECK(textOf(audit.at("entries").at(0), "address") == "127.0.0.7");
  CHECK(
      documentOf(get("/v1/audit?actor=eye")).at("entries").as_array().empty());
}

TEST_CASE_FIXTURE(Fixture, "the next version moves the existing attachments") {
  auto withAttach = boost::json::parse(Publish);
  withAttach.as_object()["attach"] = boost::json::object{
      {"name", "canary"}, {"selector", "data_centre=north"}};
  REQUIRE(
      publish("record-0002", boost::json::serialize(withAttach)).result_int() ==
      200);
  auto again = boost::json::parse(Publish);
  again.at("content").at("routes").at(0).as_object()["rank"] = "background";
  REQUIRE(publish("record-0003", boost::json::serialize(again)).result_int() ==
          200);
  again.at("content").at("routes").at(0).as_object()["rank"] = "critical";
  again.as_object()["attach"] = nullptr;
  REQUIRE(publish("record-0004", boost::json::serialize(again)).result_int() ==
          200);
  auto report = documentOf(get("/v1/configurations/badges"));
  CHECK(report.at("newest").as_int64() == 3);
  REQUIRE(report.at("attachments").as_array().size() == 1);
  const auto &attachment = report.at("attachments").at(0);
  CHECK(textOf(attachment, "name") == "canary");
  CHECK(textOf(attachment, "selector") == "data_centre=north");
  CHECK(attachment.at("version").as_int64() == 2);
}

TEST_CASE_FIXTURE(Fixture, "a stale base is rejected with the winning change") {
  REQUIRE(publish("record-0001", Publish).result_int() == 200);
  auto stale = boost::json::parse(Publish);
  stale.as_object()["base"] = 0;
  auto answer = publish("record-0005", boost::json::serialize(stale), "root");
  CHECK(answer.result_int() == 409);
  auto document = documentOf(answer);
  CHECK(textOf(document, "outcome") == "rejected");
  CHECK(document.at("code").as_int64() == 3003);
  CHECK(textOf(document.at("winner"), "actor") == "ops");
  CHECK(document.at("winner").at("difference").is_object());
}

TEST_CASE_FIXTURE(
    Fixture, "the outcome of a lost response is unknown and can be queried") {
  Node.LosesResponses = true;
  auto answer = publish("record-0001", Publish);
  CHECK(answer.result_int() == 504);
  CHECK(textOf(documentOf(answer), "outcome") == "unknown");
  auto record = documentOf(get("/v1/records/record-0001"));
  CHECK(textOf(record, "outcome") == "accepted");
  CHECK(get("/v1/records/record-9999").result_int() == 404);
}

TEST_CASE_FIXTURE(
    Fixture, "a change is rejected at once while the platform is unreachable") {
  Node.IsPlatformUnreachable = true;
  auto answer = publish("record-0001", Publish);
  CHECK(answer.result_int() == 503);
  CHECK(answer[boost::beast::http::field::retry_after] == "1");
  CHECK(documentOf(answer).at("code").as_int64() == 3006);
}

TEST_CASE_FIXTURE(Fixture, "a pending record is not appended twice") {
  http::Response resent;
  Node.DuringAppend = [&] { resent = publish("record-0001", Publish); };
  CHECK(publish("record-0001", Publish).result_int() == 200);
  CHECK(Node.Appends == 1);
  CHECK(resent.result_int() == 504);
  CHECK(textOf(documentOf(resent), "outcome") == "unknown");
  CHECK(publish("record-0001", Publish).result_int() == 200);
}

TEST_CASE_FIXTURE(Fixture,
                  "a team cannot change another team's configurations") {
  REQUIRE(publish("record-0001", Publish).result_int() == 200);
  struct Case {
    verb Method;
    const char *Target;
    const char *Body;
  };
  const Case cases[] = {
      {verb::post, "/v1/configurations/badges/versions", Publish},
      {verb::post, "/v1/attachments",
       R"({"name": "mine", "configuration": "badges"})"},
      {verb::delete_, "/v1/attachments/badges", ""},
      {verb::post, "/v1/drain",
       R"({"what": "service:badges/lookup", "on": true})"},
  };
  for (const auto &it : cases) {
    auto answer = call(Served, it.Method, it.Target, "surf", it.Body);
    CAPTURE(answer.body());
    CHECK(answer.result_int() == 403);
    CHECK(documentOf(answer).at("code").as_int64() == 3004);
  }
  CHECK(Node.Appends == 1);
  CHECK(post("/v1/drain", R"({"what": "vm:north-1"})", "ops").result_int() ==
        403);
  CHECK(post("/v1/drain", R"({"what": "vm:north-1"})", "root").result_int() ==
        200);
}

TEST_CASE_FIXTURE(Fixture, "an invalid body is rejected before the append") {
  struct Case {
    const char *Target;
    const char *Body;
    ResultCode Code;
  };
  const Case cases[] = {
      {"/v1/configurations/badges/versions", "", ResultCode::DocumentEmpty},
      {"/v1/configurations/badges/versions",
       "{\"content\":", ResultCode::DocumentTruncated},
      {"/v1/configurations/badges/versions", "{}", ResultCode::MissingKey},
      {"/v1/configurations/badges/versions", R"({"contents": {}})",
       ResultCode::UnknownKey},
      {"/v1/configurations/bad%20name/versions", "{}", ResultCode::BadValue},
      {"/v1/attachments", R"({"name": "a", "configuration": "none"})",
       ResultCode::UnknownConfiguration},
      {"/v1/attachments", R"({"name": 7})", ResultCode::WrongType},
      {"/v1/drain", R"({"what": "north-1"})", ResultCode::BadValue},
  };
  for (const auto &it : cases) {
    auto answer = post(it.Target, it.Body);
    CAPTURE(answer.body());
    CHECK(documentOf(answer).at("code").as_int64() ==
          static_cast<int>(it.Code));
  }
  Node.Ready = false;
  CHECK(post("/v1/drain", "{}").result_int() == 503);
  CHECK(Node.Appends == 0);
}

TEST_CASE_FIXTURE(Fixture,
                  "the fleet status lists unreachable nodes with the reason") {
  REQUIRE(publish("record-0001", Publish).result_int() == 200);
  Node.addMember("north-2", "north", fleet::MemberState::Dead);
  Node.addMember("east-1", "east", fleet::MemberState::Alive);
  Node.addMember("east-2", "east", fleet::MemberState::Left);
  CHECK(get("/v1/fleet-status?configuration=none").result_int() == 404);
  auto report = documentOf(get("/v1/fleet-status?configuration=badges"));
  CHECK(report.at("selected").as_int64() == 2);
  CHECK(report.at("current").as_int64() == 0);
  const auto &rows = report.at("rows").as_array();
  REQUIRE(rows.size() == 2);
  CHECK(textOf(rows[0], "node") == "east-1");
  for (const auto &it : rows)
    CHECK(textOf(it, "standing") == "unreachable");
  CHECK(textOf(rows[1], "reason") == "the node is dead");
}

TEST_CASE_FIXTURE(Fixture,
                  "each node is queried once with the client's token") {
  REQUIRE(publish("record-0001", Publish).result_int() == 200);
  for (int i = 0; i < 300; ++i)
    Node.addMember("n" + std::to_string(i), "north", fleet::MemberState::Alive);
  Answers["/v1/status?configuration=badges"] = R"({"offset": 1,
    "configurations": [{"configuration": "badges", "version": 1}]})";
  auto all = documentOf(get("/v1/fleet-status?configuration=badges"));
  CHECK(Asked == 300);
  CHECK(AskedWith == "Bearer eye-secret");
  CHECK(all.at("current").as_int64() == 300);
  Answers["/v1/status?configuration=badges"] = R"({"configurations": [{
    "configuration": "badges", "version": 0, "waiting": {"reason": "tides"}}]})";
  auto none = documentOf(get("/v1/fleet-status?configuration=badges"));
  CHECK(textOf(none.at("rows").at(0), "standing") == "waiting");
  CHECK(textOf(none.at("rows").at(0), "reason") == "tides");
  for (const char *garbage : {"", "7", "{\"configurations\": [1, {}]}"}) {
    Answers["/v1/status?configuration=badges"] = garbage;
    CHECK(documentOf(get("/v1/fleet-status?configuration=badges"))
              .at("current") == 0);
  }
}

TEST_CASE_FIXTURE(Fixture,
                  "a harmful publish requires its impact to be accepted") {
  REQUIRE(publish("record-0001", Publish).result_int() == 200);
  Node.addMember("north-1", "north", fleet::MemberState::Alive);
  Answers["/v1/usage"] =
      R"({"routes": [{"route": "badges/look", "calls_per_second": 9}]})";
  auto harmful = boost::json::parse(Publish);
  harmful.at("content").as_object().erase("routes");
  auto body = boost::json::serialize(harmful);
  auto refused = publish("record-0002", body);
  CHECK(refused.result_int() == 409);
  auto document = documentOf(refused);
  CHECK(document.at("code").as_int64() == 2010);
  CHECK(textOf(document.at("impact").at("lost_routes").at(0), "route") ==
        "badges/look");
  auto asked =
      documentOf(post("/v1/configurations/badges/impact", body, "eye"));
  CHECK(asked == document.at("impact"));
  CHECK(Node.Appends == 1);
  harmful.as_object()["accepted_impact"] = "the season is over";
  CHECK(publish("record-0002", boost::json::serialize(harmful)).result_int() ==
        200);
  auto audit = documentOf(get("/v1/audit"));
  CHECK(textOf(audit.at("entries").at(1), "accepted_impact") ==
        "the season is over");
}

TEST_CASE_FIXTURE(Fixture, "a preview lists the nodes that would change") {
  REQUIRE(publish("record-0001", Publish).result_int() == 200);
  for (const char *id : {"north-1", "north-2"})
    Node.addMember(id, "north", fleet::MemberState::Alive);
  Node.addMember("east-1", "east", fleet::MemberState::Alive);
  auto preview =
      documentOf(post("/v1/attachments/preview", R"({"name": "badges",
      "configuration": "badges", "selector": "data_centre=east"})"));
  CHECK(preview.at("selected").as_int64() == 1);
  const auto &changes = preview.at("changes").as_array();
  REQUIRE(changes.size() == 2);
  CHECK(textOf(changes[0], "effect") == "keeps");
  CHECK(Node.Appends == 1);
}

TEST_CASE(
    "an impact assessment finds lost routes and services without targets") {
  log::Fold fold;
  log::Record record{"r-1",
                     log::RecordKind::Publish,
                     {"permits", "ops", "127.0.0.1"},
                     boost::json::parse(Publish)};
  auto &body = record.Body.as_object();
  body["configuration"] = "badges";
  body["base"] = 0;
  body["attach"] = boost::json::object{{"name", "badges"}};
  REQUIRE(fold.apply({1, log::encodeRecord(record)}).Code == ResultCode::Ok);
  config::Usage usage;
  usage.CallsPerSecond["badges/look"] = 40;
  auto assess = [&](const char *document) {
    base::LastReason reason;
    auto content =
        config::decodeVersionContent(boost::json::parse(document), reason);
    REQUIRE(content);
    auto found = assessImpact(
        fold,
        {"badges",
         std::make_shared<config::VersionContent>(std::move(*content))},
        usage, reason);
    REQUIRE(found);
    return *found;
  };
  const char *withoutRoutes = R"({"services": [{"name": "lookup"}]})";
  const char *elsewhere = R"({"services": [{"name": "lookup"}, {"name": "new"}],
    "routes": [{"name": "look", "match": {"path_prefix": "/badges"},
                "service": "new", "rank": "standard"}]})";
  const char *dangling = R"({"routes": [{"name": "look", "service": "x/y",
    "match": {"path_prefix": "/badges"}}]})";
  auto lost = assess(withoutRoutes);
  CHECK_FALSE(lost.PredictedImpact.isHarmless());
  CHECK(lost.PredictedImpact.LostCallsPerSecond[1] == 40);
  // The service already has no targets, so a version that keeps it is harmless.
  CHECK(assess(R"({"services": [{"name": "lookup"}], "routes": [{"name": "l",
    "match": {"path_prefix": "/badges"}, "service": "lookup",
    "rank": "standard"}]})")
            .PredictedImpact.isHarmless());
  usage.Services["badges/lookup"].Targets = 3;
  CHECK(assess(elsewhere).PredictedImpact.WithoutTargets ==
        std::vector<std::string>{"badges/new"});
  CHECK_FALSE(assess(dangling).WaitsFor.empty());
  usage.CallsPerSecond.clear();
  CHECK(assess(withoutRoutes).PredictedImpact.isHarmless());
}

TEST_CASE("usage is summed over nodes and ready targets are counted") {
  std::vector<MemberResponse> answers(3);
  auto &targets = answers[0].QueriedMember.Targets;
  targets.resize(2);
  targets[0].Service = targets[1].Service = "badges/lookup";
  targets[0].State = fleet::TargetState::Ready;
  targets[1].State = fleet::TargetState::Draining;
  for (size_t i = 0; i < 2; ++i)
    answers[i].Status = boost::json::parse(R"({"routes": [
      {"route": "badges/look", "calls_per_second": 2.5}, 7], "services": [
      {"service": "badges/lookup", "queue_length": 4}]})")
                            .as_object();
  auto usage = sumUsage(answers);
  CHECK(usage.Asked == 3);
  CHECK(usage.Answered == 2);
  CHECK(usage.Sum.CallsPerSecond.at("badges/look") == 5);
  CHECK(usage.Sum.Services.at("badges/lookup").Targets == 1);
  CHECK(usage.Sum.Services.at("badges/lookup").QueueLength == 4);
}

TEST_CASE_FIXTURE(Fixture, "recording, quarantine and drain of one node") {
  CHECK(get("/v1/recording?seconds=30", "root").body() == "trace of 30");
  CHECK(get("/v1/recording?seconds=x", "root").result_int() == 400);
  CHECK(
      call(Served, verb::delete_, "/v1/quarantine/2748", "root").result_int() ==
      200);
  CHECK(
      call(Served, verb::delete_, "/v1/quarantine/2748", "root").result_int() ==
      404);
  CHECK(post("/v1/drain-self", "", "root").result_int() == 200);
  CHECK(Node.Draining);
  CHECK(get("/v1/nothing").result_int() == 404);
}

TEST_CASE_FIXTURE(Fixture, "a request is asked about by its parts") {
  Node.Route = boost::json::object{{"refused", nullptr}};
  const auto answer = get("/v1/route?method=GET&path=%2Fbadges%2F1&host=h"
                          "&caller=a%2Fb&tenant=harbour&rank=standard");
  CHECK(answer.result_int() == 200);
  CHECK(Node.Asked.Method == "GET");
  CHECK(Node.Asked.Path == "/badges/1");
  CHECK(Node.Asked.Host == "h");
  CHECK(Node.Asked.CallerService == "a/b");
  CHECK(Node.Asked.Tenant == "harbour");
  CHECK(Node.Asked.CallRank == config::Rank::Standard);
  CHECK(get("/v1/route?method=GET&path=badges").result_int() == 400);
  CHECK(get("/v1/route?path=%2F").result_int() == 400);
  CHECK(get("/v1/route?method=GET&path=%2F&rank=top").result_int() == 400);
}
