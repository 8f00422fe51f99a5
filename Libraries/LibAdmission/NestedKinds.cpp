#include <LibAdmission/NestedKinds.h>

namespace radishcross::admission {

namespace {

/// The length of such a run in mean distances of two calls from the own
/// service. Calls that come from everywhere make one in 22,000 cases (e^10), so
/// a kind of clients' calls is hardly ever taken for nested.
constexpr uint64_t ChanceFactor = 10;
/// Counts are halved after this many calls.
constexpr uint64_t HalvingCalls = 8192;
constexpr uint64_t NeverReached = UINT64_MAX;

} // namespace

bool NestedKinds::arrived(const Kind &kind, bool isFromOwnService) {
  if (!Kinds.contains(kind) && Kinds.size() >= MaximumKinds)
    return false;
  if (++Counted >= HalvingCalls)
    decay();
  auto &seen = Kinds[kind];
  ++seen.Calls;
  if (isFromOwnService) {
    ++seen.FromOwnService;
    seen.Run = 0;
    return false;
  }
  ++seen.Run;
  return seen.Run >= minimumRun();
}

/// Kinds without any call from the own service say nothing about how often
/// clients call from there.
uint64_t NestedKinds::minimumRun() const {
  uint64_t calls = 0;
  uint64_t fromOwnService = 0;
  for (const auto &[kind, seen] : Kinds) {
    if (seen.FromOwnService == 0)
      continue;
    calls += seen.Calls;
    fromOwnService += seen.FromOwnService;
  }
  return fromOwnService == 0 ? NeverReached
                             : ChanceFactor * calls / fromOwnService;
}

void NestedKinds::decay() {
  Counted = 0;
  for (auto &[kind, seen] : Kinds) {
    seen.Calls /= 2;
    seen.FromOwnService /= 2;
  }
}

} // namespace radishcross::admission
