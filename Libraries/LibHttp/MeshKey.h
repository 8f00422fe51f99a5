#pragma once

#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace radishcross::http {

/// One mesh key, ready to make proofs: the key is set up once, as this costs
/// more than the proof of a short text.
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

/// The keys of one node: the first signs, all verify. Without any key the
/// network is trusted: proofs are empty and every message is taken.
class MeshKeys {
public:
  explicit MeshKeys(const std::vector<std::string> &secrets);

  std::string sign(std::string_view text) const {
    return Keys.empty() ? std::string() : Keys.front().proof(text);
  }

  /// Tells whether one of the keys made \p proof of \p text.
  bool verify(std::string_view text, std::string_view proof) const;

  /// Tells whether there is no key.
  bool empty() const { return Keys.empty(); }

private:
  std::vector<MeshKey> Keys;
};

} // namespace radishcross::http
