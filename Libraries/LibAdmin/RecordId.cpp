#include <LibAdmin/RecordId.h>

#include <algorithm>
#include <cctype>
#include <random>

namespace radishcross::admin {

namespace {

constexpr size_t IdBytes = 16;
constexpr size_t MinimumIdLength = 8;
constexpr size_t MaximumIdLength = 64;

} // namespace

std::string newRecordId() {
  constexpr std::string_view Digits = "0123456789abcdef";
  std::random_device source;
  std::string out;
  for (size_t i = 0; i < IdBytes; ++i) {
    auto byte = source() & 255U;
    out.push_back(Digits[byte >> 4]);
    out.push_back(Digits[byte & 15]);
  }
  return out;
}

bool isRecordId(std::string_view id) {
  return id.size() >= MinimumIdLength && id.size() <= MaximumIdLength &&
         std::all_of(id.begin(), id.end(), [](unsigned char c) {
           return std::isalnum(c) || c == '-';
         });
}

} // namespace radishcross::admin
