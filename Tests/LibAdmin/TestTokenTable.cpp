#include <LibAdmin/TokenTable.h>
#include <LibBase/Hash.h>

#include <doctest/doctest.h>

using namespace radishcross;
using admin::Role;
using base::ResultCode;

TEST_CASE("only a known token in a bearer header is found") {
  admin::TokenTable table(
      {{"ops", base::sha256Hex("ops-secret"), "permits", Role::Publisher},
       {"eye", base::sha256Hex("eye-secret"), "permits", Role::Reader}});
  base::LastReason reason;
  const auto *found = table.find("Bearer eye-secret", reason);
  REQUIRE(found);
  CHECK(found->Name == "eye");
  std::string unknown;
  for (const std::string &header :
       {std::string(), std::string("Bearer "), std::string("Bearer eye-secre"),
        std::string("Basic eye-secret"), std::string("eye-secret"),
        "Bearer " + base::sha256Hex("eye-secret"),
        "Bearer " + std::string(100000, 'a')}) {
    CHECK_FALSE(table.find(header, reason));
    CHECK(reason.code() == ResultCode::Unauthorised);
    // The reason is the same for every refusal.
    if (!unknown.empty())
      CHECK(reason.text() == unknown);
    unknown = reason.text();
  }
}

TEST_CASE("each role includes the previous ones") {
  const Role roles[] = {Role::Reader, Role::Publisher, Role::Administrator};
  for (Role holds : roles)
    for (Role needs : roles) {
      base::LastReason reason;
      CHECK(admin::allows({"a", "", "t", holds}, needs, reason) ==
            (static_cast<int>(holds) >= static_cast<int>(needs)));
    }
}
