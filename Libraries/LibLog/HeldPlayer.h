#pragma once

#include <LibLog/FoldPlayer.h>
#include <LibLog/HeldVersions.h>
#include <LibTrace/Entry.h>
#include <LibTrace/Player.h>

#include <cstdint>
#include <memory>

namespace radishcross::log {

/// Events of Module::Snapshot. Decided, for all: 1 if a new snapshot is in
/// force, number of versions held, number waiting, hash of the held versions.
enum class HeldEvent : uint8_t {
  /// Initialises the proxy. Text: {"node", "labels", "floor"}; the floor
  /// contains the versions held at that time. Includes an update from the fold.
  Start,
  /// Raises the floor. Text: {configuration: version}.
  RaiseFloor,
  /// Updates from the fold as replayed by the entries of Module::Fold.
  Update,
};

/// Returns the entry that initialises a player with \p held.
trace::Entry traceStart(int64_t atMicroseconds, const HeldVersions &held);

/// Returns the entry for a raised floor.
trace::Entry traceRaiseFloor(int64_t atMicroseconds,
                             const std::map<std::string, uint64_t> &versions,
                             const HeldVersions &held);

/// Returns the entry for an update that returned \p changed.
trace::Entry traceUpdate(int64_t atMicroseconds, bool changed,
                         const HeldVersions &held);

/// Replays the entries of Module::Snapshot against the fold of \p fold.
class HeldPlayer final : public trace::Player {
public:
  explicit HeldPlayer(const FoldPlayer &fold) : Source(fold) {}

  trace::Outcome play(const trace::Entry &entry) override;

  /// Returns the held versions, or null before the first Start.
  const HeldVersions *held() const { return Held.get(); }

private:
  bool start(const trace::Entry &entry);

  const FoldPlayer &Source;
  std::unique_ptr<HeldVersions> Held;
};

} // namespace radishcross::log
