#include <LibBase/Logger.h>
#include <LibFleet/Rendezvous.h>
#include <LibPeer/FleetNode.h>

#include <algorithm>
#include <chrono>
#include <utility>

// The part of FleetNode that shares the external configuration with peers.

namespace radishcross::peer {

namespace {

constexpr int64_t MicrosecondsPerMs = 1000;
/// After a longer gap between two ticks the process was not running, and
/// datagrams that arrived meanwhile were delayed by it.
constexpr base::Duration MaximumTickGap = std::chrono::milliseconds(150);

} // namespace

void FleetNode::setExternalVersion(uint64_t version) {
  Freshness.setHeldVersion(version);
  pushFreshness();
}

void FleetNode::noteExternalRead(const fleet::RecordReading &reading) {
  // An answer that had arrived by the last tick would have been handled then.
  Freshness.readConfirmed(
      reading.HeldUntil.value_or(std::max(reading.StartedAt, LastElapsed)));
  pushFreshness();
}

fleet::ReadDuty FleetNode::externalDuty() {
  auto now = elapsedClock().now();
  auto duty = Freshness.duty(ownRank(), now);
  if (duty.What == std::exchange(LastDuty, duty.What))
    return duty;
  auto report = Freshness.report(now);
  auto age = report.Age
                 ? std::to_string(report.Age->count() / MicrosecondsPerMs)
                 : std::string();
  base::log(
      base::LogLevel::Info, "record duty changed",
      {{"duty", std::string(base::nameOf(fleet::ReadDutyNames, duty.What))},
       {"rank", std::to_string(OwnRank.Rank)},
       {"live", std::to_string(OwnRank.Count)},
       {"version", std::to_string(report.Version)},
       {"age_ms", age}});
  return duty;
}

const fleet::ReaderRank &FleetNode::ownRank() {
  if (OwnRankGeneration == Members.generation())
    return OwnRank;
  OwnRankGeneration = Members.generation();
  const auto &self = Environment.Self;
  OwnRank = fleet::readerRank(Members.table().all(), self.DataCentre, self.Id);
  return OwnRank;
}

void FleetNode::handleExternalDigest(const fleet::NodeId &sender,
                                     const fleet::FreshnessReport &report) {
  if (!Environment.External.Version)
    return;
  auto now = elapsedClock().now();
  auto adjusted = report;
  if (auto gap = now - LastElapsed; adjusted.Age && gap > MaximumTickGap)
    *adjusted.Age += gap;
  Freshness.reported(adjusted, now);
  CatchUp.versionAnnounced(report.Version, sender, Environment.Time->now());
  catchUpWithPeers();
}

/// Pushes a new version or a more recent confirmation to a few peers.
void FleetNode::pushFreshness() {
  if (HasLeft || !Freshness.takePendingPush())
    return;
  Members.setDigest(digest());
  send(Members.pushDigest());
}

void FleetNode::logConfirmation() {
  auto age = Freshness.currentAge(LastElapsed);
  if (!Environment.External.Version || !age)
    return;
  bool isUnconfirmed = *age > Environment.Freshness.Bound;
  if (isUnconfirmed == std::exchange(IsUnconfirmed, isUnconfirmed))
    return;
  base::log(
      isUnconfirmed ? base::LogLevel::Warning : base::LogLevel::Info,
      isUnconfirmed ? "external configuration unconfirmed"
                    : "external configuration confirmed",
      {{"version", std::to_string(Environment.External.Version())},
       {"age_ms", std::to_string(age->count() / MicrosecondsPerMs)},
       {"duty", std::string(base::nameOf(fleet::ReadDutyNames, LastDuty))},
       {"rank", std::to_string(ownRank().Rank)}});
}

void FleetNode::serveExternal(const PullRequest &request, PullAnswer &answer) {
  const auto &external = Environment.External;
  if (!external.Version || external.Version() <= request.From)
    return;
  answer.State = external.Packed();
  answer.StateOffset = external.Version();
}

void FleetNode::catchUpWithPeers() {
  const auto &external = Environment.External;
  if (!external.Version || HasLeft)
    return;
  fleet::CatchUpView view{external.Version(), external.ReadsStore(),
                          external.IsRereadPending(), external.Packed().size()};
  auto now = Environment.Time->now();
  if (!CatchUp.isDue(view, now))
    return;
  auto holder = CatchUp.nextHolder();
  const auto *peer = holder ? Members.table().find(*holder) : nullptr;
  if (!peer)
    return CatchUp.requestEnded(now);
  PullRequest request;
  request.Sender = Environment.Self.Id;
  request.Nonce = RandomSource.next();
  request.Kind = PullKind::External;
  request.From = view.Held;
  Client->pull(peer->Identity.Peer, request,
               [weak = weak_from_this(),
                id = *holder](std::optional<PullAnswer> answer) {
                 if (auto self = weak.lock())
                   self->externalAnswered(id, std::move(answer));
               });
}

void FleetNode::externalAnswered(const fleet::NodeId &peer,
                                 std::optional<PullAnswer> answer) {
  bool isBusy = answer && answer->Code == base::ResultCode::PeerBusy;
  CatchUp.requestEnded(
      Environment.Time->now(),
      std::chrono::milliseconds(isBusy ? answer->RetryAfterMilliseconds : 0));
  if (answer && !answer->State.empty() && !HasLeft)
    Environment.External.PeerVersionReceived(
        {answer->StateOffset, std::move(answer->State)}, peer);
}

} // namespace radishcross::peer
