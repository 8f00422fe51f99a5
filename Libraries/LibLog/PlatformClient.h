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
  Offset First = 1;                  ///< The oldest offset that is kept.
  Offset End = 1;                    ///< One past the newest offset.
  std::vector<StoredRecord> Records; ///< In offset order.
  base::LastReason Reason;
};

/// The platform's append-only log. Answers are delivered by callbacks on the
/// node's only thread; tests implement this interface with a mock.
class PlatformClient {
public:
  virtual ~PlatformClient() = default;

  /// Appends one record; \p done is called exactly once.
  virtual void append(std::string bytes,
                      std::function<void(AppendAnswer)> done) = 0;

  /// Reads at most \p maximumRecords records from offset \p from on. The
  /// platform may delay the answer until a record arrives or \p wait has
  /// elapsed.
  virtual void read(Offset from, uint32_t maximumRecords, base::Duration wait,
                    std::function<void(ReadAnswer)> done) = 0;

  /// Requests that the log be truncated: the log contains, after offset \p
  /// upTo, a complete snapshot of the state at \p upTo, so records up to there
  /// may be dropped.
  virtual void truncateUpTo(Offset upTo) = 0;

  /// Performs the next step of the truncation, with at most one call to the
  /// platform. Must be called at short intervals.
  virtual void continueTruncation() = 0;
};

} // namespace radishcross::log
