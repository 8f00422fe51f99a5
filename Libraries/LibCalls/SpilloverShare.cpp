#include <LibCalls/SpilloverShare.h>

#include <algorithm>

namespace radishcross::calls {

namespace {

constexpr int64_t FullPermille = 1000;

} // namespace

uint32_t LocalityShare::update(std::optional<uint32_t> ownLoad,
                               base::TimePoint now) {
  if (!ownLoad) {
    Share = FullPermille;
    ChangedAt = now;
    return FullPermille;
  }
  const auto over =
      std::max<int64_t>(int64_t{*ownLoad} - int64_t{SpillPermille}, 0);
  const int64_t wanted = std::min(
      FullPermille, over * FullPermille / (FullPermille - SpillPermille));
  const auto passed =
      std::min<base::Duration>(now - ChangedAt, std::chrono::seconds(10));
  const int64_t step = passed.count() * PermillePerSecond / 1'000'000;
  if (step > 0) {
    Share += std::clamp(wanted - Share, -step, step);
    ChangedAt = now;
  }
  return static_cast<uint32_t>(Share);
}

} // namespace radishcross::calls
