#pragma once

#include <LibBase/Clock.h>
#include <LibFleet/Gossip.h>

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace radishcross::fleet {

/// Small texts that every node shall see while they live. Bounded in number
/// and size, so that a flood of them costs a known amount of memory and bytes.
class NoticeBoard {
public:
  static constexpr size_t MaximumNotices = 256;
  static constexpr size_t MaximumTopicBytes = 128;
  static constexpr size_t MaximumTextBytes = 256;
  static constexpr std::chrono::hours MaximumLifetime{24};

  /// Takes a notice. Returns true when it is new or replaces an older one; one
  /// that is too large or arrives on a full board is dropped.
  bool post(const Notice &notice, base::TimePoint now);

  /// Returns notices to pass on, those sent least often first, within \p room
  /// bytes, and counts one transmission for each.
  std::vector<Notice> toSend(size_t room, uint32_t limit, base::TimePoint now);

  /// Returns the notices that were taken since the last call.
  std::vector<Notice> takeNew();

  /// Drops what has outlived its lifetime.
  void expire(base::TimePoint now);

  size_t size() const { return Posted.size(); }
  bool hasUnsent() const { return UnsentCount > 0; }

private:
  struct Entry {
    Notice Content;
    base::TimePoint Expires{};
    uint32_t Transmissions = 0;
  };
  std::map<std::string, Entry> Posted;
  std::vector<Notice> NewNotices;
  size_t UnsentCount = 0; ///< Entries that were never passed on.
};

} // namespace radishcross::fleet
