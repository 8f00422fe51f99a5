#include <LibNode/PlatformLink.h>

#include <LibBase/Deflate.h>
#include <LibBase/Hash.h>
#include <LibBase/Logger.h>
#include <LibFleet/Rendezvous.h>
#include <LibFleet/Spreader.h>

#include <algorithm>
#include <chrono>
#include <set>
#include <utility>

namespace radishcross::node {

namespace {

/// The least time between two writes of a node's entry.
constexpr base::Duration WriteSpacing = std::chrono::seconds(2);

/// How often it is looked for entries of nodes that are gone.
constexpr base::Duration DropLookSpacing = std::chrono::seconds(10);

/// Nodes of each data centre that the directory names: one of them lives.
constexpr uint32_t KeepersPerDataCentre = 3;

/// A node that knows nobody reads the directory after this time, half of which
/// is drawn; one that has met others does so after the second one.
constexpr base::Duration AloneQuiet = std::chrono::milliseconds(300);
constexpr base::Duration KeeperQuiet = std::chrono::seconds(2);

/// How often it is looked at who is alive.
constexpr base::Duration LookSpacing = std::chrono::milliseconds(100);

/// The most bytes of a record of the store, when it is not compressed.
constexpr size_t MaximumRecordBytes = 4UL << 20;

} // namespace

PlatformLink::PlatformLink(boost::asio::io_context &context,
                           log::KeyedStore &store, const PlatformPorts &ports,
                           fleet::DirectoryEntry self, Events events)
    : Context(&context), Store(&store), Ports(&ports),
      Directory(std::move(self)), OnEvent(std::move(events)) {}

void PlatformLink::start(bool hasConfiguration, uint64_t seed) {
  Started = base::SystemClock().now();
  auto drawn = base::Random(seed).below(AloneQuiet.count() / 2 + 1);
  QuietUntil = Started + AloneQuiet / 2 + base::Duration(drawn);
  fleet::TopicFollowerSettings listing;
  listing.ListsOnly = true;
  Nodes = TopicReader::start(
      *Context, *Store, log::Topic::Nodes, seed,
      {[this](const log::KeyedRecord &it) { directoryRecord(it); },
       [this] { return directoryDuty(); },
       {}},
      listing);
  if (!hasConfiguration)
    return;
  Operator = TopicReader::start(
      *Context, *Store, log::Topic::Operator, seed + 1,
      {[this](const log::KeyedRecord &it) { operatorRecord(it); },
       OnEvent.ReadDuty, OnEvent.ConfigurationRead});
}

/// Who knows nobody looks for others; of the rest a few of each data centre
/// keep their entries there.
fleet::ReadDuty PlatformLink::directoryDuty() const {
  auto now = base::SystemClock().now();
  bool isDue =
      IsAlone ? now >= QuietUntil : IsKeeper && now >= Started + KeeperQuiet;
  if (!isDue)
    return {};
  fleet::TopicFollowerSettings usual;
  return {fleet::ReadDuty::Kind::Once, usual.LongPoll, usual.Spacing,
          usual.LongestPause};
}

void PlatformLink::look(const std::vector<fleet::Member> &members) {
  const auto &id = Directory.self().Id;
  IsAlone = std::none_of(members.begin(), members.end(), [&](const auto &it) {
    return fleet::isLive(it) && it.Identity.Id != id;
  });
  auto self = std::find_if(members.begin(), members.end(), [&](const auto &it) {
    return it.Identity.Id == id;
  });
  IsKeeper = self == members.end() ||
             fleet::placeOf(members, self->Identity.DataCentre, id).Rank <
                 KeepersPerDataCentre;
}

std::vector<std::pair<log::Topic, base::TimePoint>>
PlatformLink::toldAt() const {
  std::vector<std::pair<log::Topic, base::TimePoint>> out;
  if (Nodes && Nodes->toldAt())
    out.emplace_back(log::Topic::Nodes, *Nodes->toldAt());
  if (Operator && Operator->toldAt())
    out.emplace_back(log::Topic::Operator, *Operator->toldAt());
  return out;
}

void PlatformLink::tick(const std::vector<fleet::Member> &members,
                        base::TimePoint now) {
  if (now >= NextLook) {
    NextLook = now + LookSpacing;
    look(members);
  }
  Nodes->wake();
  if (Operator)
    Operator->wake();
  if (IsKeeper && Directory.mustWrite() && Nodes->hasListed() &&
      now >= NextWrite) {
    NextWrite = now + WriteSpacing;
    const auto &self = Directory.self();
    writeEntry(self.Id, fleet::encodeDirectoryEntry(self));
  }
  if (now < NextDropLook)
    return;
  NextDropLook = now + DropLookSpacing;
  std::set<fleet::NodeId> live;
  for (const auto &it : members)
    if (fleet::isLive(it))
      live.insert(it.Identity.Id);
  auto keepers = fleet::Spreader::tailers(members, KeepersPerDataCentre);
  auto first = std::min_element(keepers.begin(), keepers.end());
  bool isFirst = first == keepers.end() || *first == Directory.self().Id;
  if (auto gone = Directory.toDrop(live, isFirst, now)) {
    base::log(base::LogLevel::Info, "directory entry dropped",
              {{"gone", *gone}});
    writeEntry(*gone, {});
  }
}

/// An empty text drops the entry.
void PlatformLink::writeEntry(std::string id, std::string text) {
  bool isOwn = id == Directory.self().Id;
  Store->put(log::Topic::Nodes, std::move(id), std::move(text),
             [weak = std::weak_ptr<bool>(Alive), this,
              isOwn](const log::PutAnswer &answer) {
               if (weak.expired())
                 return;
               bool isDone = answer.Outcome == log::PutAnswer::Kind::Accepted;
               if (isDone && isOwn) {
                 Directory.written();
                 // Of two nodes the one that writes later sees the other.
                 Nodes->listSoon();
               }
               if (!isDone)
                 base::log(base::LogLevel::Warning,
                           "directory entry was not written",
                           {{"reason", answer.Reason.text()}});
             });
}

void PlatformLink::directoryRecord(const log::KeyedRecord &record) {
  if (auto gossip = Directory.take(record))
    OnEvent.NodeFound(*gossip);
}

void PlatformLink::operatorRecord(const log::KeyedRecord &record) {
  if (record.Key != Ports->ConfigurationKey || record.Value.empty() ||
      !takeConfiguration(record.Value, "store"))
    return;
  Packed = base::zlibCompress(record.Value);
  OnEvent.ConfigurationChanged();
}

void PlatformLink::takePacked(std::string packed, std::string_view peer) {
  base::LastReason reason;
  auto text = base::zlibDecompress(packed, MaximumRecordBytes, reason);
  if (!text) {
    base::log(base::LogLevel::Warning, "external configuration not read",
              {{"source", std::string(peer)}, {"reason", reason.line()}});
    return;
  }
  if (takeConfiguration(*text, peer)) {
    Packed = std::move(packed);
    OnEvent.ConfigurationChanged();
  }
}

/// Tells whether the version changed; then who called says so to the node.
bool PlatformLink::takeConfiguration(std::string_view text,
                                     std::string_view source) {
  auto hash = base::hash64(text);
  if (hash == TextHash)
    return false;
  TextHash = hash;
  base::LastReason reason;
  auto version = Ports->DecodeOperatorRecord(text, reason);
  auto number = version ? version->Version : 0;
  if (!version || !External.take(std::move(*version), reason)) {
    base::log(base::LogLevel::Info, "external configuration passed over",
              {{"version", std::to_string(number)},
               {"held", std::to_string(External.version())},
               {"source", std::string(source)},
               {"reason", reason.line()}});
    return false;
  }
  base::log(
      base::LogLevel::Info, "external configuration taken",
      {{"version", std::to_string(number)}, {"source", std::string(source)}});
  return true;
}

} // namespace radishcross::node
