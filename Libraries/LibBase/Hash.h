#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace radishcross::base {

/// Returns the 64-bit xxHash (XXH3) of \p bytes.
uint64_t hash64(std::string_view bytes, uint64_t seed = 0);

/// Returns the rendezvous weight of \p candidate for \p key: the candidate with
/// the highest weight owns the key.
uint64_t rendezvousWeight(std::string_view key, std::string_view candidate);

/// Returns the SHA-256 of \p bytes as 64 lower-case hexadecimal digits.
std::string sha256Hex(std::string_view bytes);

/// Returns the 32-byte HMAC-SHA256 of \p bytes under \p key.
std::string hmacSha256(std::string_view key, std::string_view bytes);

/// Compares two strings in a time that depends only on their lengths.
bool equalInConstantTime(std::string_view a, std::string_view b);

} // namespace radishcross::base
