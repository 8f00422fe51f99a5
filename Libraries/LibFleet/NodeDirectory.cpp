#include <LibFleet/NodeDirectory.h>

#include <LibBase/Hash.h>
#include <LibBase/Logger.h>

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace radishcross::fleet {

namespace json = boost::json;

std::string encodeDirectoryEntry(const DirectoryEntry &entry) {
  return json::serialize(json::object{{"incarnation", entry.Incarnation},
                                      {"gossip", entry.Gossip.text()}});
}

std::optional<DirectoryEntry> decodeDirectoryEntry(std::string_view id,
                                                   std::string_view text,
                                                   base::LastReason &reason) {
  boost::system::error_code ec;
  json::value document = json::parse(text, ec);
  const auto *object = ec ? nullptr : document.if_object();
  const auto *incarnation =
      object ? object->if_contains("incarnation") : nullptr;
  const auto *gossip = object ? object->if_contains("gossip") : nullptr;
  if (!incarnation || !gossip || !incarnation->is_number() ||
      !gossip->is_string())
    return reason.fail(base::ResultCode::RecordMalformed,
                       "the directory's entry cannot be read");
  auto number = incarnation->to_number<uint64_t>(ec);
  auto address = base::parseRemoteAddress(gossip->get_string(), reason);
  if (ec || !address)
    return reason.fail(base::ResultCode::RecordMalformed,
                       "the directory's entry has a bad number or address");
  return DirectoryEntry{NodeId(id), number, *address};
}

std::optional<base::Address>
NodeDirectory::applyRecord(const log::KeyedRecord &record) {
  if (record.Value.empty()) {
    Entries.erase(record.Key);
    if (record.Key == Self.Id)
      IsWritten = false;
    return std::nullopt;
  }
  base::LastReason reason;
  auto entry = decodeDirectoryEntry(record.Key, record.Value, reason);
  if (!entry)
    report(record, reason);
  if (record.Key == Self.Id)
    IsWritten = entry && entry->Gossip == Self.Gossip;
  if (!entry || record.Key == Self.Id)
    return std::nullopt;
  auto &known = Entries[record.Key];
  bool isNews =
      known.Gossip != entry->Gossip || known.Incarnation != entry->Incarnation;
  known = *entry;
  return isNews ? std::optional(known.Gossip) : std::nullopt;
}

void NodeDirectory::report(const log::KeyedRecord &record,
                           const base::LastReason &reason) {
  auto hash = base::hash64(record.Key + '\0' + record.Value);
  if (Reported.size() == MaximumReported || !Reported.insert(hash).second)
    return;
  base::log(base::LogLevel::Warning, "directory entry ignored",
            {{"key", record.Key}, {"reason", reason.text()}});
}

std::optional<NodeId> NodeDirectory::entryToDrop(const std::set<NodeId> &live,
                                                 bool isFirst,
                                                 base::TimePoint now) {
  std::optional<NodeId> out;
  std::erase_if(AbsentSince,
                [&](const auto &it) { return !Entries.contains(it.first); });
  for (const auto &[id, entry] : Entries) {
    if (live.contains(id)) {
      AbsentSince.erase(id);
      continue;
    }
    auto since = AbsentSince.try_emplace(id, now).first->second;
    if (isFirst && !out && now - since >= DepartedRetention)
      out = id;
  }
  return out;
}

} // namespace radishcross::fleet
