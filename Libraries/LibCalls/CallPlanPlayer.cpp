#include <LibCalls/CallPlanPlayer.h>

#include <LibBase/EnumNames.h>

#include <cstdlib>
#include <sstream>
#include <utility>
#include <vector>

namespace radishcross::calls {

namespace {

constexpr base::EnumName<CallPlanEvent::Value> EventNames[] = {
    {CallPlanEvent::Start, "start"},
    {CallPlanEvent::Target, "target"},
    {CallPlanEvent::Drained, "drained"},
    {CallPlanEvent::Begin, "begin"},
    {CallPlanEvent::AttemptEnded, "attempt-ended"},
    {CallPlanEvent::End, "end"},
    {CallPlanEvent::Tick, "tick"},
    {CallPlanEvent::Nodes, "nodes"},
    {CallPlanEvent::Hedge, "hedge"},
    {CallPlanEvent::Signalled, "signalled"},
    {CallPlanEvent::VersionBounds, "version-bounds"},
    {CallPlanEvent::RolloutOrdered, "rollout-ordered"},
    {CallPlanEvent::RolloutLearned, "rollout-learned"},
    {CallPlanEvent::RolloutHalted, "rollout-halted"},
    {CallPlanEvent::HedgeLimits, "hedge-limits"},
};

base::TimePoint timeOf(const trace::Entry &entry) {
  return base::TimePoint{base::Duration(entry.AtMicroseconds)};
}

std::vector<std::string> linesOf(const std::string &text) {
  std::vector<std::string> out;
  std::istringstream in(text);
  for (std::string line; std::getline(in, line);)
    out.push_back(line);
  return out;
}

CallHandle handleOf(const trace::Entry &entry) {
  return static_cast<CallHandle>(entry.Numbers[0]);
}

} // namespace

const CallPlanPlayer::Handler CallPlanPlayer::Handlers[] = {
    &CallPlanPlayer::start,          &CallPlanPlayer::target,
    &CallPlanPlayer::drained,        &CallPlanPlayer::begin,
    &CallPlanPlayer::attemptEnded,   &CallPlanPlayer::end,
    &CallPlanPlayer::tick,           &CallPlanPlayer::nodes,
    &CallPlanPlayer::hedge,          &CallPlanPlayer::signalled,
    &CallPlanPlayer::versionBounds,  &CallPlanPlayer::rolloutOrdered,
    &CallPlanPlayer::rolloutLearned, &CallPlanPlayer::rolloutHalted,
    &CallPlanPlayer::hedgeLimits};

trace::Outcome CallPlanPlayer::play(const trace::Entry &entry) {
  if (entry.Event >= std::size(Handlers))
    return {};
  if (!Replayed && entry.Event != CallPlanEvent::Start)
    return {};
  return (this->*Handlers[entry.Event])(entry);
}

trace::Outcome CallPlanPlayer::start(const trace::Entry &entry) {
  auto lines = linesOf(entry.Text);
  lines.resize(2);
  Members.clear();
  RetryLimits retries;
  if (entry.Numbers[2] > 0) { // Older traces contain no limits.
    if (entry.Numbers[1] >= 0)
      retries.RatioPermille = entry.Numbers[1];
    retries.Window = base::Duration(entry.Numbers[2]);
    retries.Slack = entry.Numbers[3];
  }
  balance::FeatureToggles toggles;
  toggles.HeadroomEnabled = entry.Numbers[4] == 0;
  Replayed = std::make_unique<CallPlanner>(
      balance::Locality{lines[0], lines[1]},
      static_cast<uint64_t>(entry.Numbers[0]), Ignored, retries, toggles);
  return {};
}

trace::Outcome CallPlanPlayer::target(const trace::Entry &entry) {
  auto lines = linesOf(entry.Text);
  lines.resize(6); // Older traces contain no version.
  fleet::TargetRecord record;
  record.Service = lines[3];
  record.TargetId = lines[4];
  record.SoftwareVersion = lines[5];
  record.State = static_cast<fleet::TargetState>(
      entry.Numbers[0] % CallPlanEvent::StatesPerWarmUp);
  const auto warmUp = entry.Numbers[0] / CallPlanEvent::StatesPerWarmUp;
  if (warmUp > 0)
    record.WarmUpMs = static_cast<uint32_t>(warmUp - 1);
  record.Slots = static_cast<uint32_t>(entry.Numbers[1]);
  record.LoadPermille = static_cast<uint32_t>(entry.Numbers[2]);
  record.Epoch = static_cast<uint64_t>(entry.Numbers[3]);
  auto &member = Members[lines[0]];
  member.Identity.Id = lines[0];
  member.Identity.DataCentre = lines[1];
  member.Identity.Region = lines[2];
  member.State = entry.Numbers[4] != 0 ? fleet::MemberState::Suspect
                                       : fleet::MemberState::Alive;
  ++member.Revision;
  std::erase_if(member.Targets, [&record](const auto &it) {
    return it.TargetId == record.TargetId;
  });
  if (entry.Numbers[5] != 0)
    member.Targets.push_back(std::move(record));
  std::vector<fleet::Member> members;
  for (const auto &it : Members)
    members.push_back(it.second);
  Replayed->membersChanged(members, timeOf(entry));
  return {};
}

trace::Outcome CallPlanPlayer::drained(const trace::Entry &entry) {
  Replayed->drainedChanged(linesOf(entry.Text), timeOf(entry));
  return {};
}

trace::Outcome CallPlanPlayer::begin(const trace::Entry &entry) {
  RoutedCall call;
  auto lines = linesOf(entry.Text);
  lines.resize(2);
  call.ServiceName = lines[0];
  call.RouteName = lines[1];
  call.CallRank = static_cast<config::Rank>(entry.Numbers[1]);
  call.Allowed = base::Duration(entry.Numbers[2]);
  call.Idempotent = (entry.Numbers[3] & 1) != 0;
  call.WithinRetry = (entry.Numbers[3] & 2) != 0;
  call.IsNested = (entry.Numbers[3] & 4) != 0;
  call.RetryBudgetPercent = static_cast<uint32_t>(entry.Numbers[4]);
  call.LatencyObjective = base::Duration(entry.Numbers[5]);
  return CallPlanner::outcomeOf(
      Replayed->begin(handleOf(entry), call, timeOf(entry)));
}

trace::Outcome CallPlanPlayer::attemptEnded(const trace::Entry &entry) {
  AttemptResult result;
  result.End = static_cast<AttemptEnd>(entry.Numbers[1] % 256);
  result.DownstreamFailed = entry.Numbers[1] / 256 % 2 != 0;
  result.Attempt = static_cast<uint32_t>(entry.Numbers[1] / 512 % 128);
  result.TargetFailed = entry.Numbers[1] / 65'536 % 2 != 0;
  result.IsNested = entry.Numbers[1] / 131'072 % 2 != 0;
  if (entry.Numbers[1] / 262'144 % 2 != 0)
    result.Refusal = balance::RefusalKind::Spurious;
  result.Code = static_cast<base::ResultCode>(entry.Numbers[2]);
  result.PressurePermille = static_cast<uint32_t>(
      entry.Numbers[3] % CallPlanner::PressuresPerMicrosecond);
  result.ExpectedTime =
      base::Duration(entry.Numbers[3] / CallPlanner::PressuresPerMicrosecond);
  result.Latency = base::Duration(entry.Numbers[4]);
  result.RetryAfter = base::Duration(entry.Numbers[5]);
  return CallPlanner::outcomeOf(
      Replayed->attemptEnded(handleOf(entry), result, timeOf(entry)));
}

trace::Outcome CallPlanPlayer::end(const trace::Entry &entry) {
  Replayed->end(handleOf(entry), timeOf(entry));
  return {};
}

trace::Outcome CallPlanPlayer::tick(const trace::Entry &entry) {
  Replayed->tick(timeOf(entry));
  return {};
}

trace::Outcome CallPlanPlayer::nodes(const trace::Entry &entry) {
  Replayed->nodesChanged(entry.Numbers[0], timeOf(entry));
  return {};
}

trace::Outcome CallPlanPlayer::hedge(const trace::Entry &entry) {
  const auto step = Replayed->hedge(handleOf(entry), timeOf(entry));
  return step ? CallPlanner::outcomeOf(*step) : trace::Outcome{};
}

trace::Outcome CallPlanPlayer::signalled(const trace::Entry &entry) {
  Replayed->signalled(handleOf(entry), static_cast<uint32_t>(entry.Numbers[1]),
                      balance::signalsOf(entry.Numbers[2], entry.Numbers[3]),
                      timeOf(entry));
  return {};
}

trace::Outcome CallPlanPlayer::versionBounds(const trace::Entry &entry) {
  Replayed->boundVersions({static_cast<uint32_t>(entry.Numbers[0]),
                           static_cast<uint32_t>(entry.Numbers[1]),
                           base::Duration(entry.Numbers[2])});
  return {};
}

trace::Outcome CallPlanPlayer::rolloutOrdered(const trace::Entry &entry) {
  auto lines = linesOf(entry.Text);
  lines.resize(2);
  Replayed->rolloutOrdered({lines[0], lines[1],
                            base::Duration(entry.Numbers[1]),
                            static_cast<uint64_t>(entry.Numbers[0])},
                           timeOf(entry));
  return {};
}

trace::Outcome CallPlanPlayer::rolloutLearned(const trace::Entry &entry) {
  auto lines = linesOf(entry.Text);
  lines.resize(2);
  rollout::StoredProgress progress;
  progress.Offset = static_cast<uint64_t>(entry.Numbers[0]);
  progress.Value.OrderAt = static_cast<uint64_t>(entry.Numbers[1]);
  progress.Value.Version = lines[1];
  progress.Value.State = static_cast<rollout::Phase>(entry.Numbers[2]);
  progress.Value.Step = static_cast<uint32_t>(entry.Numbers[3]);
  progress.Value.Age = base::Duration(entry.Numbers[4]);
  Replayed->rolloutLearned(lines[0], progress, base::Duration(entry.Numbers[5]),
                           timeOf(entry));
  return {};
}

trace::Outcome CallPlanPlayer::rolloutHalted(const trace::Entry &entry) {
  Replayed->rolloutHalted(entry.Text, static_cast<uint64_t>(entry.Numbers[0]),
                          timeOf(entry));
  return {};
}

trace::Outcome CallPlanPlayer::hedgeLimits(const trace::Entry &entry) {
  balance::HedgeSettings settings;
  settings.SharePermille = entry.Numbers[0];
  settings.QuantilePermille = entry.Numbers[1];
  const auto lines = linesOf(entry.Text);
  for (size_t n = 0; n + 1 < lines.size(); n += 2)
    settings.ServiceSharePermille[lines[n]] =
        std::strtoll(lines[n + 1].c_str(), nullptr, 10);
  Replayed->limitHedges(settings);
  return {};
}

std::string_view CallPlanPlayer::eventName(uint8_t event) const {
  return base::nameOf(EventNames, static_cast<CallPlanEvent::Value>(event));
}

} // namespace radishcross::calls
