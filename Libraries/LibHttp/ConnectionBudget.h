#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

namespace radishcross::http {

/// Divides a number of connections among listeners. Each keeps a reserve that
/// the others cannot take; the rest goes to whoever needs it. Without I/O.
class ConnectionBudget {
public:
  using Share = uint32_t;

  explicit ConnectionBudget(size_t total) : Total(total) {}

  /// Adds a listener that can always have \p reserve connections.
  Share add(size_t reserve);

  /// Returns whether \p share may have one more connection.
  bool mayOpen(Share share) const;
  void opened(Share share) { ++Rows[share].Used; }
  void closed(Share share) { --Rows[share].Used; }

  size_t total() const { return Total; }

private:
  struct Row {
    size_t Reserve = 0;
    size_t Used = 0;
  };

  size_t Total;
  std::vector<Row> Rows;
};

} // namespace radishcross::http
