#include <LibConfig/VersionContentCodec.h>
#include <LibLog/Fold.h>
#include <LibLog/FoldCodec.h>
#include <LibLog/FoldRules.h>
#include <LibLog/FoldState.h>

#include <utility>

namespace radishcross::log {

using base::ResultCode;

Fold::Fold() : Held(std::make_unique<State>()) {}
Fold::~Fold() = default;
Fold::Fold(Fold &&) noexcept = default;
Fold &Fold::operator=(Fold &&) noexcept = default;

RecordOutcome Fold::apply(const StoredRecord &record) {
  if (record.At == Held->At + 1)
    return FoldRules(*Held).apply(record);
  RecordOutcome out;
  out.At = record.At;
  bool isOld = record.At <= Held->At;
  out.Code = isOld ? ResultCode::DuplicateRecord : ResultCode::RecordExpired;
  out.Reason = "found offset " + std::to_string(record.At) + ", expected " +
               std::to_string(Held->At + 1);
  return out;
}

Offset Fold::offset() const { return Held->At; }

uint64_t Fold::hash() const { return Held->hash(); }

std::optional<RecordOutcome> Fold::outcomeOf(std::string_view recordId) const {
  const auto *found = Held->Ledger.find(recordId);
  return found ? std::optional(*found) : std::nullopt;
}

std::optional<boost::json::value>
Fold::documentOf(std::string_view configuration, uint64_t version,
                 base::LastReason &reason) const {
  const auto *line = Held->find(configuration);
  if (!line)
    return reason.fail(ResultCode::UnknownConfiguration,
                       "no configuration is named " +
                           std::string(configuration));
  auto document = Held->documentOf(*line, version);
  if (!document)
    return reason.fail(ResultCode::UnknownVersion,
                       "configuration " + line->Name + " keeps no version " +
                           std::to_string(version));
  return document;
}

std::shared_ptr<const config::VersionContent>
Fold::contentOf(std::string_view configuration, uint64_t version,
                base::LastReason &reason) const {
  const auto *line = Held->find(configuration);
  const auto *known = line ? FoldState::find(*line, version) : nullptr;
  if (known && known->Content)
    return known->Content;
  auto document = documentOf(configuration, version, reason);
  if (!document)
    return nullptr;
  auto content = config::decodeVersionContent(*document, reason);
  if (!content)
    return nullptr;
  return std::make_shared<const config::VersionContent>(std::move(*content));
}

const std::map<std::string, Configuration, std::less<>> &
Fold::configurations() const {
  return Held->configurations();
}

const std::map<std::string, Attachment, std::less<>> &
Fold::attachments() const {
  return Held->attachments();
}

const std::deque<AuditEntry> &Fold::audit() const { return Held->audit(); }

const std::map<std::string, Offset, std::less<>> &Fold::drained() const {
  return Held->drained();
}

boost::json::value Fold::save() const { return FoldCodec::save(*Held); }

std::optional<Fold> Fold::load(const boost::json::value &document,
                               base::LastReason &reason) {
  Fold out;
  if (!FoldCodec::load(document, *out.Held, reason))
    return std::nullopt;
  return out;
}

} // namespace radishcross::log
