#include <LibHttp/MeshKey.h>

#include <LibBase/Hash.h>

#include <algorithm>
#include <array>
#include <openssl/evp.h>
#include <openssl/params.h>
#include <string>

namespace radishcross::http {

namespace {

constexpr size_t ProofBytes = 32;

std::string toHex(const std::array<unsigned char, ProofBytes> &bytes) {
  constexpr std::string_view Digits = "0123456789abcdef";
  std::string out;
  out.reserve(bytes.size() * 2);
  for (unsigned char byte : bytes) {
    out += Digits[byte >> 4U];
    out += Digits[byte & 15U];
  }
  return out;
}

} // namespace

struct MeshKey::Context {
  Context()
      : Algorithm(EVP_MAC_fetch(nullptr, "HMAC", nullptr)),
        Mac(EVP_MAC_CTX_new(Algorithm)) {}
  ~Context() {
    EVP_MAC_CTX_free(Mac);
    EVP_MAC_free(Algorithm);
  }
  Context(const Context &) = delete;
  Context &operator=(const Context &) = delete;

  EVP_MAC *Algorithm;
  EVP_MAC_CTX *Mac;
};

MeshKey::MeshKey(const std::string &secret)
    : Held(std::make_unique<Context>()) {
  std::string digest = "SHA256";
  const OSSL_PARAM parameters[] = {
      OSSL_PARAM_construct_utf8_string("digest", digest.data(), 0),
      OSSL_PARAM_construct_end()};
  EVP_MAC_init(Held->Mac,
               reinterpret_cast<const unsigned char *>(secret.data()),
               secret.size(), parameters);
}

MeshKey::~MeshKey() = default;
MeshKey::MeshKey(MeshKey &&other) noexcept = default;
MeshKey &MeshKey::operator=(MeshKey &&other) noexcept = default;

std::string MeshKey::proof(std::string_view text) const {
  std::array<unsigned char, ProofBytes> bytes{};
  size_t size = 0;
  EVP_MAC_init(Held->Mac, nullptr, 0, nullptr);
  EVP_MAC_update(Held->Mac,
                 reinterpret_cast<const unsigned char *>(text.data()),
                 text.size());
  EVP_MAC_final(Held->Mac, bytes.data(), &size, bytes.size());
  return toHex(bytes);
}

MeshKeys::MeshKeys(const std::vector<std::string> &secrets) {
  Keys.reserve(secrets.size());
  for (const std::string &it : secrets)
    Keys.emplace_back(it);
}

bool MeshKeys::verify(std::string_view text, std::string_view proof) const {
  if (Keys.empty())
    return true;
  return std::any_of(Keys.begin(), Keys.end(), [&](const MeshKey &key) {
    return base::equalInConstantTime(key.proof(text), proof);
  });
}

} // namespace radishcross::http
