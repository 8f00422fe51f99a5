#include <LibBase/LastReason.h>

namespace radishcross::base {

std::string LastReason::line() const {
  const auto &row = describe(Code);
  return std::to_string(static_cast<int>(Code)) + " " + std::string(row.Name) +
         ": " + Text;
}

} // namespace radishcross::base
