#include <LibBase/Logger.h>
#include <LibPeer/FleetNode.h>

#include <chrono>
#include <utility>

// The part of FleetNode that shares the external configuration with peers.

namespace radishcross::peer {

namespace {

constexpr std::string_view ExternalTopic = "external-version";
/// Who was away for longer learns of the version from the store, or asks.
constexpr std::chrono::seconds NoticeLifetime{60};
/// One question in so many goes to any data centre.
constexpr uint32_t AnywhereEvery = 3;

} // namespace

void FleetNode::externalChanged(uint64_t version) {
  auto lifetime = std::chrono::milliseconds(NoticeLifetime).count();
  // The version is the revision, so that an older one never replaces it.
  Members.post({std::string(ExternalTopic), std::to_string(version), version,
                static_cast<uint32_t>(lifetime)},
               Environment.Time->now());
}

bool FleetNode::takeExternalNotice(const fleet::Notice &notice) {
  if (notice.Topic != ExternalTopic)
    return false;
  CatchUp.heard(notice.Revision, Environment.Time->now());
  return true;
}

void FleetNode::serveExternal(const PullRequest &request, PullAnswer &answer) {
  const auto &external = Environment.External;
  if (!external.Version || external.Version() <= request.From)
    return;
  answer.State = external.Text();
  answer.StateOffset = external.Version();
}

const fleet::Member *FleetNode::choosePeer() {
  bool isAnywhere = ExternalAsks++ % AnywhereEvery == AnywhereEvery - 1;
  auto chosen = Members.choose(1, [&](const fleet::Member &it) {
    return isAnywhere || it.Identity.DataCentre == Environment.Self.DataCentre;
  });
  if (chosen.empty())
    chosen = Members.choose(1, [](const fleet::Member &) { return true; });
  return chosen.empty() ? nullptr : chosen.front();
}

void FleetNode::catchUpWithPeers() {
  const auto &external = Environment.External;
  if (!external.Version || HasLeft)
    return;
  auto held = external.Version();
  fleet::CatchUpView view{held, external.IsStoreReached(),
                          external.IsReadSpaced(), external.TextBytes()};
  if (!CatchUp.isDue(view, Environment.Time->now()))
    return;
  const auto *peer = choosePeer();
  if (!peer)
    return CatchUp.ended();
  PullRequest request;
  request.Sender = Environment.Self.Id;
  request.Nonce = Dice.next();
  request.Kind = PullKind::External;
  request.From = held;
  Client->pull(peer->Identity.Peer, request,
               [weak = weak_from_this(), id = peer->Identity.Id](
                   const std::optional<PullAnswer> &answer) {
                 auto self = weak.lock();
                 if (!self)
                   return;
                 self->CatchUp.ended();
                 if (answer && !answer->State.empty() && !self->HasLeft)
                   self->Environment.External.Taken(
                       {answer->StateOffset, answer->State}, id);
               });
}

} // namespace radishcross::peer
