#pragma once

#include <LibBase/Clock.h>
#include <LibBase/LastReason.h>
#include <LibLog/Record.h>

#include <functional>
#include <vector>

namespace radishcross::log {

/// Answer to an append. Unknown means that the write may have taken effect.
struct AppendAnswer {
  enum class Kind : uint8_t { Accepted, Refused, Unknown };
  Kind Outcome = Kind::Unknown;
  Offset At = 0;
  base::LastReason Reason;
};

/// Answer to a read.
struct ReadAnswer {
  bool Reached = false;              ///< The platform answered.
  Offset First = 1;                  ///< The oldest offset that it keeps.
  Offset End = 1;                    ///< One past the newest offset.
  std::vector<StoredRecord> Records; ///< In offset order.
  base::LastReason Reason;
};

/// The platform's append-only log service. Answers come through callbacks on
/// the node's one thread; tests put a mock here.
class PlatformClient {
public:
  virtual ~PlatformClient() = default;

  /// Appends one record; \p done is called exactly once.
  virtual void append(std::string bytes,
                      std::function<void(AppendAnswer)> done) = 0;

  /// Reads records from \p from on, at most \p maximumRecords. The platform may
  /// hold the answer until a record arrives or \p wait has passed.
  virtual void read(Offset from, uint32_t maximumRecords, base::Duration wait,
                    std::function<void(ReadAnswer)> done) = 0;

  /// Says that a whole snapshot stands in the log behind \p upTo and covers
  /// what stands up to there, which may be dropped.
  virtual void truncateUpTo(Offset upTo) = 0;

  /// Takes the next step of dropping what is covered, one call at most. To be
  /// called at short intervals.
  virtual void continueTruncation() = 0;
};

} // namespace radishcross::log
