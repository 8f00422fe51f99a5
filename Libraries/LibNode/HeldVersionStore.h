#pragma once

#include <LibBase/Clock.h>
#include <LibBase/LastReason.h>
#include <LibLog/KeyedStore.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace radishcross::node {

/// Versions by configuration.
using VersionNumbers = std::map<std::string, uint64_t, std::less<>>;

std::string encodeHoldings(const VersionNumbers &versions);

/// Returns nothing where \p text is no such record.
std::optional<VersionNumbers> decodeHoldings(std::string_view text,
                                             base::LastReason &reason);

/// Keeps the versions that one node holds of the product's own configurations
/// at the platform's store, so that its next process steps back from none of
/// them, whatever the attachments say by then.
class HeldVersionStore {
public:
  /// \p onStored is called when a write has been taken.
  HeldVersionStore(log::KeyedStore &store, std::string node,
                   std::function<void()> onStored);

  /// Reads what an earlier process of the node has kept; \p done is called
  /// once, with nothing where the store doesn't answer: then the peers' memory
  /// has to do.
  void load(std::function<void(const VersionNumbers &)> done);

  /// Notes what is held now; the next tick writes it.
  void setDesired(VersionNumbers versions) { Desired = std::move(versions); }

  /// Tells whether the store is known to keep these versions.
  bool isStored(const VersionNumbers &versions) const {
    return Stored == versions;
  }

  /// Writes what has changed, one write at a time.
  void tick(base::TimePoint now);

private:
  void writeEnded(const VersionNumbers &versions, const log::PutAnswer &answer);

  log::KeyedStore *Store;
  std::string Node;
  std::function<void()> OnStored;
  VersionNumbers Desired;
  VersionNumbers Stored; ///< What the store is known to hold.
  bool IsWriting = false;
  base::TimePoint NextWrite{};
  std::shared_ptr<bool> LifetimeToken = std::make_shared<bool>(true);
};

} // namespace radishcross::node
