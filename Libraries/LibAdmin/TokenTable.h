#pragma once

#include <LibAdmin/NodeSettings.h>
#include <LibBase/LastReason.h>

#include <optional>
#include <string_view>
#include <vector>

namespace radishcross::admin {

/// The administration tokens of one node, stored only as hashes.
class TokenTable {
public:
  explicit TokenTable(std::vector<Token> tokens) : Tokens(std::move(tokens)) {}

  /// Returns the token that matches an `Authorization: Bearer TOKEN` header.
  /// Every hash is compared, each in constant time, so that timing reveals
  /// nothing about the tokens. Fails with Unauthorised; the reason is the same
  /// for a missing, a malformed and an unknown token.
  const Token *find(std::string_view authorization,
                    base::LastReason &reason) const;

private:
  std::vector<Token> Tokens;
};

/// Returns whether \p token has at least \p role; fails with Forbidden.
bool allows(const Token &token, Role role, base::LastReason &reason);

} // namespace radishcross::admin
