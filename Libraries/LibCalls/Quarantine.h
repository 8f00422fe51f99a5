#pragma once

#include <LibBase/Clock.h>
#include <LibTrace/Recorder.h>

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace radishcross::calls {

/// One request that crashed targets. One crash makes it a suspect, which may
/// still run; the second quarantines it.
struct QuarantineEntry {
  uint64_t Fingerprint = 0;
  std::string ServiceName;
  uint32_t Crashes = 0;
  base::TimePoint Until{};
};

/// Fingerprints of requests that were in flight on crashing targets. The
/// second crash quarantines; entries expire; memory is bounded. A fingerprint
/// that a target has answered lately is innocent: a request that crashes each
/// target that runs it is never answered.
class Quarantine {
public:
  static constexpr base::Duration SuspicionLifetime = std::chrono::minutes(5);
  static constexpr base::Duration QuarantineLifetime = std::chrono::minutes(10);
  static constexpr base::Duration AnswerLifetime = std::chrono::minutes(1);
  /// Two reports of one target within this time are one crash.
  static constexpr base::Duration CrashInterval = std::chrono::seconds(1);
  /// With more requests in flight a crash says too little about each of them.
  static constexpr size_t MaximumSuspectsPerCrash = 16;
  static constexpr size_t MaximumEntries = 1024;

  explicit Quarantine(trace::Recorder &recorder);

  /// Reports that \p fingerprint was in flight when a target crashed. Returns
  /// true when this quarantines it, and the fleet should be told.
  bool crashed(uint64_t fingerprint, std::string_view serviceName,
               base::TimePoint now);

  /// Reports the crash of one target with all that was in flight on it.
  /// Returns the fingerprints that this quarantines.
  std::vector<uint64_t> targetCrashed(std::string_view targetId,
                                      std::string_view serviceName,
                                      const std::vector<uint64_t> &fingerprints,
                                      base::TimePoint now);

  /// Reports that a target answered a request; a constant-time note.
  void answered(uint64_t fingerprint, base::TimePoint now);

  /// Drops a suspicion; returns true when there was one.
  bool clear(uint64_t fingerprint, base::TimePoint now);

  /// Takes another node's decision.
  void learn(uint64_t fingerprint, std::string_view serviceName,
             base::Duration lifetime, base::TimePoint now);

  /// Takes another node's suspicion, a first crash there. Returns true when
  /// this quarantines the fingerprint, and the fleet should be told.
  bool learnSuspect(uint64_t fingerprint, std::string_view serviceName,
                    base::TimePoint now);

  /// Returns the suspicions and decisions of this node since the last call,
  /// to be told to the fleet: with one crash a suspicion, with more a
  /// decision.
  std::vector<QuarantineEntry> takeReports();

  bool blocks(uint64_t fingerprint, base::TimePoint now) const;
  bool lift(uint64_t fingerprint);
  std::vector<QuarantineEntry> entries(base::TimePoint now) const;

private:
  using Entries = std::map<uint64_t, QuarantineEntry>;
  struct Answer {
    uint64_t Fingerprint = 0;
    base::TimePoint At{};
    bool Used = false;
  };
  static constexpr size_t AnswerSlots = 4096;

  bool answeredLately(uint64_t fingerprint, base::TimePoint now) const;
  bool suspect(uint64_t fingerprint, std::string_view serviceName,
               base::TimePoint now, bool reportToFleet);
  static QuarantineEntry &insert(Entries &entries, uint64_t fingerprint,
                                 std::string_view serviceName,
                                 base::TimePoint now);
  void queueReport(const QuarantineEntry &entry);
  void recordEvent(uint8_t event, uint64_t fingerprint, std::string_view text,
                   base::Duration lifetime, base::TimePoint now, bool decided);

  Entries Suspects;
  Entries Blocked;
  std::map<std::string, base::TimePoint, std::less<>> RecentCrashes;
  std::vector<Answer> Answers;
  std::vector<QuarantineEntry> PendingReports;
  trace::Recorder *Record;
};

} // namespace radishcross::calls
