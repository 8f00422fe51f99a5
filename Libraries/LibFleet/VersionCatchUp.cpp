#include <LibFleet/VersionCatchUp.h>

#include <algorithm>
#include <utility>

namespace radishcross::fleet {

namespace {
/// Holders kept: enough to get past busy and unreachable ones.
constexpr size_t MaximumHolders = 8;
} // namespace

void VersionCatchUp::versionAnnounced(uint64_t version, const NodeId &holder,
                                      base::TimePoint now) {
  if (version < Newest || version == 0)
    return;
  if (version > Newest) {
    Newest = version;
    Holders.clear();
    JitteredDelay = Settings.Delay +
                    base::Duration(Rng.below(Settings.Delay.count() / 2 + 1));
    NewestReadDue = now + JitteredDelay;
  }
  bool isKnown =
      std::find(Holders.begin(), Holders.end(), holder) != Holders.end();
  if (!isKnown && Holders.size() < MaximumHolders)
    Holders.push_front(holder);
}

base::Duration VersionCatchUp::transferTime(const CatchUpView &view) const {
  return std::chrono::microseconds(view.Bytes * 1'000'000 * Settings.Transfers /
                                   Settings.LeastBytesPerSecond);
}

bool VersionCatchUp::isDue(const CatchUpView &view, base::TimePoint now) {
  if (Newest <= view.Held || now < AskedUntil || now < NextAsk)
    return false;
  // The delay for this node's own read starts when that read may begin.
  if (view.IsReadSpaced)
    NewestReadDue = std::max(NewestReadDue, now + JitteredDelay);
  if (view.IsReading && now < NewestReadDue + transferTime(view))
    return false;
  NextAsk = now + Settings.Spacing / 2 +
            base::Duration(Rng.below(Settings.Spacing.count()));
  AskedUntil = now + Settings.AnswerTimeout + transferTime(view);
  return true;
}

std::optional<NodeId> VersionCatchUp::nextHolder() {
  if (Holders.empty())
    return std::nullopt;
  auto out = std::move(Holders.front());
  Holders.pop_front();
  Holders.push_back(out);
  return out;
}

void VersionCatchUp::requestEnded(base::TimePoint now,
                                  base::Duration retryAfter) {
  AskedUntil = {};
  if (retryAfter.count() > 0)
    NextAsk = std::max(NextAsk,
                       now + retryAfter / 2 +
                           base::Duration(Rng.below(retryAfter.count() + 1)));
}

} // namespace radishcross::fleet
