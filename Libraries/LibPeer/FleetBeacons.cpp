#include <LibBase/Logger.h>
#include <LibLog/RecordBodies.h>
#include <LibPeer/FleetNode.h>

#include <chrono>
#include <utility>

// The part of FleetNode that writes beacons to the log and finds peers there.

namespace radishcross::peer {

namespace {

constexpr size_t RecordOverheadBytes = 250; ///< HTTP's, request and answer.

int64_t wallSeconds() {
  auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::seconds>(now).count();
}

} // namespace

void FleetNode::appendBeaconIfDue() {
  auto now = Environment.Time->now();
  auto wall = wallSeconds();
  if (!Recovering.isServing() ||
      !Beacons.isDue(Members.table(), Held.beacons(), wall, now))
    return;
  const auto &self = Environment.Self;
  log::BeaconBody body{self.Id, self.DataCentre, self.Gossip.text(),
                       self.Peer.text(), Beacons.expiryFrom(wall)};
  auto id = "beacon-" + self.Id + "-" + std::to_string(Epoch) + "-" +
            std::to_string(++BeaconsSent);
  auto bytes = log::encodeRecord(
      log::makeBeacon(id, {"", "node", self.Gossip.Host}, body));
  *Bytes.Sent += bytes.size() + RecordOverheadBytes;
  Environment.Platform->append(
      std::move(bytes), [weak = weak_from_this()](const log::AppendAnswer &it) {
        auto self = weak.lock();
        if (!self || it.Outcome == log::AppendAnswer::Kind::Accepted)
          return;
        // The next look at the fold tells whether it took effect.
        base::log(base::LogLevel::Warning, "beacon was not appended",
                  {{"reason", it.Reason.text()}});
      });
}

void FleetNode::joinThroughBeacons() {
  Members.addSeeds(
      fleet::liveBeacons(Held.beacons(), Environment.Self.Id, wallSeconds()));
}

void FleetNode::joinThroughRecords(
    const std::vector<log::StoredRecord> &records) {
  fleet::BeaconPlan::Beacons found;
  for (const auto &it : records) {
    base::LastReason reason;
    auto record = log::decodeRecord(it.Bytes, reason);
    if (!record || record->Kind != log::RecordKind::Beacon)
      continue;
    auto body = log::decodeBeacon(record->Body, reason);
    if (body)
      found[body->Node] = {body->Node, body->DataCentre,           body->Gossip,
                           body->Peer, body->ExpiresAtUnixSeconds, it.At};
  }
  Members.addSeeds(
      fleet::liveBeacons(found, Environment.Self.Id, wallSeconds()));
}

} // namespace radishcross::peer
