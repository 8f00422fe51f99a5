#include <LibPeer/WireTypes.h>

#include <algorithm>
#include <capnp/serialize-packed.h>
#include <chrono>
#include <kj/exception.h>
#include <kj/io.h>

namespace radishcross::peer {

namespace {

constexpr size_t MaximumHostBytes = 45;
constexpr size_t MaximumTextBytes = 256;
constexpr uint64_t SmallMessageWords = 64;
/// A longer warm-up of a target is passed on as this one, in milliseconds.
constexpr uint32_t MaximumWarmUpMs = 60'000;

void writeAddress(wire::Address::Builder builder,
                  const base::Address &address) {
  builder.setHost(address.Host);
  builder.setPort(address.Port);
}

bool readAddress(wire::Address::Reader reader, base::Address &address) {
  address.Port = reader.getPort();
  return readText(reader.getHost(), MaximumHostBytes, address.Host);
}

void writeTarget(wire::Target::Builder builder,
                 const fleet::TargetRecord &target) {
  builder.setService(target.Service);
  builder.setTargetId(target.TargetId);
  writeAddress(builder.initAddress(), target.Where);
  builder.setState(static_cast<uint8_t>(target.State));
  builder.setSlots(target.Slots);
  builder.setConnections(target.Connections);
  builder.setLoadPermille(target.LoadPermille);
  builder.setEpoch(target.Epoch);
  if (target.WarmUpMs)
    builder.setStatedWarmUp(
        static_cast<uint16_t>(std::min(*target.WarmUpMs, MaximumWarmUpMs) + 1));
  if (!target.SoftwareVersion.empty())
    builder.setSoftwareVersion(target.SoftwareVersion);
}

bool readTarget(wire::Target::Reader reader, fleet::TargetRecord &target) {
  if (reader.getState() > static_cast<uint8_t>(fleet::TargetState::Left))
    return false;
  target.State = static_cast<fleet::TargetState>(reader.getState());
  target.Slots = reader.getSlots();
  target.Connections = reader.getConnections();
  target.LoadPermille = reader.getLoadPermille();
  target.Epoch = reader.getEpoch();
  if (reader.getStatedWarmUp() > 0)
    target.WarmUpMs = reader.getStatedWarmUp() - 1;
  return readText(reader.getService(), MaximumTextBytes, target.Service) &&
         readText(reader.getTargetId(), MaximumIdBytes, target.TargetId) &&
         readText(reader.getSoftwareVersion(), MaximumIdBytes,
                  target.SoftwareVersion) &&
         readAddress(reader.getAddress(), target.Where);
}

void writeContent(wire::Content::Builder builder, const fleet::Member &member) {
  const auto &identity = member.Identity;
  builder.setDataCentre(identity.DataCentre);
  builder.setRegion(identity.Region);
  auto labels = builder.initLabels(identity.NodeLabels.size());
  uint32_t n = 0;
  for (const auto &[key, value] : identity.NodeLabels) {
    labels[n].setKey(key);
    labels[n++].setValue(value);
  }
  writeAddress(builder.initGossip(), identity.Gossip);
  writeAddress(builder.initPeer(), identity.Peer);
  writeAddress(builder.initMesh(), identity.Mesh);
  writeAddress(builder.initAdministration(), identity.Administration);
  auto targets = builder.initTargets(member.Targets.size());
  n = 0;
  for (const auto &it : member.Targets)
    writeTarget(targets[n++], it);
  auto exceptions = builder.initExceptions(member.Exceptions.size());
  n = 0;
  for (const auto &[name, version] : member.Exceptions) {
    exceptions[n].setConfiguration(name);
    exceptions[n++].setVersion(version);
  }
  builder.setKnowsExceptions(member.KnowsExceptions);
  auto departures = builder.initDepartures(member.Departed.size());
  n = 0;
  for (const auto &[id, epoch] : member.Departed) {
    departures[n].setTargetId(id);
    departures[n++].setEpoch(epoch);
  }
  builder.setKnowsDepartures(member.KnowsDepartures);
}

bool readContent(wire::Content::Reader reader, fleet::Member &member) {
  auto &identity = member.Identity;
  for (auto it : reader.getLabels()) {
    std::string key;
    std::string value;
    if (!readText(it.getKey(), MaximumTextBytes, key) ||
        !readText(it.getValue(), MaximumTextBytes, value))
      return false;
    identity.NodeLabels[key] = value;
  }
  for (auto it : reader.getTargets()) {
    fleet::TargetRecord target;
    if (!readTarget(it, target))
      return false;
    member.Targets.push_back(std::move(target));
  }
  for (auto it : reader.getExceptions()) {
    std::string name;
    if (!readText(it.getConfiguration(), MaximumTextBytes, name))
      return false;
    member.Exceptions[name] = it.getVersion();
  }
  member.KnowsExceptions = reader.getKnowsExceptions();
  for (auto it : reader.getDepartures()) {
    std::string id;
    if (!readText(it.getTargetId(), MaximumIdBytes, id))
      return false;
    member.Departed[id] = it.getEpoch();
  }
  member.KnowsDepartures = reader.getKnowsDepartures();
  return readText(reader.getDataCentre(), MaximumIdBytes,
                  identity.DataCentre) &&
         readText(reader.getRegion(), MaximumIdBytes, identity.Region) &&
         readAddress(reader.getGossip(), identity.Gossip) &&
         readAddress(reader.getPeer(), identity.Peer) &&
         readAddress(reader.getMesh(), identity.Mesh) &&
         readAddress(reader.getAdministration(), identity.Administration);
}

/// The highest age that is sent; an older one is of no use and is sent as
/// unknown.
constexpr int64_t MaximumAgeMilliseconds = 60'000;

/// Encodes an age as milliseconds plus one, 0 for unknown.
uint32_t encodeAge(const std::optional<base::Duration> &age) {
  if (!age)
    return 0;
  auto ms = std::chrono::ceil<std::chrono::milliseconds>(*age).count();
  return ms > MaximumAgeMilliseconds
             ? 0
             : static_cast<uint32_t>(std::max<int64_t>(ms, 0) + 1);
}

std::optional<base::Duration> decodeAge(uint32_t coded) {
  if (coded == 0)
    return std::nullopt;
  return std::chrono::milliseconds(coded - 1);
}

} // namespace

std::string packMessage(capnp::MessageBuilder &message) {
  kj::VectorOutputStream out;
  capnp::writePackedMessage(out, message);
  auto bytes = out.getArray();
  return {reinterpret_cast<const char *>(bytes.begin()), bytes.size()};
}

bool unpackMessage(std::string_view bytes, uint64_t maximumWords,
                   const std::function<bool(capnp::MessageReader &)> &read) {
  try {
    kj::ArrayInputStream in(kj::ArrayPtr<const kj::byte>(
        reinterpret_cast<const kj::byte *>(bytes.data()), bytes.size()));
    capnp::ReaderOptions options;
    // Packed zeros may expand a thousandfold; well-formed messages do not.
    options.traversalLimitInWords =
        std::min<uint64_t>(maximumWords, bytes.size() + SmallMessageWords);
    options.nestingLimit = 8;
    capnp::PackedMessageReader message(in, options);
    return read(message);
  } catch (const kj::Exception &) {
    return false;
  }
}

bool readText(capnp::Text::Reader reader, size_t maximum, std::string &text) {
  if (reader.size() > maximum)
    return false;
  text.assign(reader.begin(), reader.size());
  return true;
}

void writeMember(wire::Member::Builder builder, const fleet::Member &member,
                 bool hasContent) {
  builder.setId(member.Identity.Id);
  builder.setIncarnation(member.Incarnation);
  builder.setRevision(member.Revision);
  builder.setState(static_cast<uint8_t>(member.State));
  builder.setHeld(member.HeldOffset);
  builder.setInForce(member.ConfigOffset);
  builder.setIsRecovered(member.IsRecovered);
  if (hasContent)
    writeContent(builder.initContent(), member);
}

bool readMember(wire::Member::Reader reader, fleet::MemberUpdate &update) {
  auto &member = update.Record;
  if (reader.getState() > static_cast<uint8_t>(fleet::MemberState::Left) ||
      !readText(reader.getId(), MaximumIdBytes, member.Identity.Id) ||
      member.Identity.Id.empty())
    return false;
  member.State = static_cast<fleet::MemberState>(reader.getState());
  member.Incarnation = reader.getIncarnation();
  member.Revision = reader.getRevision();
  member.HeldOffset = reader.getHeld();
  member.ConfigOffset = reader.getInForce();
  member.IsRecovered = reader.getIsRecovered();
  update.HasContent = reader.hasContent();
  return !update.HasContent || readContent(reader.getContent(), member);
}

void writeDigest(wire::Digest::Builder builder, const fleet::Digest &digest) {
  builder.setHeld(digest.Held);
  builder.setInForce(digest.InForce);
  builder.setFoldHash(digest.FoldHash);
  builder.setMembersHash(digest.MembersHash);
  builder.setIsRecovered(digest.IsRecovered);
  builder.setExternal(digest.External.Version);
  builder.setExternalAge(encodeAge(digest.External.Age));
}

fleet::Digest readDigest(wire::Digest::Reader reader) {
  return {reader.getHeld(),
          reader.getInForce(),
          reader.getFoldHash(),
          reader.getMembersHash(),
          reader.getIsRecovered(),
          {reader.getExternal(), decodeAge(reader.getExternalAge())}};
}

} // namespace radishcross::peer
