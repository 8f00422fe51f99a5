#include <LibCalls/IdempotencyTable.h>

#include <algorithm>
#include <utility>

namespace radishcross::calls {

IdempotencyTable::IdempotencyTable(base::Duration window,
                                   trace::Recorder &recorder)
    : Window(window), Record(&recorder) {
  recordEvent(IdempotencyEvent::Start, {window.count()}, {}, 0, {});
}

KeyVerdict IdempotencyTable::begin(const std::string &key, uint64_t fingerprint,
                                   CallHandle call, base::TimePoint now) {
  tick(now);
  const auto out = decide(key, fingerprint, call);
  recordEvent(IdempotencyEvent::Begin,
              {static_cast<int64_t>(fingerprint), static_cast<int64_t>(call)},
              key, static_cast<int64_t>(out), now);
  return out;
}

KeyVerdict IdempotencyTable::decide(const std::string &key,
                                    uint64_t fingerprint, CallHandle call) {
  const auto it = Keys.find(key);
  if (it == Keys.end()) {
    if (Keys.size() >= MaximumKeys)
      return KeyVerdict::Full;
    Keys[key].Fingerprint = fingerprint;
    return KeyVerdict::Run;
  }
  auto &entry = it->second;
  if (entry.Fingerprint != fingerprint)
    return KeyVerdict::Mismatch;
  if (entry.State == Phase::Stored)
    return KeyVerdict::Replay;
  if (entry.State == Phase::Unknown)
    return KeyVerdict::Unknown;
  entry.Waiting.push_back(call);
  return KeyVerdict::Wait;
}

bool IdempotencyTable::contains(const std::string &key) const {
  return Keys.contains(key);
}

std::vector<CallHandle> IdempotencyTable::finished(
    const std::string &key, CallOutcome outcome, base::ResultCode code,
    std::optional<std::string> answer, base::TimePoint now) {
  const auto it = Keys.find(key);
  if (it == Keys.end() || it->second.State != Phase::Running)
    return {};
  auto &entry = it->second;
  auto out = std::exchange(entry.Waiting, {});
  const auto size = answer ? static_cast<int64_t>(answer->size()) : -1;
  recordEvent(IdempotencyEvent::Finished,
              {static_cast<int64_t>(outcome), static_cast<int64_t>(code), size},
              key, static_cast<int64_t>(out.size()), now);
  // A call that was certainly not run releases its key for the next call.
  if (outcome == CallOutcome::NotRun) {
    Keys.erase(it);
    return out;
  }
  entry.EndedAt = now;
  entry.State = Phase::Unknown;
  if (outcome == CallOutcome::Answered && answer && !answer->empty() &&
      answer->size() <= MaximumAnswerBytes) {
    entry.State = Phase::Stored;
    entry.Answer = std::move(*answer);
    Bytes += entry.Answer.size();
    WithAnswer.push_back(it);
  }
  Ended.push_back(it);
  evictAnswers();
  return out;
}

/// Evicts the oldest answers until the rest fits; their keys stay.
void IdempotencyTable::evictAnswers() {
  while (Bytes > MaximumBytes) {
    auto &entry = WithAnswer.front()->second;
    WithAnswer.pop_front();
    Bytes -= entry.Answer.size();
    entry.Answer = {};
    entry.State = Phase::Unknown;
  }
}

void IdempotencyTable::cancelWait(const std::string &key, CallHandle call,
                                  base::TimePoint now) {
  const auto it = Keys.find(key);
  if (it == Keys.end() || std::erase(it->second.Waiting, call) == 0)
    return;
  recordEvent(IdempotencyEvent::Left, {static_cast<int64_t>(call)}, key, 0,
              now);
}

const std::string &IdempotencyTable::answerOf(const std::string &key) const {
  static const std::string none;
  const auto it = Keys.find(key);
  return it == Keys.end() ? none : it->second.Answer;
}

size_t IdempotencyTable::tick(base::TimePoint now) {
  size_t forgotten = 0;
  while (!Ended.empty() && now - Ended.front()->second.EndedAt >= Window) {
    forget(Ended.front());
    Ended.pop_front();
    ++forgotten;
  }
  if (forgotten > 0)
    recordEvent(IdempotencyEvent::Expire, {}, {},
                static_cast<int64_t>(forgotten), now);
  return forgotten;
}

void IdempotencyTable::forget(Entries::iterator it) {
  // Answers are stored and removed in the order of their ends, as keys are.
  if (it->second.State == Phase::Stored)
    WithAnswer.pop_front();
  Bytes -= it->second.Answer.size();
  Keys.erase(it);
}

void IdempotencyTable::recordEvent(IdempotencyEvent::Value event,
                                   const trace::Inputs &numbers,
                                   std::string_view key, int64_t decided,
                                   base::TimePoint now) {
  trace::Entry entry;
  entry.AtMicroseconds = now.time_since_epoch().count();
  entry.Source = trace::Module::Idempotency;
  entry.Event = event;
  entry.Numbers = numbers;
  entry.Text = key;
  entry.Decided = {decided};
  Record->record(std::move(entry));
}

} // namespace radishcross::calls
