#pragma once

#include <LibBase/LastReason.h>
#include <LibConfig/Labels.h>
#include <LibConfig/Selector.h>
#include <LibConfig/Snapshot.h>
#include <LibLog/Record.h>

#include <boost/json/value.hpp>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace radishcross::log {

/// What the fold decided about one record.
struct RecordOutcome {
  std::string RecordId;
  Offset At = 0;
  base::ResultCode Code = base::ResultCode::Ok;
  std::string Reason;
  std::string Configuration;
  uint64_t Version = 0; ///< The version that was made or attached.
  Offset WinnerAt = 0;  ///< For StaleBase: the record that won.
};

/// One line of the audit trail.
struct AuditEntry {
  RecordOutcome Outcome;
  RecordKind Kind = RecordKind::Publish;
  Author By;
  uint64_t Base = 0;             ///< The version it was made from.
  boost::json::value Difference; ///< Structural difference to the base.
  std::string AcceptedImpact;    ///< Reason given for an accepted impact.
};

/// One immutable version. Content and Document are there for the newest version
/// of a configuration and for attached ones; Fold::documentOf() and
/// Fold::contentOf() give those of any version kept.
struct Version {
  uint64_t Number = 0;
  Offset At = 0;
  std::shared_ptr<const config::VersionContent> Content;
  boost::json::value Document;
  uint64_t DocumentHash = 0;
};

/// Binds a version to the nodes that a selector chooses.
struct Attachment {
  std::string Name;
  std::string Configuration;
  uint64_t Version = 0;
  config::Selector NodeSelector;
  Offset At = 0;
};

/// A named line of versions, owned by a team.
struct Configuration {
  std::string Name;
  std::string Team;
  std::vector<Version> Versions; ///< Ascending; old ones may be dropped.
  Offset ChangedAt = 0;          ///< The last record accepted for it.
};

/// The state that all nodes derive from the log: a pure function of its
/// records, so equal offsets mean equal states on every node.
class Fold {
public:
  Fold();
  ~Fold();
  Fold(Fold &&) noexcept;
  Fold &operator=(Fold &&) noexcept;

  /// Applies the record at the next offset. A record that is malformed or
  /// breaks a rule changes nothing but the offset and the outcomes. An offset
  /// at or below offset() is ignored and gives DuplicateRecord. One that leaves
  /// a gap is ignored too and gives RecordExpired: what lies between has to
  /// come from a snapshot.
  RecordOutcome apply(const StoredRecord &record);

  /// Returns the offset of the last record applied.
  Offset offset() const;

  /// Returns a hash of the state; equal on all nodes at one offset.
  uint64_t hash() const;

  /// Returns the outcome of the record with this id, when it is still kept.
  std::optional<RecordOutcome> outcomeOf(std::string_view recordId) const;

  /// Returns the document or the content of a version, whether it is in use or
  /// only in the history. Fails with UnknownConfiguration or UnknownVersion.
  std::optional<boost::json::value> documentOf(std::string_view configuration,
                                               uint64_t version,
                                               base::LastReason &reason) const;
  std::shared_ptr<const config::VersionContent>
  contentOf(std::string_view configuration, uint64_t version,
            base::LastReason &reason) const;

  const std::map<std::string, Configuration, std::less<>> &
  configurations() const;
  const std::map<std::string, Attachment, std::less<>> &attachments() const;
  const std::deque<AuditEntry> &audit() const;

  /// Returns what is drained: names of VMs ("vm:ID") and services
  /// ("service:configuration/name").
  const std::map<std::string, Offset, std::less<>> &drained() const;

  /// Returns the state as one JSON document, and the fold of such a document.
  /// Two folds with equal documents behave alike ever after.
  boost::json::value save() const;
  static std::optional<Fold> load(const boost::json::value &document,
                                  base::LastReason &reason);

private:
  struct State;
  std::unique_ptr<State> Impl;
};

} // namespace radishcross::log
