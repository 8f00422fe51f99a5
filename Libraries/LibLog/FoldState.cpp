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
  Line,
  Version,
  Attachment,
  Retired, ///< Keeps the numbers of those below.
  Drained,
  Audit,
};

ElementHash start(ElementKind kind) {
  return ElementHash(static_cast<uint64_t>(kind));
}

uint64_t hashOfLine(const Configuration &line) {
  return start(ElementKind::Line)
      .text(line.Name)
      .text(line.Team)
      .number(line.ChangedAt)
      .value();
}

uint64_t hashOfVersion(const Configuration &line, const Version &version) {
  return start(ElementKind::Version)
      .text(line.Name)
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
      .text(it.Chooses.text())
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
  auto it = Lines.find(configuration);
  return it == Lines.end() ? nullptr : &it->second;
}

const Version *FoldState::find(const Configuration &in, uint64_t version) {
  auto it = std::lower_bound(
      in.Versions.begin(), in.Versions.end(), version,
      [](const Version &a, uint64_t b) { return a.Number < b; });
  bool found = it != in.Versions.end() && it->Number == version;
  return found ? &*it : nullptr;
}

void FoldState::addConfiguration(std::string name, std::string team) {
  auto it = Lines.try_emplace(name).first;
  it->second.Name = std::move(name);
  it->second.Team = std::move(team);
  Elements.add(hashOfLine(it->second));
}

void FoldState::addVersion(std::string_view configuration, Version version) {
  auto &line = Lines.find(configuration)->second;
  auto pieces = config::splitDocument(version.Document);
  version.DocumentHash = config::hashOf(pieces);
  Elements.add(hashOfVersion(line, version));
  Histories[line.Name].append(version.Number, pieces);
  ++VersionsKept;
  line.Versions.push_back(std::move(version));
}

void FoldState::addVersionHashes(const Configuration &line) {
  for (const auto &it : line.Versions)
    Elements.add(hashOfVersion(line, it));
}

void FoldState::setAttachment(Attachment attachment) {
  eraseAttachment(attachment.Name);
  Elements.add(hashOfAttachment(attachment));
  auto name = attachment.Name;
  Bound.insert_or_assign(std::move(name), std::move(attachment));
}

void FoldState::eraseAttachment(std::string_view name) {
  auto it = Bound.find(name);
  if (it == Bound.end())
    return;
  Elements.remove(hashOfAttachment(it->second));
  Bound.erase(it);
}

void FoldState::touch(std::string_view configuration, Offset at) {
  auto &line = Lines.find(configuration)->second;
  Elements.remove(hashOfLine(line));
  line.ChangedAt = at;
  Elements.add(hashOfLine(line));
}

void FoldState::setDrained(const std::string &what, bool on, Offset at) {
  auto it = Stopped.find(what);
  if (it != Stopped.end()) {
    Elements.remove(hashOfDrained(what, it->second));
    Stopped.erase(it);
  }
  if (!on)
    return;
  Stopped.emplace(what, at);
  Elements.add(hashOfDrained(what, at));
}

void FoldState::addAudit(AuditEntry entry) {
  Elements.add(hashOfAudit(entry));
  Trail.push_back(std::move(entry));
  if (Trail.size() <= MaximumAuditEntries)
    return;
  Elements.remove(hashOfAudit(Trail.front()));
  Trail.pop_front();
}

const config::DocumentHistory &
FoldState::historyOf(std::string_view name) const {
  static const config::DocumentHistory empty;
  auto it = Histories.find(name);
  return it == Histories.end() ? empty : it->second;
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

void FoldState::settleVersions(std::string_view configuration) {
  auto &line = Lines.find(configuration)->second;
  dropDocuments(line);
  while (VersionsKept > MaximumVersions)
    forgetOldest();
}

void FoldState::dropDocuments(Configuration &line) {
  std::set<uint64_t> inUse;
  if (!line.Versions.empty())
    inUse.insert(line.Versions.back().Number);
  for (const auto &[name, it] : Bound)
    if (it.Configuration == line.Name)
      inUse.insert(it.Version);
  uint64_t oldestKept = historyOf(line.Name).oldest();
  for (auto &version : line.Versions) {
    if (!inUse.contains(version.Number)) {
      version.Content.reset();
      version.Document = nullptr;
      if (version.Number < oldestKept)
        Elements.remove(hashOfVersion(line, version));
      continue;
    }
    if (version.Content)
      continue;
    base::LastReason reason;
    auto document = documentOf(line, version.Number);
    auto content = document ? config::decodeVersionContent(*document, reason)
                            : std::nullopt;
    if (!content)
      continue;
    version.Document = std::move(*document);
    version.Content =
        std::make_shared<const config::VersionContent>(std::move(*content));
  }
  std::erase_if(line.Versions, [&](const Version &it) {
    return it.Number < oldestKept && !inUse.contains(it.Number);
  });
}

void FoldState::forgetOldest() {
  Configuration *oldest = nullptr;
  Offset oldestAt = 0;
  for (auto &[name, line] : Lines) {
    const auto &history = historyOf(name);
    if (history.size() < 2)
      continue;
    const auto *version = find(line, history.oldest());
    if (!version || (oldest && version->At >= oldestAt))
      continue;
    oldest = &line;
    oldestAt = version->At;
  }
  if (!oldest)
    return;
  Histories.find(oldest->Name)->second.dropOldest();
  --VersionsKept;
  dropDocuments(*oldest);
}

uint64_t FoldState::hash() const {
  return start(ElementKind::State)
      .number(At)
      .number(Elements.value())
      .number(Ledger.hash())
      .number(Chunks.hash())
      .value();
}

} // namespace radishcross::log
