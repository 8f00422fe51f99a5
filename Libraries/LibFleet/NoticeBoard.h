#pragma once

#include <LibBase/Clock.h>
#include <LibFleet/Gossip.h>

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace radishcross::fleet {

/// Notices to be broadcast to every node until they expire. Bounded in number
/// and size, so that a flood of notices uses a bounded amount of memory and
/// traffic.
class NoticeBoard {
public:
  static constexpr size_t MaximumNotices = 256;
  static constexpr size_t MaximumTopicBytes = 128;
  static constexpr size_t MaximumTextBytes = 256;
  static constexpr std::chrono::hours MaximumLifetime{24};

  /// Adds a notice; returns true if it is new or replaces an older revision. A
  /// notice that is too large, or that has a new topic while the board is full,
  /// is dropped.
  bool post(const Notice &notice, base::TimePoint now);

  /// Nodes that were away when a notice was sent get it from later datagrams:
  /// each node repeats a notice at this interval as long as it lasts, a few per
  /// datagram. One that is about to expire is not repeated, since a node that
  /// has dropped it would take it for a new one.
  static constexpr base::Duration RepeatInterval = std::chrono::seconds(1);
  static constexpr size_t MaximumRepeats = 2;
  static constexpr base::Duration MinimumTimeLeft = std::chrono::seconds(5);

  /// Returns notices to send that fit into \p room bytes: those that were sent
  /// fewer than \p limit times, least sent first, then those to be repeated.
  /// Counts a transmission for each.
  std::vector<Notice> toSend(size_t room, uint32_t limit, base::TimePoint now);

  /// Returns the notices accepted since the last call.
  std::vector<Notice> takeNew();

  /// Removes expired notices.
  void expire(base::TimePoint now);

  /// Returns the revision held of a topic, 0 if there is none.
  uint64_t revisionOf(const std::string &topic) const;

  size_t size() const { return Posted.size(); }
  bool hasUnsent() const { return UnsentCount > 0; }

private:
  struct Entry {
    Notice Content;
    base::TimePoint Expires{};
    uint32_t Transmissions = 0;
    base::TimePoint LastSent{};
  };
  bool mustRepeat(const Entry &entry, base::TimePoint now) const;

  std::map<std::string, Entry> Posted;
  std::vector<Notice> NewNotices;
  size_t UnsentCount = 0; ///< Number of entries that were never sent.
};

} // namespace radishcross::fleet
