#pragma once

#include <LibBase/Clock.h>
#include <LibTrace/Recorder.h>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace radishcross::calls {

/// One request that crashed targets.
struct QuarantineEntry {
  uint64_t Fingerprint = 0;
  std::string ServiceName;
  uint32_t Crashes = 0;
  base::TimePoint Until{};
};

/// Fingerprints of requests that were in flight on crashing targets. The
/// second crash quarantines; entries expire; memory is bounded.
class Quarantine {
public:
  explicit Quarantine(trace::Recorder &recorder);

  /// Reports that \p fingerprint was in flight when a target crashed. Returns
  /// true when this quarantines it, and the fleet should be told.
  bool crashed(uint64_t fingerprint, std::string_view serviceName,
               base::TimePoint now);

  /// Takes another node's decision.
  void learn(uint64_t fingerprint, std::string_view serviceName,
             base::Duration lifetime, base::TimePoint now);

  bool blocks(uint64_t fingerprint, base::TimePoint now) const;
  bool lift(uint64_t fingerprint);
  std::vector<QuarantineEntry> entries(base::TimePoint now) const;

private:
  std::map<uint64_t, QuarantineEntry> Suspects;
  std::map<uint64_t, QuarantineEntry> Blocked;
  trace::Recorder *Record;
};

} // namespace radishcross::calls
