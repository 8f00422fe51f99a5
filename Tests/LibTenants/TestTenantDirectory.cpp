#include <LibBase/Hash.h>
#include <LibTenants/TenantDirectory.h>

#include <doctest/doctest.h>
#include <memory>
#include <string>
#include <vector>

using namespace radishcross;
using Kind = tenants::Identity::Kind;

namespace {

config::Tenant tenant(const std::string &name,
                      const std::vector<std::string> &keys,
                      uint32_t ratePerSecond = 10) {
  config::Tenant out;
  out.Name = name;
  for (const auto &it : keys)
    out.KeyHashes.push_back(base::sha256Hex(it));
  out.RatePerSecond = ratePerSecond;
  return out;
}

config::SnapshotPointer snapshotOf(std::vector<config::Tenant> tenants) {
  config::VersionContent content;
  content.Tenants = std::move(tenants);
  base::LastReason reason;
  auto out = config::Snapshot::create(
      {{"quotes", 1, std::make_shared<const config::VersionContent>(content)}},
      1, reason);
  REQUIRE_MESSAGE(out, reason.text());
  return *out;
}

} // namespace

TEST_CASE("without tenants nobody needs a key") {
  tenants::TenantDirectory directory;
  CHECK(directory.identify("", false).What == Kind::Open);
  directory.update(snapshotOf({}));
  CHECK(directory.identify("anything", false).What == Kind::Open);
  CHECK_FALSE(directory.hasTenants());
}

TEST_CASE("a key belongs to one tenant, and an unknown or absent one to none") {
  tenants::TenantDirectory directory;
  directory.update(
      snapshotOf({tenant("a", {"k1", "k2"}), tenant("b", {"k3"})}));
  for (const char *key : {"k1", "k2"}) {
    const auto who = directory.identify(key, false);
    REQUIRE(who.What == Kind::Tenant);
    CHECK(who.Asker->Name == "a");
    CHECK(directory.holds(who.KeyHash));
  }
  for (const std::string &key :
       {std::string(), std::string("k4"), std::string("K1"),
        base::sha256Hex("k1"),
        std::string(tenants::TenantDirectory::MaximumKeyBytes + 1, 'k')})
    CHECK(directory.identify(key, false).What == Kind::Unknown);
}

TEST_CASE("a public route needs no key") {
  tenants::TenantDirectory directory;
  directory.update(snapshotOf({tenant("a", {"k1"})}));
  for (const char *key : {"", "k1", "k4"}) {
    const auto who = directory.identify(key, true);
    CHECK(who.What == Kind::Open);
    CHECK(who.Asker == nullptr);
  }
}

TEST_CASE("a key that a newer snapshot takes away is held no longer") {
  tenants::TenantDirectory directory;
  const auto before = snapshotOf({tenant("a", {"k1", "k2"})});
  directory.update(before);
  const auto who = directory.identify("k1", false);
  REQUIRE(directory.holds(who.KeyHash));
  directory.update(snapshotOf({tenant("a", {"k2"})}));
  CHECK_FALSE(directory.holds(who.KeyHash));
  CHECK(directory.identify("k1", false).What == Kind::Unknown);
  directory.update(nullptr);
  CHECK_FALSE(directory.hasTenants());
}

TEST_CASE("the largest tenants have metrics of their own, the rest together") {
  std::vector<config::Tenant> tenants;
  for (uint32_t n = 0; n < 40; ++n)
    tenants.push_back(tenant("t" + std::to_string(n), {}, n));
  tenants::TenantDirectory directory;
  directory.update(snapshotOf(tenants));
  size_t own = 0;
  for (const auto &it : tenants)
    own += directory.labelOf(it.Name) == it.Name ? 1 : 0;
  CHECK(own == tenants::TenantDirectory::MaximumLabels);
  CHECK(directory.labelOf("t39") == "t39");
  CHECK(directory.labelOf("t0") == "other");
}

TEST_CASE("a snapshot with one key or name in two configurations is refused") {
  auto content = [](std::vector<config::Tenant> tenants) {
    config::VersionContent out;
    out.Tenants = std::move(tenants);
    return std::make_shared<const config::VersionContent>(out);
  };
  base::LastReason reason;
  CHECK_FALSE(
      config::Snapshot::create({{"x", 1, content({tenant("a", {"k"})})},
                                {"y", 1, content({tenant("b", {"k"})})}},
                               1, reason));
  CHECK(reason.code() == base::ResultCode::BadValue);
  CHECK_FALSE(
      config::Snapshot::create({{"x", 1, content({tenant("a", {"k"})})},
                                {"y", 1, content({tenant("a", {"l"})})}},
                               1, reason));
  CHECK(reason.code() == base::ResultCode::DuplicateName);
}
