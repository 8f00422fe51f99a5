#include <LibHttp/ConnectionBudget.h>

#include <algorithm>

namespace radishcross::http {

ConnectionBudget::Share ConnectionBudget::add(size_t reserve) {
  Rows.push_back({reserve, 0});
  return static_cast<Share>(Rows.size() - 1);
}

bool ConnectionBudget::mayOpen(Share share) const {
  size_t taken = 0;
  for (size_t i = 0; i < Rows.size(); ++i)
    taken +=
        i == share ? Rows[i].Used : std::max(Rows[i].Used, Rows[i].Reserve);
  return taken < Total;
}

} // namespace radishcross::http
