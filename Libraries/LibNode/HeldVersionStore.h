#pragma once

#include <LibBase/Clock.h>
#include <LibBase/LastReason.h>
#include <LibNode/StoredNodeRecord.h>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace radishcross::node {

/// Version numbers by name of configuration.
using VersionNumbers = std::map<std::string, uint64_t, std::less<>>;

std::string encodeHoldings(const VersionNumbers &versions);

/// Fails with RecordMalformed if \p text is not an object of version numbers.
std::optional<VersionNumbers> decodeHoldings(std::string_view text,
                                             base::LastReason &reason);

/// Stores the versions of the product's own configurations that one node holds
/// at the platform's store, so that the node's next process reverts none of
/// them, whatever the attachments select by then.
class HeldVersionStore {
public:
  /// \p onStored is called when the store has accepted a write.
  HeldVersionStore(log::KeyedStore &store, std::string node,
                   std::function<void()> onStored);

  /// Loads the versions that an earlier process of the node has stored. \p done
  /// is called once; its argument is empty if the store doesn't answer, and the
  /// node then relies on what its peers remember.
  void load(std::function<void(const VersionNumbers &)> done);

  /// Sets the versions to be stored; the next tick writes them.
  void setDesired(const VersionNumbers &versions);

  /// Returns whether the store is known to hold exactly these versions.
  bool isStored(const VersionNumbers &versions) const;

  /// Writes the versions if they have changed. One write is in flight at a
  /// time.
  void tick(base::TimePoint now) { Record.tick(now); }

private:
  StoredNodeRecord Record;
};

} // namespace radishcross::node
