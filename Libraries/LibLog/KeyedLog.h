#pragma once

#include <LibBase/Random.h>
#include <LibLog/KeyedStore.h>
#include <LibLog/PlatformClient.h>

#include <memory>
#include <string>
#include <vector>

namespace radishcross::log {

/// The log of changes on a keyed topic. Each record has a unique key, so that
/// the platform keeps all of them; records that are no longer in the topic's
/// history are read from the list of keys instead.
/// Records that a snapshot in the log covers are dropped. Before the first of
/// them is dropped, a marker with a key of its own is written that contains the
/// offset up to which records will be dropped; the highest marker counts. Above
/// that offset, an offset without a record belongs to a drop or to a superseded
/// marker and is read as an empty record, so the log has no gaps. At or below
/// it records may be missing, so for a reader that cannot read the topic's
/// history the log begins after it.
class KeyedLog final : public PlatformClient {
public:
  /// Number of keys that one call drops.
  static constexpr size_t KeysPerDrop = 500;
  /// Number of steps skipped after a failed one.
  static constexpr uint32_t StepsSkippedAfterFailure = 200;

  KeyedLog(KeyedStore &store, uint64_t randomSeed);

  void append(std::string bytes,
              std::function<void(AppendAnswer)> done) override;
  void read(Offset from, uint32_t maximumRecords, base::Duration wait,
            std::function<void(ReadAnswer)> done) override;
  void truncateUpTo(Offset upTo) override;
  void continueTruncation() override;

private:
  using Done = std::function<void(ReadAnswer)>;

  void readFromList(Offset from, uint32_t maximumRecords, const Done &done);
  ReadAnswer answerFromHistory(TopicAnswer answer, Offset from,
                               uint32_t maximumRecords);
  ReadAnswer answerFromList(TopicAnswer answer, Offset from,
                            uint32_t maximumRecords);
  void readMarkers(const std::vector<KeyedRecord> &records);
  void writeMarker();
  void listKeysToDrop();
  void dropKeys();
  bool finishStep(const PutAnswer &answer);

  KeyedStore *Store;
  base::Random KeyRandom;
  Offset CoveredUpTo = 0; ///< Offset of the highest marker seen.
  Offset DropUpTo = 0;    ///< Offset up to which to drop; 0 for none.
  bool IsMarkerWritten = false;
  bool AreKeysListed = false;
  bool IsBusy = false;
  uint32_t StepsToSkip = 0;
  std::vector<std::string> KeysToDrop;
  std::shared_ptr<bool> LifetimeToken = std::make_shared<bool>(true);
};

} // namespace radishcross::log
