#pragma once

#include <LibBase/Clock.h>

#include <array>
#include <cstdint>

namespace radishcross::balance {

/// Bounds one node's extra attempts at a service to a share of its first ones.
/// Each first attempt earns the share of an extra one, which is spent within
/// the window or lost. So in every span (a, b] the extra attempts are at most
/// the share of the first attempts in (a - Window, b], and as both are sums the
/// same holds for all nodes together.
class ExtraWorkLimit {
public:
  static constexpr base::Duration Window = std::chrono::seconds(10);

  /// Counts a first attempt, which earns \p permille of an extra one.
  void started(int64_t permille, base::TimePoint now);

  /// Returns whether an extra attempt may start if only \p headroomPermille of
  /// what has been earned may be spent now.
  bool available(int64_t headroomPermille, base::TimePoint now) const;

  /// Counts an extra attempt. It takes what was earned first.
  void spend(base::TimePoint now);

private:
  static constexpr int64_t PartCount = 10; ///< Of the window.
  struct Part {
    int64_t Number = -1; ///< Counted from the clock's start.
    int64_t Left = 0;    ///< Permille of an extra attempt.
  };
  static int64_t numberOf(base::TimePoint now);
  /// Returns whether what was earned in a part may still be spent.
  static bool counts(const Part &part, int64_t newest);

  std::array<Part, PartCount> Parts{}; ///< By number, in turn.
};

} // namespace radishcross::balance
