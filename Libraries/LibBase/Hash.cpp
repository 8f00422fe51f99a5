#include <LibBase/Hash.h>

#include <array>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <xxhash.h>

namespace radishcross::base {

namespace {

constexpr size_t Sha256Bytes = 32;

std::string toHex(const unsigned char *bytes, size_t size) {
  constexpr std::string_view Digits = "0123456789abcdef";
  std::string out;
  out.reserve(size * 2);
  for (size_t i = 0; i < size; ++i) {
    out.push_back(Digits[bytes[i] >> 4]);
    out.push_back(Digits[bytes[i] & 15]);
  }
  return out;
}

} // namespace

uint64_t hash64(std::string_view bytes, uint64_t seed) {
  return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

uint64_t rendezvousWeight(std::string_view key, std::string_view candidate) {
  return hash64(candidate, hash64(key));
}

std::string sha256Hex(std::string_view bytes) {
  std::array<unsigned char, Sha256Bytes> digest{};
  unsigned int n = 0;
  EVP_Digest(bytes.data(), bytes.size(), digest.data(), &n, EVP_sha256(),
             nullptr);
  return toHex(digest.data(), n);
}

std::string hmacSha256(std::string_view key, std::string_view bytes) {
  std::array<unsigned char, Sha256Bytes> digest{};
  unsigned int n = 0;
  HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()),
       reinterpret_cast<const unsigned char *>(bytes.data()), bytes.size(),
       digest.data(), &n);
  return {reinterpret_cast<const char *>(digest.data()), n};
}

bool equalInConstantTime(std::string_view a, std::string_view b) {
  return a.size() == b.size() &&
         CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

} // namespace radishcross::base
