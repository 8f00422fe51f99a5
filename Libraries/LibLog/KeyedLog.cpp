#include <LibBase/Logger.h>
#include <LibLog/KeyedLog.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdio>
#include <iterator>
#include <utility>

namespace radishcross::log {

namespace {

constexpr std::string_view MarkerPrefix = "covered-";

/// Limits the answer also where it consists of empty records, which need hardly
/// any space.
constexpr size_t MaximumOffsetsPerRead = 65536;

/// Log offsets start at 1, topic offsets at 0.
Offset toLogOffset(uint64_t topicOffset) { return topicOffset + 1; }

std::string markerKey(Offset upTo) {
  return std::string(MarkerPrefix) + std::to_string(upTo);
}

/// Returns the offset in a marker's key, or 0 if it is the key of a change.
Offset parseMarker(std::string_view key) {
  if (!key.starts_with(MarkerPrefix))
    return 0;
  key.remove_prefix(MarkerPrefix.size());
  Offset out = 0;
  auto end = key.data() + key.size();
  auto [at, ec] = std::from_chars(key.data(), end, out);
  return ec == std::errc() && at == end ? out : 0;
}

AppendAnswer toAppendAnswer(PutAnswer answer) {
  AppendAnswer out;
  out.At = toLogOffset(answer.At);
  out.Reason = std::move(answer.Reason);
  if (answer.Outcome == PutAnswer::Kind::Accepted)
    out.Outcome = AppendAnswer::Kind::Accepted;
  if (answer.Outcome == PutAnswer::Kind::Refused)
    out.Outcome = AppendAnswer::Kind::Refused;
  return out;
}

/// Converts a record to its form in the log; a marker becomes empty, as it is
/// no change.
StoredRecord toStoredRecord(KeyedRecord &record) {
  bool isMarker = parseMarker(record.Key) > 0;
  return {toLogOffset(record.At),
          isMarker ? std::string() : std::move(record.Value)};
}

/// Returns whether a read that started at \p from reached the end of the topic.
bool reachesEnd(const TopicAnswer &answer, uint64_t from) {
  auto next = answer.Records.empty() ? from : answer.Records.back().At + 1;
  return answer.Reached && !answer.Expired && next >= answer.End;
}

void sortByOffset(std::vector<KeyedRecord> &records) {
  std::sort(
      records.begin(), records.end(),
      [](const KeyedRecord &a, const KeyedRecord &b) { return a.At < b.At; });
}

} // namespace

KeyedLog::KeyedLog(KeyedStore &store, uint64_t randomSeed)
    : Store(&store), KeyRandom(randomSeed) {}

void KeyedLog::append(std::string bytes,
                      std::function<void(AppendAnswer)> done) {
  std::array<char, 33> key{};
  std::snprintf(key.data(), key.size(), "%016llx%016llx",
                static_cast<unsigned long long>(KeyRandom.next()),
                static_cast<unsigned long long>(KeyRandom.next()));
  Store->put(Topic::Changes, key.data(), std::move(bytes),
             [done = std::move(done)](PutAnswer answer) {
               done(toAppendAnswer(std::move(answer)));
             });
}

void KeyedLog::read(Offset from, uint32_t maximumRecords, base::Duration wait,
                    Done done) {
  Store->follow(
      Topic::Changes, from - 1, wait,
      [weak = std::weak_ptr<bool>(LifetimeToken), this, from, maximumRecords,
       done = std::move(done)](TopicAnswer answer) {
        if (weak.expired())
          return;
        if (answer.Expired)
          return readFromList(from, maximumRecords, done);
        done(answerFromHistory(std::move(answer), from, maximumRecords));
      });
}

/// Lists the keys and then reads what was written in the meantime. A record
/// that is dropped between two pages is dropped after its marker was written,
/// so the marker is in the list or in what follows.
void KeyedLog::readFromList(Offset from, uint32_t maximumRecords,
                            const Done &done) {
  Store->list(Topic::Changes, [weak = std::weak_ptr<bool>(LifetimeToken), this,
                               from, maximumRecords, done](TopicAnswer listed) {
    if (weak.expired())
      return;
    if (listed.Unreadable > 0) {
      // Other nodes may have read these records from the history.
      listed.Reached = false;
      listed.Reason.fail(base::ResultCode::RecordMalformed,
                         std::to_string(listed.Unreadable) +
                             " records of the listed log cannot be decoded");
    }
    if (!listed.Reached)
      return done(answerFromList(std::move(listed), from, maximumRecords));
    auto end = listed.End;
    Store->follow(
        Topic::Changes, end, {},
        [weak, this, from, maximumRecords, done, end,
         listed = std::move(listed)](const TopicAnswer &later) mutable {
          if (weak.expired())
            return;
          readMarkers(listed.Records);
          readMarkers(later.Records);
          listed.Reached = reachesEnd(later, end);
          if (!listed.Reached)
            listed.Reason.fail(base::ResultCode::PlatformUnavailable,
                               "the log grew too fast to be listed: " +
                                   later.Reason.text());
          done(answerFromList(std::move(listed), from, maximumRecords));
        });
  });
}

void KeyedLog::readMarkers(const std::vector<KeyedRecord> &records) {
  for (const auto &it : records) {
    auto coveredUpTo = parseMarker(it.Key);
    // A marker is written after the snapshot, which is after the covered
    // records, so a marker that claims more than precedes it is invalid.
    if (!it.Value.empty() && coveredUpTo <= it.At)
      CoveredUpTo = std::max(CoveredUpTo, coveredUpTo);
  }
}

/// The history also contains dropped records.
ReadAnswer KeyedLog::answerFromHistory(TopicAnswer answer, Offset from,
                                       uint32_t maximumRecords) {
  readMarkers(answer.Records);
  ReadAnswer out;
  out.Reached = answer.Reached;
  out.First = std::min(from, CoveredUpTo + 1);
  out.End = toLogOffset(answer.End);
  out.Reason = std::move(answer.Reason);
  sortByOffset(answer.Records);
  for (auto &it : answer.Records) {
    if (toLogOffset(it.At) < from)
      continue;
    if (out.Records.size() >= maximumRecords)
      break;
    out.Records.push_back(toStoredRecord(it));
  }
  if (!out.Records.empty())
    out.End = std::max(out.End, out.Records.back().At + 1);
  return out;
}

/// Records beyond the end of the first page that arrived while the pages were
/// read are left to the next read, as some of them may be missing.
ReadAnswer KeyedLog::answerFromList(TopicAnswer answer, Offset from,
                                    uint32_t maximumRecords) {
  ReadAnswer out;
  out.Reached = answer.Reached;
  out.First = CoveredUpTo + 1;
  out.End = toLogOffset(answer.End);
  out.Reason = std::move(answer.Reason);
  sortByOffset(answer.Records);
  auto at = std::max(from, out.First);
  auto next =
      std::find_if(answer.Records.begin(), answer.Records.end(),
                   [&](const auto &it) { return toLogOffset(it.At) >= at; });
  size_t changes = 0;
  for (; answer.Reached && at < out.End && changes < maximumRecords &&
         out.Records.size() < MaximumOffsetsPerRead;
       ++at) {
    bool isKept = next != answer.Records.end() && toLogOffset(next->At) == at;
    if (!isKept) {
      out.Records.push_back({at, {}});
      continue;
    }
    out.Records.push_back(toStoredRecord(*next++));
    ++changes;
  }
  return out;
}

void KeyedLog::truncateUpTo(Offset upTo) {
  if (upTo <= CoveredUpTo || upTo <= DropUpTo)
    return;
  DropUpTo = upTo;
  IsMarkerWritten = AreKeysListed = false;
  KeysToDrop.clear();
}

void KeyedLog::continueTruncation() {
  if (IsBusy || DropUpTo == 0)
    return;
  if (StepsToSkip > 0) {
    --StepsToSkip;
    return;
  }
  if (!IsMarkerWritten)
    writeMarker();
  else if (!AreKeysListed)
    listKeysToDrop();
  else
    dropKeys();
}

/// Returns whether the step succeeded; a failed one is repeated later.
bool KeyedLog::finishStep(const PutAnswer &answer) {
  IsBusy = false;
  if (answer.Outcome == PutAnswer::Kind::Accepted)
    return true;
  StepsToSkip = StepsSkippedAfterFailure;
  base::log(base::LogLevel::Warning, "covered records were not dropped",
            {{"covered", std::to_string(DropUpTo)},
             {"reason", answer.Reason.text()}});
  return false;
}

void KeyedLog::writeMarker() {
  IsBusy = true;
  Store->put(Topic::Changes, markerKey(DropUpTo), "{}",
             [weak = std::weak_ptr<bool>(LifetimeToken), this,
              upTo = DropUpTo](const PutAnswer &answer) {
               if (weak.expired() || !finishStep(answer))
                 return;
               CoveredUpTo = std::max(CoveredUpTo, upTo);
               IsMarkerWritten = upTo == DropUpTo;
             });
}

void KeyedLog::listKeysToDrop() {
  IsBusy = true;
  Store->list(Topic::Changes, [weak = std::weak_ptr<bool>(LifetimeToken), this,
                               upTo = DropUpTo](const TopicAnswer &answer) {
    if (weak.expired())
      return;
    PutAnswer ended;
    ended.Reason = answer.Reason;
    if (answer.Reached)
      ended.Outcome = PutAnswer::Kind::Accepted;
    if (!finishStep(ended) || upTo != DropUpTo)
      return;
    for (const auto &it : answer.Records) {
      auto coveredUpTo = parseMarker(it.Key);
      bool isCovered =
          coveredUpTo > 0 ? coveredUpTo < upTo : toLogOffset(it.At) <= upTo;
      if (isCovered && !it.Value.empty())
        KeysToDrop.push_back(it.Key);
    }
    AreKeysListed = true;
    base::log(base::LogLevel::Info, "covered records to drop",
              {{"covered", std::to_string(upTo)},
               {"records", std::to_string(KeysToDrop.size())}});
  });
}

void KeyedLog::dropKeys() {
  if (KeysToDrop.empty()) {
    DropUpTo = 0;
    return;
  }
  IsBusy = true;
  auto count = std::min(KeysPerDrop, KeysToDrop.size());
  std::vector<std::string> keys(
      KeysToDrop.end() - static_cast<ptrdiff_t>(count), KeysToDrop.end());
  Store->drop(Topic::Changes, std::move(keys),
              [weak = std::weak_ptr<bool>(LifetimeToken), this, count,
               upTo = DropUpTo](const PutAnswer &answer) {
                if (weak.expired() || !finishStep(answer) || upTo != DropUpTo)
                  return;
                KeysToDrop.resize(KeysToDrop.size() - count);
              });
}

} // namespace radishcross::log
