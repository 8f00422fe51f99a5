#pragma once

#include <LibConfig/DocumentHistory.h>
#include <LibLog/Chunks.h>
#include <LibLog/Fold.h>
#include <LibLog/OutcomeLedger.h>
#include <LibLog/StateHash.h>

#include <deque>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace radishcross::log {

/// What the fold holds. Every change goes through a member function that keeps
/// the hash and the bounds; whether a change is allowed is FoldRules' matter.
class FoldState {
public:
  template <typename Value>
  using ByName = std::map<std::string, Value, std::less<>>;

  const ByName<Configuration> &configurations() const {
    return ConfigurationsByName;
  }
  const ByName<Attachment> &attachments() const { return AttachmentsByName; }
  const ByName<Offset> &drained() const { return DrainedAt; }
  const std::deque<AuditEntry> &audit() const { return AuditTrail; }

  /// Returns the configuration of this name, or null.
  const Configuration *find(std::string_view configuration) const;

  /// Returns the version's entry, or null.
  static const Version *find(const Configuration &in, uint64_t version);

  /// Adds a configuration without versions.
  void addConfiguration(std::string name, std::string team);

  /// Adds the next version of a configuration that exists.
  void addVersion(std::string_view configuration, Version version);

  /// Sets or replaces the attachment of that name.
  void setAttachment(Attachment attachment);
  void eraseAttachment(std::string_view name);

  /// Notes that a record about \p configuration was accepted at \p at.
  void setChangedAt(std::string_view configuration, Offset at);

  void setDrained(const std::string &what, bool on, Offset at);

  void addAudit(AuditEntry entry);

  /// Drops what versions not in use need not hold, makes available what
  /// attached ones do, and forgets the oldest beyond the bound.
  void updateVersions(std::string_view configuration);

  /// Returns the document of a version in use or in the history, or nothing.
  std::optional<boost::json::value>
  documentOf(const Configuration &configuration, uint64_t version) const;

  const config::DocumentHistory &historyOf(std::string_view name) const;

  uint64_t hash() const;

  Offset At = 0;
  OutcomeLedger Ledger;
  ChunkAssembler Chunks;

private:
  friend class FoldCodec;

  void addHashesOfVersions(const Configuration &configuration);
  void dropOldestVersion();
  void updateDocuments(Configuration &configuration);

  ByName<Configuration> ConfigurationsByName;
  ByName<config::DocumentHistory> HistoriesByName;
  ByName<Attachment> AttachmentsByName;
  ByName<Offset> DrainedAt;
  std::deque<AuditEntry> AuditTrail;
  StateHash ElementHashes;
  size_t VersionsKept = 0; ///< In all histories.
};

struct Fold::State : FoldState {};

} // namespace radishcross::log
