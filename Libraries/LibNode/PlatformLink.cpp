#include <LibNode/PlatformLink.h>

#include <LibBase/Logger.h>

#include <chrono>
#include <set>
#include <utility>

namespace radishcross::node {

namespace {

/// The least time between two writes of a node's entry.
constexpr base::Duration WriteSpacing = std::chrono::seconds(2);

/// How often it is looked for entries of nodes that are gone.
constexpr base::Duration DropLookSpacing = std::chrono::seconds(10);

} // namespace

PlatformLink::PlatformLink(boost::asio::io_context &context,
                           log::KeyedStore &store, const PlatformPorts &ports,
                           fleet::DirectoryEntry self, Events events)
    : Context(&context), Store(&store), Ports(&ports),
      Directory(std::move(self)), OnEvent(std::move(events)) {}

void PlatformLink::start(bool hasConfiguration, uint64_t seed) {
  fleet::TopicFollowerSettings listing;
  listing.ListsOnly = true;
  Nodes = TopicReader::start(
      *Context, *Store, log::Topic::Nodes, seed,
      [this](const log::KeyedRecord &it) { directoryRecord(it); }, listing);
  if (!hasConfiguration)
    return;
  Operator = TopicReader::start(
      *Context, *Store, log::Topic::Operator, seed + 1,
      [this](const log::KeyedRecord &it) { operatorRecord(it); });
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
  if (Directory.mustWrite() && Nodes->hasListed() && now >= NextWrite) {
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
  if (auto gone = Directory.toDrop(live, now)) {
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
  if (record.Key == Ports->ConfigurationKey && !record.Value.empty())
    takeConfiguration(record.Value, "store");
}

void PlatformLink::takeConfiguration(std::string_view text,
                                     std::string_view source) {
  if (text == ExternalText)
    return;
  base::LastReason reason;
  auto version = Ports->DecodeOperatorRecord(text, reason);
  auto number = version ? version->Version : 0;
  if (!version || !External.take(std::move(*version), reason)) {
    base::log(base::LogLevel::Info, "external configuration passed over",
              {{"version", std::to_string(number)},
               {"held", std::to_string(External.version())},
               {"source", std::string(source)},
               {"reason", reason.line()}});
    return;
  }
  ExternalText = text;
  base::log(
      base::LogLevel::Info, "external configuration taken",
      {{"version", std::to_string(number)}, {"source", std::string(source)}});
  OnEvent.ConfigurationChanged();
}

} // namespace radishcross::node
