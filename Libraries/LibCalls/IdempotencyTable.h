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

/// An owner's decision for a call with an idempotency key.
enum class KeyVerdict : uint8_t {
  Run,      ///< First call of the key: run it.
  Wait,     ///< The first call is running; this one gets its answer.
  Replay,   ///< Answer with the stored answer.
  Unknown,  ///< The first call's outcome is unknown; never run it again.
  Mismatch, ///< The key belongs to another request.
  Full,     ///< The table has no room for another key; not run.
};

/// Events of trace entries; the text is the key. Start: window. Begin:
/// fingerprint, handle; outcome: the verdict. Finished: outcome, code, size of
/// the answer or -1; outcome: the number of calls that waited. Left: handle.
/// Expire: outcome: the number of keys removed.
struct IdempotencyEvent {
  enum Value : uint8_t { Start, Begin, Finished, Left, Expire };
};

/// The idempotency keys that one node owns: the first call of each key, how it
/// ended, and its stored answer for duplicates. Bounded in keys and bytes: a
/// key is never removed within the window, so a full table refuses new keys.
/// When bytes run out the oldest answers are evicted, and duplicates of those
/// calls then end as unknown.
class IdempotencyTable {
public:
  static constexpr size_t MaximumKeys = 20'000;
  static constexpr size_t MaximumAnswerBytes = size_t{64} * 1024;
  static constexpr size_t MaximumBytes = size_t{16} * 1024 * 1024;

  IdempotencyTable(base::Duration window, trace::Recorder &recorder);

  KeyVerdict begin(const std::string &key, uint64_t fingerprint,
                   CallHandle call, base::TimePoint now);

  /// Returns whether a key is known. Its duplicates may be answered even if
  /// this node may no longer run the call.
  bool contains(const std::string &key) const;

  /// Reports how the first call of a key ended and stores its answer, if any.
  /// Returns the calls that waited for it.
  std::vector<CallHandle> finished(const std::string &key, CallOutcome outcome,
                                   base::ResultCode code,
                                   std::optional<std::string> answer,
                                   base::TimePoint now);

  /// Removes a waiting call.
  void cancelWait(const std::string &key, CallHandle call, base::TimePoint now);

  /// Returns the stored answer of a key, or an empty string.
  const std::string &answerOf(const std::string &key) const;

  /// Removes the keys whose window has passed; returns their number.
  size_t tick(base::TimePoint now);

  size_t keys() const { return Keys.size(); }
  size_t bytes() const { return Bytes; }

private:
  enum class Phase : uint8_t { Running, Stored, Unknown };
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
