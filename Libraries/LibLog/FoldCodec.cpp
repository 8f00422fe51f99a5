#include <LibConfig/VersionContentCodec.h>
#include <LibLog/BodyReader.h>
#include <LibLog/FoldCodec.h>
#include <LibLog/FoldLimits.h>
#include <LibLog/RecordId.h>

#include <algorithm>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <utility>

namespace radishcross::log {

namespace {

using base::ResultCode;
using boost::json::array;
using boost::json::object;
using boost::json::value;

constexpr uint64_t Format = 1;
constexpr size_t MaximumTextBytes = 4096;

value saveAttachment(const Attachment &it) {
  return object{{"name", it.Name},
                {"configuration", it.Configuration},
                {"version", it.Version},
                {"selector", it.NodeSelector.text()},
                {"at", it.At}};
}

value saveAudit(const AuditEntry &it) {
  return object{{"outcome", saveOutcome(it.Outcome)},
                {"kind", base::nameOf(RecordKindNames, it.Kind)},
                {"team", it.By.Team},
                {"actor", it.By.Actor},
                {"address", it.By.Address},
                {"base", it.Base},
                {"difference", it.Difference},
                {"accepted_impact", it.AcceptedImpact}};
}

/// Saves the elements of a container as an array.
template <typename Range, typename Save>
array saveEach(const Range &range, const Save &save) {
  array out;
  for (const auto &it : range)
    out.push_back(save(it));
  return out;
}

bool loadAttachment(const value &from, FoldState &state,
                    base::LastReason &reason) {
  BodyReader reader(from);
  Attachment out;
  out.Name = reader.name("name");
  out.Configuration = reader.name("configuration");
  out.Version = reader.number("version");
  auto text = reader.text("selector", MaximumTextBytes);
  out.At = reader.number("at");
  const auto *configuration = state.find(out.Configuration);
  if (!configuration || !FoldState::find(*configuration, out.Version))
    reader.fail("version", "a version that exists in the state");
  if (!reader.finish(reason))
    return false;
  auto selector = config::Selector::create(text, reason);
  if (!selector)
    return false;
  out.NodeSelector = std::move(*selector);
  state.setAttachment(std::move(out));
  return true;
}

bool loadDrained(const value &from, FoldState &state,
                 base::LastReason &reason) {
  BodyReader reader(from);
  auto what = reader.text("what", MaximumTextBytes);
  auto at = reader.number("at");
  if (!reader.finish(reason))
    return false;
  state.setDrained(what, true, at);
  return true;
}

bool loadAudit(const value &from, FoldState &state, base::LastReason &reason) {
  BodyReader reader(from);
  AuditEntry out;
  auto outcome = loadOutcome(reader.any("outcome"), reason);
  auto kind = base::fromName(RecordKindNames, reader.text("kind", 16));
  out.By.Team = reader.text("team", MaximumTextBytes);
  out.By.Actor = reader.text("actor", MaximumTextBytes);
  out.By.Address = reader.text("address", MaximumTextBytes);
  out.Base = reader.number("base");
  out.Difference = reader.any("difference");
  out.AcceptedImpact = reader.text("accepted_impact", MaximumTextBytes);
  if (!kind)
    reader.fail("kind", "a known kind of record");
  if (!reader.finish(reason) || !outcome)
    return false;
  out.Outcome = std::move(*outcome);
  out.Kind = *kind;
  state.addAudit(std::move(out));
  return true;
}

using LoadOne = bool (*)(const value &, FoldState &, base::LastReason &);

bool loadEach(const array &list, size_t maximum, LoadOne load, FoldState &state,
              base::LastReason &reason) {
  if (list.size() > maximum) {
    reason.fail(ResultCode::SnapshotMismatch,
                "a list has " + std::to_string(list.size()) +
                    " elements, expected at most " + std::to_string(maximum));
    return false;
  }
  for (const auto &it : list)
    if (!load(it, state, reason))
      return false;
  return true;
}

} // namespace

value FoldCodec::saveConfiguration(const FoldState &state,
                                   const Configuration &configuration) {
  const auto &history = state.historyOf(configuration.Name);
  array versions;
  for (const auto &it : configuration.Versions) {
    object version{{"number", it.Number}, {"at", it.At}};
    // A version in use that is no longer in the history is saved with its
    // document.
    if (it.Number < history.oldest())
      version["document"] = it.Document;
    versions.push_back(std::move(version));
  }
  return object{{"name", configuration.Name},
                {"team", configuration.Team},
                {"changed_at", configuration.ChangedAt},
                {"versions", std::move(versions)},
                {"history", history.save()}};
}

value FoldCodec::save(const FoldState &state) {
  auto valueOf = [](const auto &save) {
    return [&save](const auto &it) { return save(it.second); };
  };
  auto configuration = [&](const Configuration &it) {
    return saveConfiguration(state, it);
  };
  return object{
      {"format", Format},
      {"offset", state.At},
      {"configurations",
       saveEach(state.ConfigurationsByName, valueOf(configuration))},
      {"attachments",
       saveEach(state.AttachmentsByName, valueOf(saveAttachment))},
      {"drained",
       saveEach(state.DrainedAt,
                [](const auto &it) {
                  return object{{"what", it.first}, {"at", it.second}};
                })},
      {"audit", saveEach(state.AuditTrail, saveAudit)},
      {"outcomes", state.Ledger.save()},
      {"chunks", state.Chunks.save()}};
}

bool FoldCodec::loadVersion(const value &from, Configuration &configuration,
                            base::LastReason &reason) {
  BodyReader reader(from);
  Version out;
  out.Number = reader.number("number");
  out.At = reader.number("at");
  const auto *document = reader.optional("document");
  bool isAscending = configuration.Versions.empty() ||
                     configuration.Versions.back().Number < out.Number;
  if (!isAscending)
    reader.fail("number", "ascending numbers");
  if (!reader.finish(reason))
    return false;
  if (document) {
    if (!config::decodeVersionContent(*document, reason))
      return false;
    out.Document = *document;
    out.DocumentHash = config::hashOf(config::splitDocument(*document));
  }
  configuration.Versions.push_back(std::move(out));
  return true;
}

bool FoldCodec::loadConfiguration(const value &from, FoldState &state,
                                  base::LastReason &reason) {
  BodyReader reader(from);
  auto name = reader.name("name");
  auto team = reader.text("team", MaximumTextBytes);
  auto changedAt = reader.number("changed_at");
  const auto &versions = reader.list("versions");
  auto history = config::DocumentHistory::load(reader.any("history"));
  if (!history || history->empty())
    reader.fail("history", "a valid history");
  if (state.find(name))
    reader.fail("name", "a name not used before");
  if (!reader.finish(reason))
    return false;
  state.addConfiguration(name, team);
  state.setChangedAt(name, changedAt);
  auto &configuration = state.ConfigurationsByName.find(name)->second;
  for (const auto &it : versions)
    if (!loadVersion(it, configuration, reason))
      return false;
  // Every version is either in the history or saved with its document.
  size_t matched = 0;
  history->forEach([&](uint64_t number, const config::DocumentPieces &pieces) {
    auto version = std::find_if(
        configuration.Versions.begin(), configuration.Versions.end(),
        [number](const Version &it) { return it.Number == number; });
    if (version == configuration.Versions.end() || !version->Document.is_null())
      return;
    version->DocumentHash = config::hashOf(pieces);
    ++matched;
  });
  size_t whole = 0;
  for (const auto &it : configuration.Versions)
    whole += it.Document.is_null() ? 0 : 1;
  bool isComplete = matched == history->size() &&
                    matched + whole == configuration.Versions.size();
  auto pieces = history->find(configuration.Versions.empty()
                                  ? 0
                                  : configuration.Versions.back().Number);
  if (!isComplete || !pieces) {
    reason.fail(ResultCode::SnapshotMismatch,
                "configuration " + name +
                    ": versions and history do not match");
    return false;
  }
  auto newest = config::joinDocument(*pieces);
  if (!newest || !config::decodeVersionContent(*newest, reason)) {
    reason.fail(ResultCode::SnapshotMismatch,
                "configuration " + name + ": the newest version is invalid");
    return false;
  }
  state.VersionsKept += history->size();
  state.HistoriesByName.insert_or_assign(name, std::move(*history));
  state.addHashesOfVersions(configuration);
  return true;
}

bool FoldCodec::loadAll(const value &document, FoldState &state,
                        base::LastReason &reason) {
  BodyReader reader(document);
  if (reader.number("format") != Format)
    reader.fail("format", std::to_string(Format));
  state.At = reader.number("offset");
  const auto &configurations = reader.list("configurations");
  const auto &attachments = reader.list("attachments");
  // States saved by older releases contain entries of the retired kind.
  if (reader.optional("beacons"))
    reader.list("beacons");
  const auto &drained = reader.list("drained");
  const auto &audit = reader.list("audit");
  const auto &outcomes = reader.any("outcomes");
  const auto &chunks = reader.any("chunks");
  if (!reader.finish(reason))
    return false;
  if (!loadEach(configurations, MaximumConfigurations,
                &FoldCodec::loadConfiguration, state, reason) ||
      !loadEach(attachments, MaximumAttachments, loadAttachment, state,
                reason) ||
      !loadEach(drained, MaximumDrained, loadDrained, state, reason) ||
      !loadEach(audit, MaximumAuditEntries, loadAudit, state, reason))
    return false;
  auto ledger = OutcomeLedger::load(outcomes, reason);
  auto assembler = ChunkAssembler::load(chunks, reason);
  if (!ledger || !assembler)
    return false;
  state.Ledger = std::move(*ledger);
  state.Chunks = std::move(*assembler);
  for (const auto &[name, configuration] : state.configurations())
    state.updateVersions(name);
  return true;
}

bool FoldCodec::load(const value &document, FoldState &state,
                     base::LastReason &reason) {
  if (loadAll(document, state, reason))
    return true;
  reason.fail(ResultCode::SnapshotMismatch, reason.text());
  return false;
}

} // namespace radishcross::log
