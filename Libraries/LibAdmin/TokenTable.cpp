#include <LibAdmin/TokenTable.h>

#include <LibBase/Hash.h>

namespace radishcross::admin {

namespace {

constexpr std::string_view Scheme = "Bearer ";

/// Longer tokens are rejected before hashing, to save the processor time.
constexpr size_t MaximumTokenBytes = 512;

} // namespace

const Token *TokenTable::find(std::string_view authorization,
                              base::LastReason &reason) const {
  const Token *found = nullptr;
  if (authorization.starts_with(Scheme) &&
      authorization.size() <= Scheme.size() + MaximumTokenBytes) {
    std::string hash = base::sha256Hex(authorization.substr(Scheme.size()));
    for (const auto &it : Tokens)
      if (base::equalInConstantTime(hash, it.Sha256))
        found = &it;
  }
  if (!found)
    reason.fail(base::ResultCode::Unauthorised,
                "expected the header \"Authorization: Bearer TOKEN\" with a "
                "token that this node knows");
  return found;
}

bool allows(const Token &token, Role role, base::LastReason &reason) {
  if (token.GrantedRole >= role)
    return true;
  reason.fail(base::ResultCode::Forbidden,
              "found the role " +
                  std::string(base::nameOf(RoleNames, token.GrantedRole)) +
                  ", expected " + std::string(base::nameOf(RoleNames, role)));
  return false;
}

} // namespace radishcross::admin
