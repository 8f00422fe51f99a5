#include <LibAdmin/RouteReport.h>

#include <LibBase/ResultCode.h>

#include <boost/json/array.hpp>
#include <chrono>
#include <utility>

namespace radishcross::admin {

namespace {

namespace json = boost::json;
using calls::CandidatePreview;

constexpr double MilliPerUnit = 1000;

int64_t millisecondsOf(base::Duration time) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
}

json::object requestOf(const RouteQuestion &question) {
  return {{"method", question.Method},
          {"host", question.Host},
          {"path", question.Path},
          {"caller", question.CallerService},
          {"tenant", question.Tenant},
          {"rank", question.CallRank
                       ? base::nameOf(config::RankNames, *question.CallRank)
                       : std::string_view()}};
}

json::value routeOf(const calls::RoutePreview &preview,
                    const config::Snapshot *held) {
  if (!held || !preview.Matched)
    return nullptr;
  const auto *version = held->versionWith(preview.Matched);
  json::array split;
  for (const auto &it : preview.Destinations)
    split.push_back(
        json::object{{"service", *it.ServiceName}, {"weight", it.Weight}});
  const auto &call = preview.Call;
  return json::object{{"configuration", version ? version->Configuration : ""},
                      {"name", preview.Matched->Name},
                      {"version", version ? version->Version : 0},
                      {"service", call.ServiceName},
                      {"split", std::move(split)},
                      {"rank", base::nameOf(config::RankNames, call.CallRank)},
                      {"repeatable", call.Idempotent},
                      {"attempts", call.MaximumAttempts},
                      {"objective_ms", millisecondsOf(call.LatencyObjective)},
                      {"left_ms", millisecondsOf(call.Allowed)}};
}

json::object candidateOf(const CandidatePreview &it) {
  const auto &target = it.Candidate.Target;
  json::array against;
  for (const auto why : it.Reasons)
    against.push_back(json::value(base::nameOf(calls::AgainstNames, why)));
  json::object out = {
      {"node", it.Candidate.Node},
      {"target", target.TargetId},
      {"data_centre", it.Candidate.DataCentre},
      {"region", it.Region},
      {"state", base::nameOf(fleet::TargetStateNames, target.State)},
      {"version", target.SoftwareVersion},
      {"usable", it.IsUsable},
      {"against", std::move(against)},
      {"load_permille", it.LoadPermille},
      {"known_ms", millisecondsOf(it.KnownAge)},
      {"time_permille", it.TimePermille},
      {"refused_permille", it.RefusedPermille},
      {"own_calls", it.InFlight},
      {"slots", target.Slots},
      {"score", it.Score},
      {"has_room", it.HasRoom}};
  out["expected_ms"] = it.ExpectedTime > base::Duration::zero()
                           ? json::value(millisecondsOf(it.ExpectedTime))
                           : json::value(nullptr);
  out["rate_limit"] =
      it.StatedRate
          ? json::value(static_cast<double>(*it.StatedRate) / MilliPerUnit)
          : json::value(nullptr);
  return out;
}

json::value versionsOf(const calls::PlacePreview &place) {
  if (!place.Versions)
    return nullptr;
  return json::object{
      {"new", place.Versions->NewVersion},
      {"share_permille", place.Versions->SharePermille},
      {"this_call", place.Versions->Placed.Where == rollout::Placing::NewOnly
                        ? "new"
                        : "old"},
      {"why", base::nameOf(rollout::BasisNames, place.Versions->Placed.Why)}};
}

} // namespace

json::object refusalReport(const calls::CallStep &step) {
  const auto &code = base::describe(step.Code);
  return {{"code", static_cast<unsigned>(step.Code)},
          {"name", code.Name},
          {"status", code.HttpStatus},
          {"meaning", code.Meaning},
          {"stop", base::nameOf(calls::StopReasonNames, step.Stop)},
          {"retry_after_ms", millisecondsOf(step.RetryAfter)}};
}

json::object routeReport(const RouteQuestion &question,
                         const calls::RoutePreview &preview,
                         const config::Snapshot *held, json::value tenant) {
  json::object out = {{"request", requestOf(question)},
                      {"route", routeOf(preview, held)},
                      {"tenant", std::move(tenant)},
                      {"versions", versionsOf(preview.Place)},
                      {"retries_left", preview.Place.RetriesLeft}};
  json::array candidates;
  for (const auto &it : preview.Place.Candidates)
    candidates.push_back(candidateOf(it));
  out["candidates"] = std::move(candidates);
  const auto &step = preview.Step;
  if (step.What == calls::CallStep::Kind::Send)
    out["to"] = json::object{{"node", step.To.Node},
                             {"target", step.To.Target.TargetId},
                             {"data_centre", step.To.DataCentre}};
  else
    out["refused"] = refusalReport(step);
  return out;
}

} // namespace radishcross::admin
