#include <LibBalance/ExtraWorkLimit.h>

#include <algorithm>

namespace radishcross::balance {

namespace {

constexpr int64_t FullPermille = 1000;

} // namespace

int64_t ExtraWorkLimit::numberOf(base::TimePoint now) {
  return now.time_since_epoch().count() / (Window.count() / PartCount);
}

/// The oldest part that counts begins less than a window before now.
bool ExtraWorkLimit::counts(const Part &part, int64_t newest) {
  return part.Number >= 0 && part.Number > newest - PartCount &&
         part.Number <= newest;
}

void ExtraWorkLimit::started(int64_t permille, base::TimePoint now) {
  const auto number = numberOf(now);
  auto &part = Parts[static_cast<size_t>(number) % Parts.size()];
  if (part.Number != number)
    part = {number, 0};
  part.Left += permille;
}

bool ExtraWorkLimit::available(int64_t headroomPermille,
                               base::TimePoint now) const {
  const auto newest = numberOf(now);
  int64_t left = 0;
  for (const auto &it : Parts)
    left += counts(it, newest) ? it.Left : 0;
  return left * headroomPermille / FullPermille >= FullPermille;
}

void ExtraWorkLimit::spend(base::TimePoint now) {
  const auto newest = numberOf(now);
  int64_t owed = FullPermille;
  for (auto number = newest - PartCount + 1; number <= newest; ++number) {
    if (number < 0)
      continue;
    auto &part = Parts[static_cast<size_t>(number) % Parts.size()];
    if (part.Number != number)
      continue;
    const auto paid = std::min(part.Left, owed);
    part.Left -= paid;
    owed -= paid;
  }
}

} // namespace radishcross::balance
