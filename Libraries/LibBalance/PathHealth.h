#pragma once

#include <LibBase/Clock.h>

#include <cstdint>
#include <optional>

namespace radishcross::balance {

/// Detects stale pooled connections to one node. A device on the path may have
/// dropped their state: they then stay silent for ever, while new connections
/// work. Silence with attempts in flight makes the path suspect; an answer on a
/// new connection clears that.
class PathHealth {
public:
  /// Silence after which a path is suspect. A wrong suspicion costs one
  /// connect.
  static constexpr base::Duration SilenceLimit = std::chrono::seconds(1);

  void sent(base::TimePoint now);

  /// Reports an answer or refusal from the other end.
  void answered(bool onNewConnection, base::TimePoint now);

  /// Reports that an attempt ended without an answer or refusal.
  void unanswered(bool timedOut);

  /// Checks for silence; returns whether the path has become suspect.
  bool tick(base::TimePoint now);

  bool isSuspect() const { return Suspect; }

private:
  void removeInFlight();

  uint32_t InFlight = 0;
  std::optional<base::TimePoint> SilentSince;
  bool Suspect = false;
};

} // namespace radishcross::balance
