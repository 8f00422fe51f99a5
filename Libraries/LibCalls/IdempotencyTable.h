#pragma once

#include <LibBase/Clock.h>
#include <LibCalls/CallBroker.h>
#include <LibTrace/Recorder.h>

#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace radishcross::calls {

/// What an owner answers to a call with an idempotency key.
enum class KeyVerdict : uint8_t {
  Run,      ///< The first call of the key: run it.
  Wait,     ///< The first call runs; this one gets its answer.
  Replay,   ///< The kept answer.
  Unknown,  ///< The first call's outcome is not known; never run it again.
  Mismatch, ///< The key belongs to another request.
  Full,     ///< No memory for another key; not run.
};

/// Events of a trace's entries; the text is the key. Start: window. Begin:
/// fingerprint, handle; decides the verdict. Finished: outcome, code, size of
/// the answer or -1; decides the number of calls that waited. Left: handle.
/// Expire decides the number of keys forgotten.
struct IdempotencyEvent {
  enum Value : uint8_t { Start, Begin, Finished, Left, Expire };
};

/// The keys that one node owns: which call of a key was first, how it ended,
/// and its kept answer for the calls that are sent again. Bounded in keys and
/// in bytes: a key is never forgotten within the window, so a full table
/// refuses new keys; answers are dropped first and then end as unknown.
class IdempotencyTable {
public:
  static constexpr size_t MaximumKeys = 20'000;
  static constexpr size_t MaximumAnswerBytes = size_t{64} * 1024;
  static constexpr size_t MaximumBytes = size_t{16} * 1024 * 1024;

  IdempotencyTable(base::Duration window, trace::Recorder &recorder);

  KeyVerdict begin(const std::string &key, uint64_t fingerprint,
                   CallHandle call, base::TimePoint now);

  /// Tells whether a key is known, so that it may be answered although this
  /// node may no longer run it.
  bool knows(const std::string &key) const;

  /// Reports how the first call of a key ended; an answer that is given is
  /// kept. Returns the calls that waited for it.
  std::vector<CallHandle> finished(const std::string &key, CallOutcome outcome,
                                   base::ResultCode code,
                                   std::optional<std::string> answer,
                                   base::TimePoint now);

  /// Takes out a call that waits no longer.
  void cancelWait(const std::string &key, CallHandle call, base::TimePoint now);

  /// Returns the kept answer of a key, or an empty text.
  const std::string &answerOf(const std::string &key) const;

  /// Forgets the keys whose window is over; returns their number.
  size_t tick(base::TimePoint now);

  size_t keys() const { return Keys.size(); }
  size_t bytes() const { return Bytes; }

private:
  enum class Phase : uint8_t { Running, Kept, Unknown };
  struct KeyEntry {
    uint64_t Fingerprint = 0;
    Phase State = Phase::Running;
    std::string Answer;
    std::vector<CallHandle> Waiting;
    base::TimePoint EndedAt{};
  };
  using Entries = std::map<std::string, KeyEntry, std::less<>>;

  KeyVerdict decide(const std::string &key, uint64_t fingerprint,
                    CallHandle call);
  void forget(Entries::iterator it);
  void evictAnswers();
  void recordEvent(IdempotencyEvent::Value event, const trace::Inputs &numbers,
                   std::string_view key, int64_t decided, base::TimePoint now);

  base::Duration Window;
  trace::Recorder *Record;
  Entries Keys;
  std::list<Entries::iterator> Ended;      ///< Oldest first.
  std::list<Entries::iterator> WithAnswer; ///< Oldest first.
  size_t Bytes = 0;
};

} // namespace radishcross::calls
