#pragma once

#include <LibBase/Clock.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace radishcross::http {

/// What a hold's bytes are held for.
enum class HoldKind : uint8_t {
  Arriving,  ///< A request that is being read; may give way.
  Running,   ///< A request that is being handled; never gives way.
  Answering, ///< A response that is being read; never gives way.
  Leaving,   ///< A response that is being written; may give way.
};

/// Limits of a MemoryAccount, in bytes.
struct MemoryLimits {
  static constexpr size_t DefaultBytes = 96UL << 20;

  size_t Bytes = DefaultBytes; ///< Of all holds together.
  /// Holds up to this size may also use the reserve, and give way last.
  size_t SmallBytes = 64UL << 10;

  /// Returns the part of Bytes that only small holds may use.
  size_t reserve() const { return Bytes / 8; }
};

/// Account of the bytes that a process holds for others, over all connections
/// and both directions. Without I/O and clock.
///
/// Over the limit, holds give way in this order: one without progress for
/// StallTime, the longest first; then the slowest (bytes
/// moved since it began, which a new one has StallTime for);
/// of both kinds those above SmallBytes first. A hold that is the weakest
/// itself is refused.
class MemoryAccount {
public:
  using HoldId = uint32_t;

  /// After so long without a byte a hold counts as stalled.
  static constexpr base::Duration StallTime = std::chrono::milliseconds(500);

  /// Result of a claim. The holds in GiveWay have lost their bytes.
  struct Claim {
    bool Granted = true;
    std::vector<HoldId> GiveWay;
  };

  explicit MemoryAccount(const MemoryLimits &limits) : Limits(limits) {}

  /// Opens a hold of 0 bytes.
  HoldId open(HoldKind kind, base::TimePoint now);

  /// Asks for \p bytes in total for \p id. After a refusal it holds nothing.
  Claim claim(HoldId id, size_t bytes, base::TimePoint now);

  /// As claim(), for bytes that are there already: never refused.
  Claim charge(HoldId id, size_t bytes, base::TimePoint now);

  /// Notes that \p moved bytes of \p id have been read or written since it
  /// began.
  void progressed(HoldId id, size_t moved, base::TimePoint now);

  /// From here on \p id waits for this node and not for its client, until
  /// resume(): the time does not count for its progress.
  void pause(HoldId id, base::TimePoint now);
  void resume(HoldId id, base::TimePoint now);

  /// Notes that \p id, read completely, is now being handled.
  void startRunning(HoldId id);

  void close(HoldId id);

  /// Returns whether \p bytes more fit beside what never gives way.
  bool canEverHold(size_t bytes) const {
    return Fixed + bytes <= allowance(bytes);
  }

  size_t held() const { return Held; }

  /// Returns the size of the largest message that can be held alone.
  size_t largest() const { return Limits.Bytes - Limits.reserve(); }

private:
  struct Hold {
    HoldKind Kind = HoldKind::Arriving;
    bool Open = false;
    size_t Bytes = 0;
    size_t Moved = 0;
    base::TimePoint Began{};
    base::TimePoint ProgressAt{};
    std::optional<base::TimePoint> PausedAt;

    bool isStalled(base::TimePoint now) const {
      return PausedAt.value_or(now) - ProgressAt >= StallTime;
    }
    base::Duration age(base::TimePoint now) const {
      return PausedAt.value_or(now) - Began;
    }
  };

  static bool givesWay(HoldKind kind) {
    return kind == HoldKind::Arriving || kind == HoldKind::Leaving;
  }
  size_t allowance(size_t bytes) const {
    return bytes <= Limits.SmallBytes ? Limits.Bytes
                                      : Limits.Bytes - Limits.reserve();
  }
  void setBytes(Hold &hold, size_t bytes);
  bool isWeaker(const Hold &a, const Hold &b, base::TimePoint now) const;
  /// Returns the index of the weakest hold that has bytes and is not \p except,
  /// or Holds.size().
  size_t weakest(base::TimePoint now, size_t except) const;
  Claim makeRoom(HoldId id, size_t bytes, base::TimePoint now, bool forced);

  MemoryLimits Limits;
  std::vector<Hold> Holds; ///< By id; closed ones are used again.
  std::vector<HoldId> Free;
  size_t Held = 0;
  size_t Fixed = 0; ///< Part of Held that never gives way.
};

} // namespace radishcross::http
