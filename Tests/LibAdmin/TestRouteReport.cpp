#include <LibAdmin/RouteReport.h>

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <doctest/doctest.h>

using namespace radishcross;
using namespace radishcross::admin;

namespace {

/// A request of a tenant that goes to the first of two targets.
calls::RoutePreview sentPreview() {
  calls::RoutePreview out;
  calls::CandidatePreview one;
  one.Candidate.Node = "north-1";
  one.Candidate.DataCentre = "north";
  one.Candidate.Target.TargetId = "t1";
  one.Candidate.Target.State = fleet::TargetState::Ready;
  one.Candidate.Target.Slots = 6;
  one.IsUsable = true;
  one.LoadPermille = 312;
  one.ExpectedTime = std::chrono::milliseconds(41);
  auto other = one;
  other.Candidate.Node = "south-1";
  other.Candidate.DataCentre = "south";
  other.Reasons = {calls::Against::Refusing, calls::Against::OtherLocality};
  other.ExpectedTime = {};
  out.Place.Candidates = {one, other};
  out.Place.RetriesLeft = 9;
  out.Step.What = calls::CallStep::Kind::Send;
  out.Step.To = one.Candidate;
  return out;
}

} // namespace

TEST_CASE("a report names the candidates, what speaks against them, and one") {
  RouteQuestion question;
  question.Path = "/badges/17";
  question.Tenant = "harbour";
  const auto report =
      routeReport(question, sentPreview(), nullptr,
                  boost::json::object{{"name", "harbour"}, {"rank", ""}});
  CHECK(report.at("to").at("node") == "north-1");
  CHECK_FALSE(report.contains("refused"));
  const auto &candidates = report.at("candidates").as_array();
  REQUIRE(candidates.size() == 2);
  CHECK(candidates[0].at("load_permille") == 312);
  CHECK(candidates[0].at("expected_ms") == 41);
  CHECK(candidates[1].at("expected_ms").is_null());
  CHECK(boost::json::serialize(candidates[1].at("against")) ==
        R"(["refused calls lately","other data centre"])");
  const auto text = routeText(report);
  CHECK(text.find("tenant: harbour") != std::string::npos);
  CHECK(text.find("refused calls lately; other data centre") !=
        std::string::npos);
  CHECK(text.find("goes to: t1 at north-1 in north, retries left 9") !=
        std::string::npos);
}

TEST_CASE("a report tells what would be answered") {
  calls::RoutePreview preview;
  preview.Step.Code = base::ResultCode::Overloaded;
  preview.Step.Stop = calls::StopReason::Shed;
  preview.Step.RetryAfter = std::chrono::milliseconds(250);
  const auto report = routeReport({}, preview, nullptr, nullptr);
  CHECK_FALSE(report.contains("to"));
  CHECK(report.at("refused").at("status") == 503);
  const auto text = routeText(report);
  CHECK(text.find("route: none matches") != std::string::npos);
  CHECK(text.find("refused: 503, 5003 overloaded (shed), come back after 250 "
                  "ms") != std::string::npos);
}

TEST_CASE("a refusal without a reason to come back names no time") {
  calls::RoutePreview preview;
  preview.Step.Code = base::ResultCode::NoRoute;
  const auto text = routeText(routeReport({}, preview, nullptr, nullptr));
  CHECK(text.find("refused: 404, 5001 no-route\n") != std::string::npos);
}
