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

constexpr std::string_view CoverPrefix = "covered-";

/// Empty records cost next to nothing, but an answer has to end somewhere.
constexpr size_t MostOffsetsRead = 65536;

/// The log counts from 1, a topic from 0.
Offset logOffset(uint64_t topicOffset) { return topicOffset + 1; }

std::string coverKey(Offset upTo) {
  return std::string(CoverPrefix) + std::to_string(upTo);
}

/// Returns the offset of a cover's key; 0 where it is that of a change.
Offset coverOf(std::string_view key) {
  if (!key.starts_with(CoverPrefix))
    return 0;
  key.remove_prefix(CoverPrefix.size());
  Offset out = 0;
  auto end = key.data() + key.size();
  auto [at, ec] = std::from_chars(key.data(), end, out);
  return ec == std::errc() && at == end ? out : 0;
}

AppendAnswer appendAnswerOf(PutAnswer answer) {
  AppendAnswer out;
  out.At = logOffset(answer.At);
  out.Reason = std::move(answer.Reason);
  if (answer.Outcome == PutAnswer::Kind::Accepted)
    out.Outcome = AppendAnswer::Kind::Accepted;
  if (answer.Outcome == PutAnswer::Kind::Refused)
    out.Outcome = AppendAnswer::Kind::Refused;
  return out;
}

/// Returns a record as the log gives it; a cover is no change.
StoredRecord storedRecord(KeyedRecord &record) {
  bool isCover = coverOf(record.Key) > 0;
  return {logOffset(record.At),
          isCover ? std::string() : std::move(record.Value)};
}

/// Tells whether a read from \p from on went to the topic's end.
bool isWhole(const TopicAnswer &answer, uint64_t from) {
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
    : Store(&store), Keys(randomSeed) {}

void KeyedLog::append(std::string bytes,
                      std::function<void(AppendAnswer)> done) {
  std::array<char, 33> key{};
  std::snprintf(key.data(), key.size(), "%016llx%016llx",
                static_cast<unsigned long long>(Keys.next()),
                static_cast<unsigned long long>(Keys.next()));
  Store->put(Topic::Changes, key.data(), std::move(bytes),
             [done = std::move(done)](PutAnswer answer) {
               done(appendAnswerOf(std::move(answer)));
             });
}

void KeyedLog::read(Offset from, uint32_t maximumRecords, base::Duration wait,
                    Done done) {
  Store->follow(Topic::Changes, from - 1, wait,
                [weak = std::weak_ptr<bool>(Alive), this, from, maximumRecords,
                 done = std::move(done)](TopicAnswer answer) {
                  if (weak.expired())
                    return;
                  if (answer.Expired)
                    return readList(from, maximumRecords, done);
                  done(fromHistory(std::move(answer), from, maximumRecords));
                });
}

/// Reads the keys, and then what was written meanwhile: a record that went
/// between two pages went after its cover was written, which is in one or the
/// other.
void KeyedLog::readList(Offset from, uint32_t maximumRecords,
                        const Done &done) {
  Store->list(Topic::Changes, [weak = std::weak_ptr<bool>(Alive), this, from,
                               maximumRecords, done](TopicAnswer listed) {
    if (weak.expired())
      return;
    if (!listed.Reached)
      return done(fromList(std::move(listed), from, maximumRecords));
    auto end = listed.End;
    Store->follow(
        Topic::Changes, end, {},
        [weak, this, from, maximumRecords, done, end,
         listed = std::move(listed)](const TopicAnswer &later) mutable {
          if (weak.expired())
            return;
          noteCovers(listed.Records);
          noteCovers(later.Records);
          listed.Reached = isWhole(later, end);
          if (!listed.Reached)
            listed.Reason.fail(base::ResultCode::PlatformUnavailable,
                               "the log grew too fast to be listed: " +
                                   later.Reason.text());
          done(fromList(std::move(listed), from, maximumRecords));
        });
  });
}

void KeyedLog::noteCovers(const std::vector<KeyedRecord> &records) {
  for (const auto &it : records) {
    auto cover = coverOf(it.Key);
    // A snapshot stands behind what it covers, and its cover behind that.
    if (!it.Value.empty() && cover <= it.At)
      Covered = std::max(Covered, cover);
  }
}

/// The history holds dropped records too.
ReadAnswer KeyedLog::fromHistory(TopicAnswer answer, Offset from,
                                 uint32_t maximumRecords) {
  noteCovers(answer.Records);
  ReadAnswer out;
  out.Reached = answer.Reached;
  out.First = std::min(from, Covered + 1);
  out.End = logOffset(answer.End);
  out.Reason = std::move(answer.Reason);
  sortByOffset(answer.Records);
  for (auto &it : answer.Records) {
    if (logOffset(it.At) < from)
      continue;
    if (out.Records.size() >= maximumRecords)
      break;
    out.Records.push_back(storedRecord(it));
  }
  if (!out.Records.empty())
    out.End = std::max(out.End, out.Records.back().At + 1);
  return out;
}

/// What came in while the pages were read, beyond the end of the first, is
/// left to the next read: some of it may be missing.
ReadAnswer KeyedLog::fromList(TopicAnswer answer, Offset from,
                              uint32_t maximumRecords) {
  ReadAnswer out;
  out.Reached = answer.Reached;
  out.First = Covered + 1;
  out.End = logOffset(answer.End);
  out.Reason = std::move(answer.Reason);
  sortByOffset(answer.Records);
  auto at = std::max(from, out.First);
  auto next =
      std::find_if(answer.Records.begin(), answer.Records.end(),
                   [&](const auto &it) { return logOffset(it.At) >= at; });
  size_t changes = 0;
  for (; answer.Reached && at < out.End && changes < maximumRecords &&
         out.Records.size() < MostOffsetsRead;
       ++at) {
    bool isKept = next != answer.Records.end() && logOffset(next->At) == at;
    if (!isKept) {
      out.Records.push_back({at, {}});
      continue;
    }
    out.Records.push_back(storedRecord(*next++));
    ++changes;
  }
  return out;
}

void KeyedLog::cover(Offset upTo) {
  if (upTo <= Covered || upTo <= DropUpTo)
    return;
  DropUpTo = upTo;
  IsCoverWritten = IsListed = false;
  ToDrop.clear();
}

void KeyedLog::dropNext() {
  if (IsBusy || DropUpTo == 0)
    return;
  if (StepsToSkip > 0) {
    --StepsToSkip;
    return;
  }
  if (!IsCoverWritten)
    writeCover();
  else if (!IsListed)
    listCovered();
  else
    dropCovered();
}

/// Returns whether the step was done; otherwise it is made again later.
bool KeyedLog::stepEnded(const PutAnswer &answer) {
  IsBusy = false;
  if (answer.Outcome == PutAnswer::Kind::Accepted)
    return true;
  StepsToSkip = StepsAfterFailure;
  base::log(base::LogLevel::Warning, "covered records were not dropped",
            {{"covered", std::to_string(DropUpTo)},
             {"reason", answer.Reason.text()}});
  return false;
}

void KeyedLog::writeCover() {
  IsBusy = true;
  Store->put(Topic::Changes, coverKey(DropUpTo), "{}",
             [weak = std::weak_ptr<bool>(Alive), this,
              upTo = DropUpTo](const PutAnswer &answer) {
               if (weak.expired() || !stepEnded(answer))
                 return;
               Covered = std::max(Covered, upTo);
               IsCoverWritten = upTo == DropUpTo;
             });
}

void KeyedLog::listCovered() {
  IsBusy = true;
  Store->list(Topic::Changes, [weak = std::weak_ptr<bool>(Alive), this,
                               upTo = DropUpTo](const TopicAnswer &answer) {
    if (weak.expired())
      return;
    PutAnswer ended;
    ended.Reason = answer.Reason;
    if (answer.Reached)
      ended.Outcome = PutAnswer::Kind::Accepted;
    if (!stepEnded(ended) || upTo != DropUpTo)
      return;
    for (const auto &it : answer.Records) {
      auto cover = coverOf(it.Key);
      bool isCovered = cover > 0 ? cover < upTo : logOffset(it.At) <= upTo;
      if (isCovered && !it.Value.empty())
        ToDrop.push_back(it.Key);
    }
    IsListed = true;
    base::log(base::LogLevel::Info, "covered records to drop",
              {{"covered", std::to_string(upTo)},
               {"records", std::to_string(ToDrop.size())}});
  });
}

void KeyedLog::dropCovered() {
  if (ToDrop.empty()) {
    DropUpTo = 0;
    return;
  }
  IsBusy = true;
  auto count = std::min(KeysPerDrop, ToDrop.size());
  std::vector<std::string> keys(ToDrop.end() - static_cast<ptrdiff_t>(count),
                                ToDrop.end());
  Store->drop(Topic::Changes, std::move(keys),
              [weak = std::weak_ptr<bool>(Alive), this, count,
               upTo = DropUpTo](const PutAnswer &answer) {
                if (weak.expired() || !stepEnded(answer) || upTo != DropUpTo)
                  return;
                ToDrop.resize(ToDrop.size() - count);
              });
}

} // namespace radishcross::log
