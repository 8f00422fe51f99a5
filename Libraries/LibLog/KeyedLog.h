#pragma once

#include <LibBase/Random.h>
#include <LibLog/KeyedStore.h>
#include <LibLog/PlatformClient.h>

#include <memory>
#include <string>
#include <vector>

namespace radishcross::log {

/// The log of changes over a keyed topic. Each record has a key of its own, so
/// that the platform keeps all of them; what it has dropped from the topic's
/// history is read from the list of keys instead.
///
/// Records that a snapshot in the log covers are dropped. A key of its own, the
/// cover, says up to which offset before the first of them goes; the highest
/// counts. Above it an offset without a record is that of a drop, or of a cover
/// that a higher one replaced, and reads as an empty record, so the log has no
/// gaps. At or below it records may be missing, so the log begins after it for
/// who cannot read the topic's history.
class KeyedLog final : public PlatformClient {
public:
  /// Keys that one call drops.
  static constexpr size_t KeysPerDrop = 500;
  /// Steps that are left out after one that failed.
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
  Offset CoveredUpTo = 0; ///< The highest cover seen.
  Offset DropUpTo = 0;    ///< What is to be dropped; 0: nothing.
  bool IsMarkerWritten = false;
  bool AreKeysListed = false;
  bool IsBusy = false;
  uint32_t StepsToSkip = 0;
  std::vector<std::string> ToDrop;
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace radishcross::log
