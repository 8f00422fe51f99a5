#include <LibPeer/GossipCodec.h>
#include <LibPeer/WireTypes.h>

#include <utility>

namespace radishcross::peer {

namespace {

/// Limits the unpacked size of a datagram, since packed zeros expand.
constexpr uint64_t MaximumDatagramWords = 8192;

void writeNotices(wire::Datagram::Builder builder,
                  const std::vector<fleet::Notice> &notices) {
  auto list = builder.initNotices(notices.size());
  uint32_t n = 0;
  for (const auto &it : notices) {
    auto notice = list[n++];
    notice.setTopic(it.Topic);
    notice.setText(it.Text);
    notice.setRevision(it.Revision);
    notice.setLifetimeMilliseconds(it.LifetimeMilliseconds);
  }
}

bool readNotices(wire::Datagram::Reader reader,
                 std::vector<fleet::Notice> &notices) {
  for (auto it : reader.getNotices()) {
    fleet::Notice notice;
    if (!readText(it.getTopic(), MaximumDatagramBytes, notice.Topic) ||
        !readText(it.getText(), MaximumDatagramBytes, notice.Text))
      return false;
    notice.Revision = it.getRevision();
    notice.LifetimeMilliseconds = it.getLifetimeMilliseconds();
    notices.push_back(std::move(notice));
  }
  return true;
}

bool readUpdates(wire::Datagram::Reader reader,
                 std::vector<fleet::MemberUpdate> &updates) {
  for (auto it : reader.getUpdates()) {
    fleet::MemberUpdate update;
    if (!readMember(it, update))
      return false;
    updates.push_back(std::move(update));
  }
  return true;
}

void writeAllotment(wire::Allotment::Builder to,
                    const tenants::AllotmentMessage &from) {
  to.setIsAnswer(from.IsAnswer);
  to.setGroup(from.Group);
  to.setSession(from.Session);
  to.setSequence(from.Sequence);
  to.setStamp(from.Stamp);
  to.setShareOf(from.ShareOf);
  uint32_t n = 0;
  if (!from.Needs.empty()) {
    auto needs = to.initNeeds(from.Needs.size());
    for (const auto &it : from.Needs) {
      auto need = needs[n++];
      need.setTenant(it.Tenant);
      need.setUsed(it.Used);
      need.setStock(it.Stock);
      need.setWant(it.Want);
    }
  }
  n = 0;
  if (from.Grants.empty())
    return;
  auto grants = to.initGrants(from.Grants.size());
  for (const auto &it : from.Grants) {
    auto grant = grants[n++];
    grant.setTenant(it.Tenant);
    grant.setKept(it.Kept);
    grant.setGranted(it.Granted);
  }
}

bool readAllotment(wire::Allotment::Reader from,
                   tenants::AllotmentMessage &to) {
  to.IsAnswer = from.getIsAnswer();
  to.Group = from.getGroup();
  to.Session = from.getSession();
  to.Sequence = from.getSequence();
  to.Stamp = from.getStamp();
  to.ShareOf = from.getShareOf();
  for (auto it : from.getNeeds()) {
    auto &need = to.Needs.emplace_back();
    if (!readText(it.getTenant(), MaximumDatagramBytes, need.Tenant))
      return false;
    need.Used = it.getUsed();
    need.Stock = it.getStock();
    need.Want = it.getWant();
  }
  for (auto it : from.getGrants()) {
    auto &grant = to.Grants.emplace_back();
    if (!readText(it.getTenant(), MaximumDatagramBytes, grant.Tenant))
      return false;
    grant.Kept = it.getKept();
    grant.Granted = it.getGranted();
  }
  return true;
}

bool readDatagram(wire::Datagram::Reader reader, Datagram &datagram) {
  auto &message = datagram.Message;
  if (reader.getKind() > static_cast<uint8_t>(fleet::GossipKind::Direct) ||
      !readText(reader.getSender(), MaximumIdBytes, datagram.Sender) ||
      datagram.Sender.empty())
    return false;
  datagram.Epoch = reader.getEpoch();
  datagram.Sequence = reader.getSequence();
  if (reader.hasAllotment())
    return readAllotment(reader.getAllotment(), datagram.Allotment.emplace());
  message.Kind = static_cast<fleet::GossipKind>(reader.getKind());
  message.Probe = reader.getProbe();
  message.Summary = readDigest(reader.getSummary());
  return readText(reader.getSubject(), MaximumIdBytes, message.Subject) &&
         readUpdates(reader, message.Updates) &&
         readNotices(reader, message.Notices);
}

} // namespace

std::string encodeDatagram(const Datagram &datagram) {
  const auto &message = datagram.Message;
  capnp::MallocMessageBuilder arena;
  auto builder = arena.initRoot<wire::Datagram>();
  builder.setSender(datagram.Sender);
  builder.setEpoch(datagram.Epoch);
  builder.setSequence(datagram.Sequence);
  if (datagram.Allotment) {
    writeAllotment(builder.initAllotment(), *datagram.Allotment);
    return packMessage(arena);
  }
  builder.setKind(static_cast<uint8_t>(message.Kind));
  builder.setProbe(message.Probe);
  if (!message.Subject.empty())
    builder.setSubject(message.Subject);
  writeDigest(builder.initSummary(), message.Summary);
  if (!message.Updates.empty()) {
    auto updates = builder.initUpdates(message.Updates.size());
    uint32_t n = 0;
    for (const auto &it : message.Updates)
      writeMember(updates[n++], it.Record, it.HasContent);
  }
  if (!message.Notices.empty())
    writeNotices(builder, message.Notices);
  return packMessage(arena);
}

std::optional<Datagram> decodeDatagram(std::string_view bytes,
                                       base::LastReason &reason) {
  Datagram datagram;
  bool isValid = bytes.size() <= MaximumDatagramBytes &&
                 unpackMessage(bytes, MaximumDatagramWords, [&](auto &message) {
                   return readDatagram(
                       message.template getRoot<wire::Datagram>(), datagram);
                 });
  if (!isValid)
    return reason.fail(base::ResultCode::DatagramMalformed,
                       "datagram is malformed or too large");
  return datagram;
}

} // namespace radishcross::peer
