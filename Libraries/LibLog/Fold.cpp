#include <LibConfig/VersionContentCodec.h>
#include <LibLog/Fold.h>
#include <LibLog/FoldCodec.h>
#include <LibLog/FoldRules.h>
#include <LibLog/FoldState.h>

#include <utility>

namespace radishcross::log {

using base::ResultCode;

Fold::Fold() : Impl(std::make_unique<State>()) {}
Fold::~Fold() = default;
Fold::Fold(Fold &&) noexcept = default;
Fold &Fold::operator=(Fold &&) noexcept = default;

RecordOutcome Fold::apply(const StoredRecord &record) {
  if (record.At == Impl->At + 1)
    return FoldRules(*Impl).apply(record);
  RecordOutcome out;
  out.At = record.At;
  bool isOld = record.At <= Impl->At;
  out.Code = isOld ? ResultCode::DuplicateRecord : ResultCode::RecordExpired;
  out.Reason = "found offset " + std::to_string(record.At) + ", expected " +
               std::to_string(Impl->At + 1);
  return out;
}

Offset Fold::offset() const { return Impl->At; }

uint64_t Fold::hash() const { return Impl->hash(); }

std::optional<RecordOutcome> Fold::outcomeOf(std::string_view recordId) const {
  const auto *found = Impl->Ledger.find(recordId);
  return found ? std::optional(*found) : std::nullopt;
}

std::optional<boost::json::value>
Fold::documentOf(std::string_view configuration, uint64_t version,
                 base::LastReason &reason) const {
  const auto *entry = Impl->find(configuration);
  if (!entry)
    return reason.fail(ResultCode::UnknownConfiguration,
                       "no configuration is named " +
                           std::string(configuration));
  auto document = Impl->documentOf(*entry, version);
  if (!document)
    return reason.fail(ResultCode::UnknownVersion,
                       "configuration " + entry->Name + " keeps no version " +
                           std::to_string(version));
  return document;
}

std::shared_ptr<const config::VersionContent>
Fold::contentOf(std::string_view configuration, uint64_t version,
                base::LastReason &reason) const {
  const auto *entry = Impl->find(configuration);
  const auto *known = entry ? FoldState::find(*entry, version) : nullptr;
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
  return Impl->configurations();
}

const std::map<std::string, Attachment, std::less<>> &
Fold::attachments() const {
  return Impl->attachments();
}

const std::deque<AuditEntry> &Fold::audit() const { return Impl->audit(); }

const std::map<std::string, Offset, std::less<>> &Fold::drained() const {
  return Impl->drained();
}

boost::json::value Fold::save() const { return FoldCodec::save(*Impl); }

std::optional<Fold> Fold::load(const boost::json::value &document,
                               base::LastReason &reason) {
  Fold out;
  if (!FoldCodec::load(document, *out.Impl, reason))
    return std::nullopt;
  return out;
}

} // namespace radishcross::log
