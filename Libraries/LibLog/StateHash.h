#pragma once

#include <LibBase/Hash.h>

#include <cstdint>
#include <string_view>

namespace radishcross::log {

/// A hash of a set of elements that is kept up to date as elements come and go.
/// It does not depend on their order.
class StateHash {
public:
  void add(uint64_t element) { Sum += element; }
  void remove(uint64_t element) { Sum -= element; }
  uint64_t value() const { return Sum; }

private:
  uint64_t Sum = 0;
};

/// Builds the hash of one element from its fields in order.
class ElementHash {
public:
  /// \p kind keeps elements of different kinds apart.
  explicit ElementHash(uint64_t kind) : Value(kind) {}

  ElementHash &text(std::string_view field) {
    Value = base::hash64(field, Value);
    return *this;
  }

  ElementHash &number(uint64_t field) {
    std::string_view bytes(reinterpret_cast<const char *>(&field),
                           sizeof(field));
    Value = base::hash64(bytes, Value);
    return *this;
  }

  uint64_t value() const { return Value; }

private:
  uint64_t Value;
};

} // namespace radishcross::log
