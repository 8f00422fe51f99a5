#include <LibNode/PlatformLink.h>

#include <LibBase/Deflate.h>
#include <LibBase/Hash.h>
#include <LibBase/Logger.h>
#include <LibFleet/Rendezvous.h>
#include <LibFleet/Replicator.h>

#include <algorithm>
#include <chrono>
#include <set>
#include <utility>

namespace radishcross::node {

namespace {

/// The minimum time between two writes of this node's entry.
constexpr base::Duration MinWriteInterval = std::chrono::seconds(2);

/// How often entries of nodes that are gone are looked for.
constexpr base::Duration CleanupInterval = std::chrono::seconds(10);

/// How many nodes of each data centre register in the directory, so that at
/// least one of them is likely to be alive.
constexpr uint32_t RegisteredPerDataCentre = 3;

/// A node that knows no other node reads the directory after the first delay,
/// half of which is random; a registered node that has met others reads it
/// after the second.
constexpr base::Duration IsolatedReadDelay = std::chrono::milliseconds(300);
constexpr base::Duration RegisteredReadDelay = std::chrono::seconds(2);

/// How often the members are checked for whether this node is isolated or
/// should register.
constexpr base::Duration RoleUpdateInterval = std::chrono::milliseconds(100);

/// The maximum size of a record of the store in bytes, uncompressed.
constexpr size_t MaximumRecordBytes = 4UL << 20;

/// The number of repairs of which the log gives the text.
constexpr size_t MaxLoggedRepairs = 8;

} // namespace

std::string summaryOf(const config::Repairs &repairs) {
  std::string out;
  for (size_t n = 0; n < std::min(repairs.size(), MaxLoggedRepairs); ++n)
    out += (n > 0 ? "; " : "") + repairs[n];
  return out;
}

PlatformLink::PlatformLink(boost::asio::io_context &context,
                           log::KeyedStore &store, const PlatformPorts &ports,
                           fleet::DirectoryEntry self, Events events)
    : Context(&context), Store(&store), Ports(&ports),
      Directory(std::move(self)), Callbacks(std::move(events)) {}

void PlatformLink::start(bool hasConfiguration, uint64_t seed) {
  Started = base::SystemClock().now();
  auto jitter = base::Random(seed).below(IsolatedReadDelay.count() / 2 + 1);
  IsolatedReadAt = Started + IsolatedReadDelay / 2 + base::Duration(jitter);
  fleet::TopicFollowerSettings listOnly;
  listOnly.ListsOnly = true;
  DirectoryReader = TopicReader::start(
      *Context, *Store, log::Topic::Nodes, seed,
      {[this](const log::KeyedRecord &it) { handleDirectoryRecord(it); },
       [this] { return directoryDuty(); },
       {}},
      listOnly);
  if (!hasConfiguration)
    return;
  OperatorReader = TopicReader::start(
      *Context, *Store, log::Topic::Operator, seed + 1,
      {[this](const log::KeyedRecord &it) { handleOperatorRecord(it); },
       Callbacks.ReadDuty, Callbacks.ConfigurationRead});
}

/// An isolated node reads the directory to find others. Of the rest a few in
/// each data centre read it to keep their entries there.
fleet::ReadDuty PlatformLink::directoryDuty() const {
  auto now = base::SystemClock().now();
  bool isDue = IsIsolated
                   ? now >= IsolatedReadAt
                   : ShouldRegister && now >= Started + RegisteredReadDelay;
  if (!isDue)
    return {};
  fleet::TopicFollowerSettings defaults;
  return {fleet::ReadDuty::Kind::Once, defaults.LongPoll, defaults.Spacing,
          defaults.LongestPause};
}

void PlatformLink::updateRole(const std::vector<fleet::Member> &members) {
  const auto &id = Directory.self().Id;
  IsIsolated =
      std::none_of(members.begin(), members.end(), [&](const auto &it) {
        return fleet::isLive(it) && it.Identity.Id != id;
      });
  auto self = std::find_if(members.begin(), members.end(), [&](const auto &it) {
    return it.Identity.Id == id;
  });
  ShouldRegister =
      self == members.end() ||
      fleet::readerRank(members, self->Identity.DataCentre, id).Rank <
          RegisteredPerDataCentre;
}

std::vector<PlatformLink::ReadTimes>
PlatformLink::readTimes(base::TimePoint now) const {
  std::vector<ReadTimes> out;
  if (DirectoryReader)
    out.push_back({log::Topic::Nodes, DirectoryReader->lastAnswerAt(),
                   DirectoryReader->overdue(now)});
  if (OperatorReader)
    out.push_back({log::Topic::Operator, OperatorReader->lastAnswerAt(),
                   OperatorReader->overdue(now)});
  return out;
}

void PlatformLink::tick(const std::vector<fleet::Member> &members,
                        base::TimePoint now) {
  if (now >= NextRoleUpdate) {
    NextRoleUpdate = now + RoleUpdateInterval;
    updateRole(members);
  }
  DirectoryReader->wake();
  if (OperatorReader)
    OperatorReader->wake();
  if (ShouldRegister && Directory.mustWrite() && DirectoryReader->hasListed() &&
      now >= NextWrite) {
    NextWrite = now + MinWriteInterval;
    const auto &self = Directory.self();
    writeEntry(self.Id, fleet::encodeDirectoryEntry(self));
  }
  if (now < NextCleanup)
    return;
  NextCleanup = now + CleanupInterval;
  std::set<fleet::NodeId> live;
  for (const auto &it : members)
    if (fleet::isLive(it))
      live.insert(it.Identity.Id);
  auto registered =
      fleet::Replicator::tailers(members, RegisteredPerDataCentre);
  auto first = std::min_element(registered.begin(), registered.end());
  bool isFirst = first == registered.end() || *first == Directory.self().Id;
  if (auto gone = Directory.entryToDrop(live, isFirst, now)) {
    base::log(base::LogLevel::Info, "directory entry dropped",
              {{"gone", *gone}});
    writeEntry(*gone, {});
  }
}

/// Writes an entry; an empty text drops it.
void PlatformLink::writeEntry(std::string id, std::string text) {
  bool isOwn = id == Directory.self().Id;
  Store->put(log::Topic::Nodes, std::move(id), std::move(text),
             [weak = std::weak_ptr<bool>(LifetimeToken), this,
              isOwn](const log::PutAnswer &answer) {
               if (weak.expired())
                 return;
               bool isDone = answer.Outcome == log::PutAnswer::Kind::Accepted;
               if (isDone && isOwn) {
                 Directory.written();
                 // Listing after the write: of two nodes that register at the
                 // same time, the one that writes later sees the other.
                 DirectoryReader->listSoon();
               }
               if (!isDone)
                 base::log(base::LogLevel::Warning,
                           "directory entry was not written",
                           {{"reason", answer.Reason.text()}});
             });
}

void PlatformLink::handleDirectoryRecord(const log::KeyedRecord &record) {
  if (auto gossip = Directory.applyRecord(record))
    Callbacks.NodeFound(*gossip);
}

void PlatformLink::handleOperatorRecord(const log::KeyedRecord &record) {
  if (record.Key != Ports->ConfigurationKey) {
    if (Callbacks.OtherRecordRead)
      Callbacks.OtherRecordRead(record);
    return;
  }
  if (record.Value.empty() || !applyConfiguration(record.Value, "store"))
    return;
  CompressedRecord = base::zlibCompress(record.Value);
  Callbacks.ConfigurationChanged();
}

void PlatformLink::acceptCompressed(std::string compressed,
                                    std::string_view peer) {
  base::LastReason reason;
  auto text = base::zlibDecompress(compressed, MaximumRecordBytes, reason);
  if (!text) {
    base::log(base::LogLevel::Warning, "external configuration not read",
              {{"source", std::string(peer)}, {"reason", reason.line()}});
    return;
  }
  if (applyConfiguration(*text, peer)) {
    CompressedRecord = std::move(compressed);
    Callbacks.ConfigurationChanged();
  }
}

/// Returns whether the version changed; the caller then notifies the node.
bool PlatformLink::applyConfiguration(std::string_view text,
                                      std::string_view source) {
  auto hash = base::hash64(text);
  if (hash == TextHash)
    return false;
  TextHash = hash;
  base::LastReason reason;
  auto version = Ports->DecodeOperatorRecord(text, reason);
  auto number = version ? version->Version : 0;
  auto repaired = version ? std::move(version->Repaired) : config::Repairs();
  if (!version || !External.update(std::move(*version), reason)) {
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
  RepairCount = repaired.size();
  if (RepairCount > 0)
    base::log(base::LogLevel::Warning, "external configuration repaired",
              {{"version", std::to_string(number)},
               {"count", std::to_string(RepairCount)},
               {"repairs", summaryOf(repaired)}});
  return true;
}

} // namespace radishcross::node
