#include <LibConfig/VersionContentCodec.h>
#include <LibLog/FoldLimits.h>
#include <LibLog/FoldState.h>
#include <LibSchema/StrictJson.h>

#include <algorithm>
#include <iterator>
#include <set>
#include <utility>

namespace radishcross::log {

namespace {

enum class ElementKind : uint64_t {
  State = 10,
  Configuration,
  Version,
  Attachment,
  Retired, ///< Unused; reserves its number.
  Drained,
  Audit,
};

ElementHash start(ElementKind kind) {
  return ElementHash(static_cast<uint64_t>(kind));
}

uint64_t hashOfConfiguration(const Configuration &entry) {
  return start(ElementKind::Configuration)
      .text(entry.Name)
      .text(entry.Team)
      .number(entry.ChangedAt)
      .value();
}

uint64_t hashOfVersion(const Configuration &entry, const Version &version) {
  return start(ElementKind::Version)
      .text(entry.Name)
      .number(version.Number)
      .number(version.At)
      .number(version.DocumentHash)
      .value();
}

uint64_t hashOfAttachment(const Attachment &it) {
  return start(ElementKind::Attachment)
      .text(it.Name)
      .text(it.Configuration)
      .number(it.Version)
      .text(it.NodeSelector.text())
      .number(it.At)
      .value();
}

uint64_t hashOfDrained(std::string_view what, Offset at) {
  return start(ElementKind::Drained).text(what).number(at).value();
}

uint64_t hashOfAudit(const AuditEntry &it) {
  return start(ElementKind::Audit)
      .number(hashOf(it.Outcome))
      .number(static_cast<uint64_t>(it.Kind))
      .text(it.By.Team)
      .text(it.By.Actor)
      .text(it.By.Address)
      .number(it.Base)
      .text(schema::canonicalJson(it.Difference))
      .text(it.AcceptedImpact)
      .value();
}

} // namespace

const Configuration *FoldState::find(std::string_view configuration) const {
  auto it = ConfigurationsByName.find(configuration);
  return it == ConfigurationsByName.end() ? nullptr : &it->second;
}

const Version *FoldState::find(const Configuration &in, uint64_t version) {
  auto it = std::lower_bound(
      in.Versions.begin(), in.Versions.end(), version,
      [](const Version &a, uint64_t b) { return a.Number < b; });
  bool found = it != in.Versions.end() && it->Number == version;
  return found ? &*it : nullptr;
}

void FoldState::addConfiguration(std::string name, std::string team) {
  auto it = ConfigurationsByName.try_emplace(name).first;
  it->second.Name = std::move(name);
  it->second.Team = std::move(team);
  ElementHashes.add(hashOfConfiguration(it->second));
}

void FoldState::addVersion(std::string_view configuration, Version version) {
  auto &entry = ConfigurationsByName.find(configuration)->second;
  auto pieces = config::splitDocument(version.Document);
  version.DocumentHash = config::hashOf(pieces);
  ElementHashes.add(hashOfVersion(entry, version));
  HistoriesByName[entry.Name].append(version.Number, pieces);
  ++VersionsKept;
  entry.Versions.push_back(std::move(version));
}

void FoldState::addHashesOfVersions(const Configuration &entry) {
  for (const auto &it : entry.Versions)
    ElementHashes.add(hashOfVersion(entry, it));
}

void FoldState::setAttachment(Attachment attachment) {
  eraseAttachment(attachment.Name);
  ElementHashes.add(hashOfAttachment(attachment));
  auto name = attachment.Name;
  AttachmentsByName.insert_or_assign(std::move(name), std::move(attachment));
}

void FoldState::eraseAttachment(std::string_view name) {
  auto it = AttachmentsByName.find(name);
  if (it == AttachmentsByName.end())
    return;
  ElementHashes.remove(hashOfAttachment(it->second));
  AttachmentsByName.erase(it);
}

void FoldState::setChangedAt(std::string_view configuration, Offset at) {
  auto &entry = ConfigurationsByName.find(configuration)->second;
  ElementHashes.remove(hashOfConfiguration(entry));
  entry.ChangedAt = at;
  ElementHashes.add(hashOfConfiguration(entry));
}

void FoldState::setDrained(const std::string &what, bool on, Offset at) {
  auto it = DrainedAt.find(what);
  if (it != DrainedAt.end()) {
    ElementHashes.remove(hashOfDrained(what, it->second));
    DrainedAt.erase(it);
  }
  if (!on)
    return;
  DrainedAt.emplace(what, at);
  ElementHashes.add(hashOfDrained(what, at));
}

void FoldState::addAudit(AuditEntry entry) {
  ElementHashes.add(hashOfAudit(entry));
  AuditTrail.push_back(std::move(entry));
  if (AuditTrail.size() <= MaximumAuditEntries)
    return;
  ElementHashes.remove(hashOfAudit(AuditTrail.front()));
  AuditTrail.pop_front();
}

const config::DocumentHistory &
FoldState::historyOf(std::string_view name) const {
  static const config::DocumentHistory empty;
  auto it = HistoriesByName.find(name);
  return it == HistoriesByName.end() ? empty : it->second;
}

std::optional<boost::json::value>
FoldState::documentOf(const Configuration &configuration,
                      uint64_t version) const {
  const auto *found = find(configuration, version);
  if (found && !found->Document.is_null())
    return found->Document;
  auto pieces = historyOf(configuration.Name).find(version);
  if (!pieces)
    return std::nullopt;
  return config::joinDocument(*pieces);
}

void FoldState::updateVersions(std::string_view configuration) {
  auto &entry = ConfigurationsByName.find(configuration)->second;
  updateDocuments(entry);
  while (VersionsKept > MaximumVersions)
    dropOldestVersion();
}

void FoldState::updateDocuments(Configuration &entry) {
  std::set<uint64_t> inUse;
  if (!entry.Versions.empty())
    inUse.insert(entry.Versions.back().Number);
  for (const auto &[name, it] : AttachmentsByName)
    if (it.Configuration == entry.Name)
      inUse.insert(it.Version);
  uint64_t oldestKept = historyOf(entry.Name).oldest();
  for (auto &version : entry.Versions) {
    if (!inUse.contains(version.Number)) {
      version.Content.reset();
      version.Document = nullptr;
      if (version.Number < oldestKept)
        ElementHashes.remove(hashOfVersion(entry, version));
      continue;
    }
    if (version.Content)
      continue;
    base::LastReason reason;
    auto document = documentOf(entry, version.Number);
    auto content = document ? config::decodeVersionContent(*document, reason)
                            : std::nullopt;
    if (!content)
      continue;
    version.Document = std::move(*document);
    version.Content =
        std::make_shared<const config::VersionContent>(std::move(*content));
  }
  std::erase_if(entry.Versions, [&](const Version &it) {
    return it.Number < oldestKept && !inUse.contains(it.Number);
  });
}

void FoldState::dropOldestVersion() {
  Configuration *oldest = nullptr;
  Offset oldestAt = 0;
  for (auto &[name, entry] : ConfigurationsByName) {
    const auto &history = historyOf(name);
    if (history.size() < 2)
      continue;
    const auto *version = find(entry, history.oldest());
    if (!version || (oldest && version->At >= oldestAt))
      continue;
    oldest = &entry;
    oldestAt = version->At;
  }
  if (!oldest)
    return;
  HistoriesByName.find(oldest->Name)->second.dropOldest();
  --VersionsKept;
  updateDocuments(*oldest);
}

uint64_t FoldState::hash() const {
  return start(ElementKind::State)
      .number(At)
      .number(ElementHashes.value())
      .number(Ledger.hash())
      .number(Chunks.hash())
      .value();
}

} // namespace radishcross::log
