#include <LibTenants/TenantDirectory.h>

#include <LibBase/Hash.h>

#include <algorithm>
#include <utility>
#include <vector>

namespace radishcross::tenants {

void TenantDirectory::update(const config::SnapshotPointer &snapshot) {
  if (snapshot == InForce)
    return;
  InForce = snapshot;
  ByKeyHash.clear();
  ByName.clear();
  Labelled.clear();
  if (!snapshot)
    return;
  for (const auto &version : snapshot->versions()) {
    for (const auto &it : version.Content->Tenants) {
      ByName.emplace(it.Name, &it);
      for (const auto &hash : it.KeyHashes)
        ByKeyHash.emplace(hash, &it);
    }
  }
  chooseLabels();
}

void TenantDirectory::chooseLabels() {
  std::vector<const config::Tenant *> largest;
  for (const auto &[name, tenant] : ByName)
    largest.push_back(tenant);
  const auto isLarger = [](const auto *a, const auto *b) {
    return std::pair(b->RatePerSecond, std::string_view(a->Name)) <
           std::pair(a->RatePerSecond, std::string_view(b->Name));
  };
  std::sort(largest.begin(), largest.end(), isLarger);
  largest.resize(std::min(largest.size(), MaximumLabels));
  for (const auto *it : largest)
    Labelled.insert(it->Name);
}

std::string_view TenantDirectory::labelOf(std::string_view name) const {
  const auto it = Labelled.find(name);
  return it == Labelled.end() ? OtherLabel : *it;
}

Identity TenantDirectory::identify(std::string_view key,
                                   bool isPublicRoute) const {
  Identity out;
  if (!hasTenants() || isPublicRoute)
    return out;
  out.What = Identity::Kind::Unknown;
  if (key.empty() || key.size() > MaximumKeyBytes)
    return out;
  auto hash = base::sha256Hex(key);
  const auto it = ByKeyHash.find(hash);
  if (it == ByKeyHash.end())
    return out;
  out.What = Identity::Kind::Tenant;
  out.Asker = it->second;
  out.KeyHash = std::move(hash);
  return out;
}

const config::Tenant *TenantDirectory::find(std::string_view name) const {
  const auto it = ByName.find(std::string(name));
  return it == ByName.end() ? nullptr : it->second;
}

} // namespace radishcross::tenants
