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

/// Result of applying one record to the fold.
struct RecordOutcome {
  std::string RecordId;
  Offset At = 0;
  base::ResultCode Code = base::ResultCode::Ok;
  std::string Reason;
  std::string Configuration;
  uint64_t Version = 0; ///< The version that was created or attached.
  Offset WinnerAt = 0;  ///< For StaleBase: offset of the accepted record.
};

/// One entry of the audit trail.
struct AuditEntry {
  RecordOutcome Outcome;
  RecordKind Kind = RecordKind::Publish;
  Author By;
  uint64_t Base = 0;             ///< The version that the change is based on.
  boost::json::value Difference; ///< Structural difference from the base.
  std::string AcceptedImpact;    ///< Reason given for an accepted impact.
};

/// One immutable version of a configuration. Content and Document are set only
/// for the newest version and for attached ones; Fold::documentOf() and
/// Fold::contentOf() return them for every version that is kept.
struct Version {
  uint64_t Number = 0;
  Offset At = 0;
  std::shared_ptr<const config::VersionContent> Content;
  boost::json::value Document;
  uint64_t DocumentHash = 0;
};

/// Assigns a version to the nodes that match a selector.
struct Attachment {
  std::string Name;
  std::string Configuration;
  uint64_t Version = 0;
  config::Selector NodeSelector;
  Offset At = 0;
};

/// A named sequence of versions, owned by a team.
struct Configuration {
  std::string Name;
  std::string Team;
  std::vector<Version> Versions; ///< Ascending; old ones may be dropped.
  Offset ChangedAt = 0;          ///< Offset of the last accepted record.
};

/// The state that every node derives from the log. It is a pure function of the
/// records, so two nodes at the same offset have the same state.
class Fold {
public:
  Fold();
  ~Fold();
  Fold(Fold &&) noexcept;
  Fold &operator=(Fold &&) noexcept;

  /// Applies the record at the next offset. A record that is malformed or
  /// violates a rule changes only the offset and the outcomes. A record at or
  /// below offset() is ignored with DuplicateRecord. A record that would leave
  /// a gap is ignored with RecordExpired: the state in between has to be loaded
  /// from a snapshot.
  RecordOutcome apply(const StoredRecord &record);

  /// Returns the offset of the last applied record; 0 before the first.
  Offset offset() const;

  /// Returns a hash of the state; equal on all nodes at the same offset.
  uint64_t hash() const;

  /// Returns the outcome of the record with this id, if it is still kept.
  std::optional<RecordOutcome> outcomeOf(std::string_view recordId) const;

  /// Return the document and the content of a version, whether it is in use or
  /// only kept in the history. Fail with UnknownConfiguration or
  /// UnknownVersion.
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

  /// Returns the drained VMs ("vm:ID") and services
  /// ("service:configuration/name") with the offset of the record that drained
  /// them.
  const std::map<std::string, Offset, std::less<>> &drained() const;

  /// Serialises the state as one JSON document and restores a fold from one.
  /// Two folds with equal documents give equal results for all later records.
  /// load() fails with SnapshotMismatch.
  boost::json::value save() const;
  static std::optional<Fold> load(const boost::json::value &document,
                                  base::LastReason &reason);

private:
  struct State;
  std::unique_ptr<State> Impl;
};

} // namespace radishcross::log
