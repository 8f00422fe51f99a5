#pragma once

#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace radishcross::http {

/// A mesh key for computing proofs (HMACs). The key schedule is set up once, as
/// that costs more than the HMAC of a short text.
class MeshKey {
public:
  explicit MeshKey(const std::string &secret);
  ~MeshKey();
  MeshKey(MeshKey &&other) noexcept;
  MeshKey &operator=(MeshKey &&other) noexcept;

  /// Returns the HMAC-SHA256 of \p text as 64 lower-case hexadecimal digits.
  std::string proof(std::string_view text) const;

private:
  struct Context;
  std::unique_ptr<Context> Held;
};

/// The mesh keys of one node: the first signs, all verify. Without keys the
/// network is trusted: proofs are empty and every message is accepted.
class MeshKeys {
public:
  explicit MeshKeys(const std::vector<std::string> &secrets);

  std::string sign(std::string_view text) const {
    return Keys.empty() ? std::string() : Keys.front().proof(text);
  }

  /// Returns whether one of the keys made \p proof of \p text.
  bool verify(std::string_view text, std::string_view proof) const;

  /// Returns whether there is no key.
  bool empty() const { return Keys.empty(); }

private:
  std::vector<MeshKey> Keys;
};

} // namespace radishcross::http
