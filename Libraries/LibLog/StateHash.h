#pragma once

#include <LibBase/Hash.h>

#include <cstdint>
#include <string_view>

namespace radishcross::log {

/// Incremental hash of a set of elements: elements can be added and removed,
/// and their order does not matter.
class StateHash {
public:
  void add(uint64_t element) { Sum += element; }
  void remove(uint64_t element) { Sum -= element; }
  uint64_t value() const { return Sum; }

private:
  uint64_t Sum = 0;
};

/// Computes the hash of one element from its fields, in order.
class ElementHash {
public:
  /// \p kind makes elements of different kinds hash differently.
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
