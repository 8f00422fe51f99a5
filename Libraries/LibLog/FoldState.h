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

/// Data of the fold. Every change goes through a member function that updates
/// the hash and enforces the bounds; FoldRules decides whether a change is
/// allowed.
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

  /// Returns the configuration with this name, or null.
  const Configuration *find(std::string_view configuration) const;

  /// Returns the version with this number, or null.
  static const Version *find(const Configuration &in, uint64_t version);

  /// Adds a configuration that has no versions yet.
  void addConfiguration(std::string name, std::string team);

  /// Adds the next version of an existing configuration.
  void addVersion(std::string_view configuration, Version version);

  /// Adds the attachment or replaces the one with its name.
  void setAttachment(Attachment attachment);
  void eraseAttachment(std::string_view name);

  /// Sets the offset of the last record accepted for \p configuration.
  void setChangedAt(std::string_view configuration, Offset at);

  void setDrained(const std::string &what, bool on, Offset at);

  void addAudit(AuditEntry entry);

  /// Drops the documents of versions that are not in use, restores those of
  /// attached versions, and drops the oldest versions beyond the limit.
  void updateVersions(std::string_view configuration);

  /// Returns the document of a version that is in use or in the history.
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
  size_t VersionsKept = 0; ///< Sum over all histories.
};

struct Fold::State : FoldState {};

} // namespace radishcross::log
