#include <LibLog/KeyedLog.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <utility>

namespace radishcross::log {

namespace {

/// The log counts from 1, a topic from 0.
Offset logOffset(uint64_t topicOffset) { return topicOffset + 1; }

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

/// Returns the records from \p from on, in the order of the log.
ReadAnswer readAnswerOf(TopicAnswer answer, Offset from,
                        uint32_t maximumRecords) {
  ReadAnswer out;
  out.Reached = answer.Reached && !answer.Expired;
  out.End = logOffset(answer.End);
  out.Reason = std::move(answer.Reason);
  std::sort(
      answer.Records.begin(), answer.Records.end(),
      [](const KeyedRecord &a, const KeyedRecord &b) { return a.At < b.At; });
  for (auto &it : answer.Records) {
    if (logOffset(it.At) < from)
      continue;
    if (out.Records.size() >= maximumRecords)
      break;
    out.Records.push_back({logOffset(it.At), std::move(it.Value)});
  }
  // What came in while the pages were read is beyond the end of the first.
  if (!out.Records.empty())
    out.End = std::max(out.End, out.Records.back().At + 1);
  return out;
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
                    std::function<void(ReadAnswer)> done) {
  Store->follow(
      Topic::Changes, from - 1, wait,
      [this, from, maximumRecords, done = std::move(done)](TopicAnswer answer) {
        if (!answer.Expired)
          return done(readAnswerOf(std::move(answer), from, maximumRecords));
        Store->list(
            Topic::Changes, [from, maximumRecords, done](TopicAnswer whole) {
              done(readAnswerOf(std::move(whole), from, maximumRecords));
            });
      });
}

} // namespace radishcross::log
