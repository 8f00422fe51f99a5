#pragma once

#include <LibBase/LastReason.h>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace radishcross::peer {

/// Proves that a message comes from a node with the mesh key: the first 16
/// bytes of its HMAC-SHA256 go ahead of it. Several keys may be valid at once,
/// so that a key can be replaced node by node.
class MeshAuthenticator {
public:
  static constexpr size_t TagBytes = 16;

  /// The first key signs, all of them verify. Without any key nothing is
  /// genuine, unless \p trustsNetwork: then every message is, and its tag is 0.
  explicit MeshAuthenticator(std::vector<std::string> keys,
                             bool trustsNetwork = false);

  /// Returns the tag followed by \p body.
  std::string seal(std::string_view body) const;

  /// Returns the body; fails with PeerUnauthenticated.
  std::optional<std::string_view> open(std::string_view sealed,
                                       base::LastReason &reason) const;

private:
  std::vector<std::string> Keys;
  bool TrustsNetwork;
};

} // namespace radishcross::peer
