#pragma once

#include <LibBase/Hash.h>

#include <algorithm>
#include <cstdint>
#include <string_view>
#include <vector>

namespace radishcross::http {

/// The requests, by id, that a server has refused over one connection. Faulty
/// servers repeat a refusal; nothing tells the copy from the refusal of the
/// same request sent again.
class RefusalHistory {
public:
  /// A connection with this many refusals is not reused.
  static constexpr size_t MaximumRefusals = 64;

  void add(std::string_view requestId) {
    Hashes.push_back(base::hash64(requestId));
  }
  bool contains(std::string_view requestId) const {
    return !empty() && std::find(Hashes.begin(), Hashes.end(),
                                 base::hash64(requestId)) != Hashes.end();
  }
  bool empty() const { return Hashes.empty(); }
  bool isFull() const { return Hashes.size() >= MaximumRefusals; }

private:
  std::vector<uint64_t> Hashes;
};

} // namespace radishcross::http
