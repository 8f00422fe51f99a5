#pragma once

#include <LibBase/Clock.h>

#include <cstdint>
#include <optional>

namespace radishcross::calls {

/// Whether the pooled connections to one node can still be believed. Something
/// between the two ends may have lost track of them: then they stay silent for
/// good, while new ones work. Silence with attempts in flight puts doubt on all
/// of them; an answer over a new connection clears it.
class PathHealth {
public:
  /// Silence from which a path is doubted. A wrong doubt costs one connect.
  static constexpr base::Duration SilenceLimit = std::chrono::seconds(1);

  void sent(base::TimePoint now);

  /// Reports any sign of life of the other end.
  void answered(bool onNewConnection, base::TimePoint now);

  /// Reports that an attempt ended without a sign of life.
  void unanswered(bool timedOut);

  /// Looks for silence; returns whether that put doubt on the path.
  bool tick(base::TimePoint now);

  bool isSuspect() const { return Suspect; }

private:
  void removeInFlight();

  uint32_t InFlight = 0;
  std::optional<base::TimePoint> SilentSince;
  bool Suspect = false;
};

} // namespace radishcross::calls
