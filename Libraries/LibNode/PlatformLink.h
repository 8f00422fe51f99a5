#pragma once

#include <LibConfig/ExternalConfiguration.h>
#include <LibFleet/MemberTable.h>
#include <LibFleet/NodeDirectory.h>
#include <LibNode/PlatformPorts.h>
#include <LibNode/TopicReader.h>

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace radishcross::node {

/// Returns the first repairs of a version, for the log.
std::string summaryOf(const config::Repairs &repairs);

/// Reads and writes what one node keeps at the platform's store apart from the
/// log of changes: the directory of nodes and the external configuration.
class PlatformLink {
public:
  struct Events {
    std::function<void(const base::Address &gossip)> NodeFound;
    std::function<void()> ConfigurationChanged;
    /// Called for each other record of the operator.
    std::function<void(const log::KeyedRecord &)> OtherRecordRead;
    /// Returns how the operator's record is to be read now.
    std::function<fleet::ReadDuty()> ReadDuty;
    /// Called after a read that reached the newest version.
    std::function<void(const fleet::RecordReading &)> ConfigurationRead;
  };

  PlatformLink(boost::asio::io_context &context, log::KeyedStore &store,
               const PlatformPorts &ports, fleet::DirectoryEntry self,
               Events events);

  /// Starts to read the directory and, if \p hasConfiguration, the operator's
  /// record.
  void start(bool hasConfiguration, uint64_t seed);

  /// Writes this node's directory entry if that is due, and drops the entry of
  /// a node that has been gone for long. \p members are the members known now.
  void tick(const std::vector<fleet::Member> &members, base::TimePoint now);

  const config::ExternalConfiguration &configuration() const {
    return External;
  }

  /// Returns how much of the version in force could not be used as written.
  size_t repairCount() const { return RepairCount; }

  /// Returns the operator's record in force, compressed, for the peers.
  const std::string &compressedConfiguration() const {
    return CompressedRecord;
  }

  /// How the store answers this node's reads of one topic.
  struct ReadTimes {
    log::Topic SelectedTopic = log::Topic::Operator;
    std::optional<base::TimePoint> LastAnswerAt;
    /// Time that the outstanding read has gone unanswered.
    base::Duration Overdue{};
  };

  /// Returns the times of each topic that is read.
  std::vector<ReadTimes> readTimes(base::TimePoint now) const;

  /// Returns whether the store answers reads of the operator's record.
  bool isOperatorReachable() const {
    return OperatorReader && OperatorReader->hasListed() &&
           OperatorReader->isReachable();
  }

  /// Returns whether this node reads the operator's record itself.
  bool isReadingOperator() const {
    return OperatorReader && OperatorReader->isReading();
  }

  /// Returns whether the next read of the operator's record is due shortly: it
  /// is only held back to space it from the last one.
  bool isSpacingOperatorReads() const {
    return OperatorReader && OperatorReader->isSpacing();
  }

  /// Applies the operator's record, compressed, as received from \p peer. A
  /// record that is invalid or not newer than the version in force changes
  /// nothing.
  void acceptCompressed(std::string compressed, std::string_view peer);

private:
  void writeEntry(std::string id, std::string text);
  void handleDirectoryRecord(const log::KeyedRecord &record);
  void handleOperatorRecord(const log::KeyedRecord &record);
  bool applyConfiguration(std::string_view text, std::string_view source);
  void updateRole(const std::vector<fleet::Member> &members);
  fleet::ReadDuty directoryDuty() const;

  boost::asio::io_context *Context;
  log::KeyedStore *Store;
  const PlatformPorts *Ports;
  fleet::NodeDirectory Directory;
  config::ExternalConfiguration External;
  std::string CompressedRecord; ///< The operator's record in force.
  uint64_t TextHash = 0;        ///< Of the record seen last.
  size_t RepairCount = 0;
  Events Callbacks;
  std::shared_ptr<TopicReader> DirectoryReader;
  std::shared_ptr<TopicReader> OperatorReader;
  base::TimePoint Started{};
  bool IsIsolated = true;     ///< No other live node is known.
  bool ShouldRegister = true; ///< This node belongs in the directory.
  base::TimePoint IsolatedReadAt{};
  base::TimePoint NextRoleUpdate{};
  base::TimePoint NextWrite{};
  base::TimePoint NextCleanup{};
  std::shared_ptr<bool> LifetimeToken = std::make_shared<bool>(true);
};

} // namespace radishcross::node
