#pragma once

#include <LibBase/LastReason.h>

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace radishcross::base {

/// An IP address and a port. Host names are never resolved.
struct Address {
  std::string Host; ///< IPv4 or IPv6 address, without brackets.
  uint16_t Port = 0;

  auto operator<=>(const Address &) const = default;
  bool operator==(const Address &) const = default;

  /// Returns "IP:PORT" ("[IP]:PORT" for IPv6).
  std::string text() const;
};

/// Parses "IP:PORT"; fails with BadAddress.
std::optional<Address> parseAddress(std::string_view text, LastReason &reason);

/// Parses the address of another process; port 0, which nobody can connect to,
/// fails too.
std::optional<Address> parseRemoteAddress(std::string_view text,
                                          LastReason &reason);

} // namespace radishcross::base
