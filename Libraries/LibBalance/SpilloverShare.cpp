#include <LibBalance/SpilloverShare.h>

#include <algorithm>

namespace radishcross::balance {

namespace {

constexpr int64_t FullPermille = 1000;

} // namespace

uint32_t SpilloverShare::update(std::optional<uint32_t> localLoad,
                                base::TimePoint now) {
  if (!localLoad) {
    Share = FullPermille;
    ChangedAt = now;
    return FullPermille;
  }
  const auto excess =
      std::max<int64_t>(int64_t{*localLoad} - int64_t{SpilloverPermille}, 0);
  const int64_t wanted = std::min(
      FullPermille, excess * FullPermille / (FullPermille - SpilloverPermille));
  const auto elapsed =
      std::min<base::Duration>(now - ChangedAt, std::chrono::seconds(10));
  const int64_t step = elapsed.count() * PermillePerSecond / 1'000'000;
  if (step > 0) {
    Share += std::clamp(wanted - Share, -step, step);
    ChangedAt = now;
  }
  return static_cast<uint32_t>(Share);
}

} // namespace radishcross::balance
