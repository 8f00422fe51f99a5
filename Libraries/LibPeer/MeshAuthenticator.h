#pragma once

#include <LibBase/LastReason.h>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace radishcross::peer {

/// Authenticates messages between nodes with the mesh key: each message is
/// preceded by the first 16 bytes of its HMAC-SHA256. Several keys may be valid
/// at once, so that keys can be rotated node by node.
class MeshAuthenticator {
public:
  static constexpr size_t TagBytes = 16;

  /// The first key signs, all keys verify. Without keys every message is
  /// rejected, unless \p trustsNetwork is set: then every message is accepted
  /// and its tag is zero.
  explicit MeshAuthenticator(std::vector<std::string> keys,
                             bool trustsNetwork = false);

  /// Returns the authentication tag followed by \p body.
  std::string seal(std::string_view body) const;

  /// Verifies the tag and returns the body, a view into \p sealed; fails with
  /// PeerUnauthenticated.
  std::optional<std::string_view> open(std::string_view sealed,
                                       base::LastReason &reason) const;

private:
  std::vector<std::string> Keys;
  bool TrustsNetwork;
};

} // namespace radishcross::peer
