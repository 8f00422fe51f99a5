#pragma once

#include <LibLog/Fold.h>
#include <LibTrace/Entry.h>
#include <LibTrace/Player.h>

#include <cstdint>

namespace radishcross::log {

/// Events of Module::Fold. An event has no time but that of its entry.
enum class FoldEvent : uint8_t {
  /// Initialises the state. Text: the saved state. Decided: 1 if it was valid,
  /// offset, hash.
  Load,
  /// Applies a record. Numbers: offset. Text: the record's bytes. Decided:
  /// result code, version, hash and offset after the record.
  Apply,
};

/// Returns the entry that initialises a player with \p fold.
trace::Entry traceLoad(int64_t atMicroseconds, const Fold &fold);

/// Returns the entry for a record that \p fold has just applied.
trace::Entry traceApply(int64_t atMicroseconds, const StoredRecord &record,
                        const RecordOutcome &outcome, const Fold &fold);

/// Replays the entries of Module::Fold.
class FoldPlayer final : public trace::Player {
public:
  trace::Outcome play(const trace::Entry &entry) override;

  const Fold &state() const { return State; }

private:
  Fold State;
};

} // namespace radishcross::log
