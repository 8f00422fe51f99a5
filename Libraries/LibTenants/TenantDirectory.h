#pragma once

#include <LibConfig/Snapshot.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>

namespace radishcross::tenants {

/// What a request's key says of who asks.
struct Identity {
  enum class Kind : uint8_t {
    Open,    ///< No tenant asks, and none needs to.
    Tenant,  ///< Asker holds the key.
    Unknown, ///< A key is needed, and the request has none that is known.
  };
  Kind What = Kind::Open;
  const config::Tenant *Asker = nullptr; ///< Valid as long as the snapshot.
  std::string KeyHash;                   ///< Of the key of a Tenant.
};

/// The tenants of the versions in force, by the hashes of their keys. A key is
/// hashed before it is looked up, so the time of the look-up says nothing of
/// the keys that are known.
class TenantDirectory {
public:
  /// Keys longer than this are unknown without being hashed, in bytes.
  static constexpr size_t MaximumKeyBytes = 512;

  /// Number of tenants with metrics of their own.
  static constexpr size_t MaximumLabels = 16;
  static constexpr std::string_view OtherLabel = "other";

  /// Applies the snapshot in force; null: no tenant is known.
  void update(const config::SnapshotPointer &snapshot);

  /// Returns whether the versions in force hold tenants. Without any, nobody
  /// needs a key.
  bool hasTenants() const { return !ByName.empty(); }

  /// Identifies who sends a request with \p key, empty if it has none, on a
  /// route that is public or not.
  Identity identify(std::string_view key, bool isPublicRoute) const;

  /// Returns whether a key that was once identified is still a tenant's.
  bool holds(std::string_view keyHash) const {
    return ByKeyHash.contains(std::string(keyHash));
  }

  /// Returns the name by which metrics count a tenant: its own for the largest
  /// by their allotments, and OtherLabel for the rest together.
  std::string_view labelOf(std::string_view name) const;

  /// Returns the tenant of that name, or null.
  const config::Tenant *find(std::string_view name) const;

private:
  void chooseLabels();

  config::SnapshotPointer InForce;
  std::unordered_map<std::string, const config::Tenant *> ByKeyHash;
  std::unordered_map<std::string, const config::Tenant *> ByName;
  std::unordered_set<std::string_view> Labelled; ///< Of ByName.
};

} // namespace radishcross::tenants
