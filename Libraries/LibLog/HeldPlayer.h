#pragma once

#include <LibLog/FoldPlayer.h>
#include <LibLog/HeldVersions.h>
#include <LibTrace/Entry.h>
#include <LibTrace/Player.h>

#include <cstdint>
#include <memory>

namespace radishcross::log {

/// Events of Module::Snapshot. Decided, for all: 1 when a new snapshot is in
/// force, versions held, versions waiting, hash of what is held.
enum class HeldEvent : uint8_t {
  /// Sets the proxy up. Text: {"node", "labels", "floor"}, where the floor
  /// holds the versions held by then. Updates from the fold at once.
  Start,
  /// Raises the floor. Text: {configuration: version}.
  RaiseFloor,
  /// Updates from the fold as Module::Fold's entries have left it.
  Update,
};

/// Returns the entry that sets a player up with \p held.
trace::Entry traceStart(int64_t atMicroseconds, const HeldVersions &held);

/// Returns the entry of a raised floor.
trace::Entry traceRaiseFloor(int64_t atMicroseconds,
                             const std::map<std::string, uint64_t> &versions,
                             const HeldVersions &held);

/// Returns the entry of an update that gave \p changed.
trace::Entry traceUpdate(int64_t atMicroseconds, bool changed,
                         const HeldVersions &held);

/// Replays the entries of Module::Snapshot on the fold that \p fold replays.
class HeldPlayer final : public trace::Player {
public:
  explicit HeldPlayer(const FoldPlayer &fold) : Source(fold) {}

  trace::Outcome play(const trace::Entry &entry) override;

  /// Returns what is held; null before the first Start.
  const HeldVersions *held() const { return Held.get(); }

private:
  bool start(const trace::Entry &entry);

  const FoldPlayer &Source;
  std::unique_ptr<HeldVersions> Held;
};

} // namespace radishcross::log
