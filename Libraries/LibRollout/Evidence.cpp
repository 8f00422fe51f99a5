#include <LibRollout/Evidence.h>

#include <algorithm>
#include <cmath>

namespace radishcross::rollout {

namespace {

constexpr base::Duration BucketLength = std::chrono::milliseconds(250);

/// Returns the growth from \p before to \p now. Counts of one boot never fall.
Tally growth(const Tally &now, const Tally &before) {
  if (now.Answers < before.Answers || now.Bad < before.Bad)
    return {};
  return {now.Answers - before.Answers, now.Bad - before.Bad};
}

} // namespace

void Evidence::add(const NodeCounts &counts, base::TimePoint now) {
  auto &node = Nodes[counts.Node];
  if (counts.Boot < node.Boot ||
      (counts.Boot == node.Boot && counts.Sequence <= node.Sequence))
    return;
  if (counts.Boot != node.Boot)
    node.Last.clear();
  node.Boot = counts.Boot;
  node.Sequence = counts.Sequence;
  while (!Buckets.empty() && now - Buckets.front().At > Recent)
    Buckets.pop_front();
  if (Buckets.empty() || now - Buckets.back().At >= BucketLength)
    Buckets.push_back({now, {}});
  for (const auto &it : counts.Routes) {
    auto &last = node.Last[it.Route];
    const Pair more{growth(it.New, last.New), growth(it.Old, last.Old)};
    last = {it.New, it.Old};
    for (auto *sum : {&Whole[it.Route], &Buckets.back().Counts[it.Route]}) {
      sum->New.add(more.New);
      sum->Old.add(more.Old);
    }
    TotalNew.add(more.New);
    TotalOld.add(more.Old);
  }
}

bool Evidence::isWorse(const Tally &fresh, const Tally &old) {
  if (fresh.Answers < LeastAnswers || fresh.Bad < LeastBad)
    return false;
  const auto n = static_cast<double>(fresh.Answers);
  const auto share = static_cast<double>(fresh.Bad) / n;
  // Without old answers, half of the new ones must be bad.
  if (old.Answers < LeastAnswers)
    return share >= 0.5;
  const auto m = static_cast<double>(old.Answers);
  const auto before = static_cast<double>(old.Bad) / m;
  if (share < 2 * before)
    return false;
  // Two-proportion z-test with the pooled share.
  const auto pooled = static_cast<double>(fresh.Bad + old.Bad) / (n + m);
  const auto error = std::sqrt(pooled * (1 - pooled) * (1 / n + 1 / m));
  return share - before >= LeastDeviation * error;
}

std::optional<Finding> Evidence::judge(const std::string &route,
                                       const Pair &counts,
                                       const Tally &oldBefore) const {
  const auto &old = counts.Old.Answers < LeastAnswers ? oldBefore : counts.Old;
  if (!isWorse(counts.New, old))
    return std::nullopt;
  return Finding{route, counts.New, old};
}

std::optional<Finding> Evidence::judgeAll(const Routes &counts) const {
  Pair sum;
  for (const auto &[route, it] : counts) {
    const auto whole = Whole.find(route);
    if (auto found = judge(route, it, whole->second.Old))
      return found;
    sum.New.add(it.New);
    sum.Old.add(it.Old);
  }
  return judge({}, sum, TotalOld);
}

std::optional<Finding> Evidence::findFault(base::TimePoint now) const {
  if (auto found = judgeAll(Whole))
    return found;
  Routes recent;
  for (const auto &bucket : Buckets) {
    if (now - bucket.At > Recent)
      continue;
    for (const auto &[route, it] : bucket.Counts) {
      recent[route].New.add(it.New);
      recent[route].Old.add(it.Old);
    }
  }
  return judgeAll(recent);
}

} // namespace radishcross::rollout
