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

/// A request that crashed targets. After one crash it is a suspect, which may
/// still run; the second crash quarantines it.
struct QuarantineEntry {
  uint64_t Fingerprint = 0;
  std::string ServiceName;
  uint32_t Crashes = 0;
  base::TimePoint Until{};
};

/// Requests that were in flight on crashing targets, identified by their
/// fingerprint and service. The second crash quarantines a request. Entries
/// expire and memory is bounded. A request that a target has answered recently
/// is not suspected, because one that crashes every target that runs it is
/// never answered.
class Quarantine {
public:
  static constexpr base::Duration SuspicionLifetime = std::chrono::minutes(5);
  static constexpr base::Duration QuarantineLifetime = std::chrono::minutes(10);
  /// An answer exonerates a request for this time only: it may begin to crash
  /// targets at any moment, such as after a release.
  static constexpr base::Duration AnswerLifetime = std::chrono::seconds(3);
  /// Reports for one target within this time count as one crash.
  static constexpr base::Duration CrashInterval = std::chrono::seconds(1);
  /// With more requests in flight, a crash is too weak evidence against each of
  /// them.
  static constexpr size_t MaximumSuspectsPerCrash = 16;
  static constexpr size_t MaximumEntries = 1024;

  explicit Quarantine(trace::Recorder &recorder);

  /// Reports that \p fingerprint was in flight when a target crashed. Returns
  /// true if this quarantines it; the fleet should then be informed.
  bool crashed(uint64_t fingerprint, std::string_view serviceName,
               base::TimePoint now);

  /// Reports the crash of one target with all that was in flight on it.
  /// Returns the fingerprints that this quarantines.
  std::vector<uint64_t> targetCrashed(std::string_view targetId,
                                      std::string_view serviceName,
                                      const std::vector<uint64_t> &fingerprints,
                                      base::TimePoint now);

  /// Reports that a target of the service answered a request. Takes constant
  /// time.
  void answered(uint64_t fingerprint, std::string_view serviceName,
                base::TimePoint now);

  /// Removes a suspect; returns true if there was one.
  bool clear(uint64_t fingerprint, std::string_view serviceName,
             base::TimePoint now);

  /// Applies a quarantine decided by another node.
  void applyRemote(uint64_t fingerprint, std::string_view serviceName,
                   base::Duration lifetime, base::TimePoint now);

  /// Applies another node's suspect, a first crash there. Returns true if this
  /// quarantines the fingerprint; the fleet should then be informed.
  bool applyRemoteSuspect(uint64_t fingerprint, std::string_view serviceName,
                          base::TimePoint now);

  /// Returns the entries of this node since the last call, to be sent to the
  /// fleet: with one crash a suspect, with more a quarantine.
  std::vector<QuarantineEntry> takeReports();

  bool blocks(uint64_t fingerprint, std::string_view serviceName,
              base::TimePoint now) const;

  /// Removes a fingerprint at all services; returns true if it was quarantined
  /// at one.
  bool lift(uint64_t fingerprint);
  std::vector<QuarantineEntry> entries(base::TimePoint now) const;

private:
  /// Hash of fingerprint and service.
  using RequestKey = uint64_t;
  using Entries = std::map<RequestKey, QuarantineEntry>;
  struct Answer {
    RequestKey Key = 0;
    base::TimePoint At{};
    bool Used = false;
  };
  static constexpr size_t AnswerSlots = 4096;

  static RequestKey keyOf(uint64_t fingerprint, std::string_view serviceName);
  bool answeredLately(RequestKey key, base::TimePoint now) const;
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
