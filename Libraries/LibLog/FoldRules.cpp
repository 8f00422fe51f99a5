#include <LibConfig/Difference.h>
#include <LibConfig/VersionContentCodec.h>
#include <LibLog/FoldLimits.h>
#include <LibLog/FoldRules.h>
#include <LibLog/RecordBodies.h>

#include <algorithm>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <utility>

namespace radishcross::log {

namespace {

using base::ResultCode;
using boost::json::object;

/// Truncates a reason to MaximumReasonBytes without splitting a UTF-8
/// character.
std::string cutReason(std::string text) {
  if (text.size() <= MaximumReasonBytes)
    return text;
  size_t end = MaximumReasonBytes;
  while (end > 0 && (static_cast<unsigned char>(text[end]) & 0xC0U) == 0x80U)
    --end;
  text.resize(end);
  return text;
}

/// Describes the change of an attachment for the audit trail.
object attachmentDifference(const Attachment *older, const Attachment *newer) {
  object out{{"attachment", newer ? newer->Name : older->Name}};
  out["version"] = boost::json::array{older ? older->Version : 0,
                                      newer ? newer->Version : 0};
  boost::json::array selectors{nullptr, nullptr};
  if (older)
    selectors[0] = older->NodeSelector.text();
  if (newer)
    selectors[1] = newer->NodeSelector.text();
  out["selector"] = std::move(selectors);
  return out;
}

const Attachment *findAttachment(const FoldState &state,
                                 std::string_view name) {
  auto it = state.attachments().find(name);
  return it == state.attachments().end() ? nullptr : &it->second;
}

} // namespace

/// Rule for one kind of record. Changes are recorded by id and in the audit
/// trail; records of the other kinds may be repeated without effect.
struct FoldRules::RuleRow {
  RecordKind Kind;
  Rule Decide;
  bool IsChange;
};

const FoldRules::RuleRow FoldRules::Rules[] = {
    {RecordKind::Publish, &FoldRules::publish, true},
    {RecordKind::Attach, &FoldRules::attach, true},
    {RecordKind::Detach, &FoldRules::detach, true},
    {RecordKind::Drain, &FoldRules::drain, true},
    {RecordKind::Retired, &FoldRules::acceptUnchanged, false},
    {RecordKind::Snapshot, &FoldRules::snapshot, false},
};

RecordOutcome FoldRules::apply(const StoredRecord &stored) {
  State.At = stored.At;
  expireChunks(stored.At);
  base::LastReason reason;
  auto record = decodeRecord(stored.Bytes, reason);
  if (!record) {
    RecordOutcome out;
    out.At = stored.At;
    out.Code = reason.code();
    out.Reason = cutReason(reason.text());
    return out;
  }
  return record->Kind == RecordKind::Chunk ? decideChunk(*record, stored.At)
                                           : decide(*record, stored.At);
}

void FoldRules::expireChunks(Offset at) {
  for (auto &id : State.Chunks.expire(at)) {
    if (State.Ledger.find(id))
      continue;
    RecordOutcome out;
    out.RecordId = std::move(id);
    out.At = at;
    out.Code = ResultCode::ChunksIncomplete;
    out.Reason = "not all chunks arrived within " +
                 std::to_string(ChunkLifetimeOffsets) + " records";
    State.Ledger.add(std::move(out));
  }
}

RecordOutcome FoldRules::decideChunk(const Record &chunk, Offset at) {
  RecordOutcome out;
  out.RecordId = chunk.Id;
  out.At = at;
  base::LastReason reason;
  auto body = decodeChunk(chunk.Body, reason);
  if (!body) {
    out.Code = reason.code();
    out.Reason = cutReason(reason.text());
    return out;
  }
  if (const auto *known = State.Ledger.find(body->Of)) {
    out.Code = ResultCode::DuplicateRecord;
    out.Reason = "decided at offset " + std::to_string(known->At);
    return out;
  }
  auto result = State.Chunks.take(*body, at);
  if (result.What == ChunkAssembler::Result::Kind::Waiting)
    return out;
  if (result.What == ChunkAssembler::Result::Kind::Refused) {
    out.Code = ResultCode::RecordMalformed;
    out.Reason = result.Reason;
    return out;
  }
  auto whole = decodeRecord(result.Bytes, MaximumAssembledBytes, reason);
  bool isValid =
      whole && whole->Id == body->Of && whole->Kind != RecordKind::Chunk;
  if (isValid)
    return decide(*whole, at);
  out.RecordId = body->Of;
  out.Code = ResultCode::RecordMalformed;
  out.Reason = cutReason(whole ? "the chunks' id or kind does not match"
                               : reason.text());
  State.Ledger.add(out);
  return out;
}

RecordOutcome FoldRules::decide(const Record &record, Offset at) {
  RecordOutcome out;
  out.RecordId = record.Id;
  out.At = at;
  const auto *row =
      std::find_if(std::begin(Rules), std::end(Rules),
                   [&](const RuleRow &it) { return it.Kind == record.Kind; });
  if (const auto *known =
          row->IsChange ? State.Ledger.find(record.Id) : nullptr) {
    out.Code = ResultCode::DuplicateRecord;
    out.Reason = "decided at offset " + std::to_string(known->At);
    out.Configuration = known->Configuration;
    out.Version = known->Version;
    return out;
  }
  AuditEntry audit;
  audit.Kind = record.Kind;
  audit.By = record.By;
  base::LastReason reason;
  Decision decision{record, out, audit, reason};
  if (!(this->*row->Decide)(decision)) {
    out.Code = reason.code();
    out.Reason = cutReason(reason.text());
  }
  if (!row->IsChange)
    return out;
  State.Ledger.add(out);
  audit.Outcome = out;
  State.addAudit(std::move(audit));
  return out;
}

bool FoldRules::refuse(Decision &decision, ResultCode code, std::string text) {
  decision.Reason.fail(code, std::move(text));
  return false;
}

bool FoldRules::checkOwner(Decision &decision,
                           const Configuration &configuration) {
  const auto &team = decision.Source.By.Team;
  if (configuration.Team == team)
    return true;
  return refuse(decision, ResultCode::WrongTeam,
                "configuration " + configuration.Name + " belongs to team " +
                    configuration.Team + ", not to " + team);
}

bool FoldRules::checkAttachment(Decision &decision,
                                const std::string &attachment,
                                const std::string &configuration) {
  const auto *known = findAttachment(State, attachment);
  if (known && known->Configuration != configuration)
    return refuse(decision, ResultCode::DuplicateName,
                  "attachment " + attachment + " is of configuration " +
                      known->Configuration);
  if (!known && State.attachments().size() >= MaximumAttachments)
    return refuse(decision, ResultCode::BadValue,
                  "there are " + std::to_string(MaximumAttachments) +
                      " attachments, the most there may be");
  return true;
}

bool FoldRules::publish(Decision &decision) {
  auto body = decodePublish(decision.Source.Body, decision.Reason);
  if (!body)
    return false;
  auto &outcome = decision.Outcome;
  auto &audit = decision.Audit;
  outcome.Configuration = body->Configuration;
  audit.Base = body->Base;
  audit.AcceptedImpact = body->AcceptedImpact;
  if (decision.Source.By.Team.empty())
    return refuse(decision, ResultCode::WrongTeam, "the author has no team");
  const auto *configuration = State.find(body->Configuration);
  if (configuration && !checkOwner(decision, *configuration))
    return false;
  if (!configuration && State.configurations().size() >= MaximumConfigurations)
    return refuse(decision, ResultCode::BadValue,
                  "there are " + std::to_string(MaximumConfigurations) +
                      " configurations, the most there may be");
  const auto *newest =
      configuration ? &configuration->Versions.back() : nullptr;
  uint64_t number = newest ? newest->Number : 0;
  boost::json::value before = newest ? newest->Document : nullptr;
  if (body->Base > number)
    return refuse(decision, ResultCode::UnknownVersion,
                  "base " + std::to_string(body->Base) +
                      " does not exist; the newest version is " +
                      std::to_string(number));
  auto content = config::decodeVersionContent(body->Content, decision.Reason);
  if (!content)
    return false;
  audit.Difference =
      config::difference(before, body->Content, MaximumDifferenceBytes);
  if (body->Base < number) {
    outcome.WinnerAt = newest->At;
    return refuse(decision, ResultCode::StaleBase,
                  "base " + std::to_string(body->Base) + " is stale: version " +
                      std::to_string(number) + " was accepted at offset " +
                      std::to_string(newest->At));
  }
  for (const auto &it : body->Attach)
    if (!checkAttachment(decision, it.Name, body->Configuration))
      return false;

  if (!configuration)
    State.addConfiguration(body->Configuration, decision.Source.By.Team);
  outcome.Version = number + 1;
  State.addVersion(
      body->Configuration,
      {outcome.Version, outcome.At,
       std::make_shared<const config::VersionContent>(std::move(*content)),
       std::move(body->Content), 0});
  for (auto &it : body->Attach)
    State.setAttachment({std::move(it.Name), body->Configuration,
                         outcome.Version, std::move(it.NodeSelector),
                         outcome.At});
  State.setChangedAt(body->Configuration, outcome.At);
  State.updateVersions(body->Configuration);
  return true;
}

bool FoldRules::attach(Decision &decision) {
  auto body = decodeAttach(decision.Source.Body, decision.Reason);
  if (!body)
    return false;
  auto &outcome = decision.Outcome;
  outcome.Configuration = body->Configuration;
  outcome.Version = body->Version;
  const auto *configuration = State.find(body->Configuration);
  if (!configuration)
    return refuse(decision, ResultCode::UnknownConfiguration,
                  "no configuration is named " + body->Configuration);
  if (!checkOwner(decision, *configuration) ||
      !checkAttachment(decision, body->Name, body->Configuration))
    return false;
  if (!FoldState::find(*configuration, body->Version))
    return refuse(decision, ResultCode::UnknownVersion,
                  "configuration " + body->Configuration +
                      " keeps no version " + std::to_string(body->Version));
  Attachment made{body->Name, body->Configuration, body->Version,
                  std::move(body->NodeSelector), outcome.At};
  decision.Audit.Difference =
      attachmentDifference(findAttachment(State, body->Name), &made);
  State.setAttachment(std::move(made));
  State.setChangedAt(body->Configuration, outcome.At);
  State.updateVersions(body->Configuration);
  return true;
}

bool FoldRules::detach(Decision &decision) {
  auto body = decodeDetach(decision.Source.Body, decision.Reason);
  if (!body)
    return false;
  const auto *known = findAttachment(State, body->Name);
  if (!known)
    return refuse(decision, ResultCode::NotFound,
                  "no attachment is named " + body->Name);
  auto &outcome = decision.Outcome;
  outcome.Configuration = known->Configuration;
  outcome.Version = known->Version;
  if (!checkOwner(decision, *State.find(known->Configuration)))
    return false;
  decision.Audit.Difference = attachmentDifference(known, nullptr);
  State.eraseAttachment(body->Name);
  State.setChangedAt(outcome.Configuration, outcome.At);
  State.updateVersions(outcome.Configuration);
  return true;
}

bool FoldRules::drain(Decision &decision) {
  auto body = decodeDrain(decision.Source.Body, decision.Reason);
  if (!body)
    return false;
  constexpr std::string_view ServicePrefix = "service:";
  if (body->What.starts_with(ServicePrefix)) {
    auto reference = body->What.substr(ServicePrefix.size());
    auto name = reference.substr(0, reference.find('/'));
    decision.Outcome.Configuration = name;
    const auto *configuration = State.find(name);
    if (!configuration)
      return refuse(decision, ResultCode::UnknownConfiguration,
                    "no configuration is named " + name);
    if (!checkOwner(decision, *configuration))
      return false;
  }
  bool isKnown = State.drained().contains(body->What);
  if (body->On && !isKnown && State.drained().size() >= MaximumDrained)
    return refuse(decision, ResultCode::BadValue,
                  "there are " + std::to_string(MaximumDrained) +
                      " drained things, the most there may be");
  decision.Audit.Difference =
      object{{"what", body->What}, {"on", {isKnown, body->On}}};
  State.setDrained(body->What, body->On, decision.Outcome.At);
  return true;
}

bool FoldRules::acceptUnchanged(Decision &) { return true; }

bool FoldRules::snapshot(Decision &decision) {
  return decodeSnapshot(decision.Source.Body, decision.Reason).has_value();
}

} // namespace radishcross::log
