#include <LibBalance/LoadEstimate.h>

#include <algorithm>
#include <cstdlib>

namespace radishcross::balance {

namespace {

constexpr int64_t DisagreementDivisor = 4;
constexpr int64_t FullPermille = 1000;

} // namespace

void LoadEstimate::reported(uint32_t permille, base::TimePoint now) {
  Report = Sample{std::min<int64_t>(permille, FullPermille), now};
}

void LoadEstimate::observed(uint32_t permille, base::TimePoint now) {
  Observation = Sample{std::min<int64_t>(permille, FullPermille), now};
  if (!Report || now - Report->At > ReportLifetime)
    return;
  const auto gap = std::abs(Report->Permille - Observation->Permille);
  Disagreement += (gap - Disagreement) / DisagreementDivisor;
}

base::Duration LoadEstimate::age(base::TimePoint now) const {
  if (!Report && !Observation)
    return {};
  base::TimePoint last = Report ? Report->At : Observation->At;
  if (Observation)
    last = std::max(last, Observation->At);
  return now - last;
}

uint32_t LoadEstimate::current(base::TimePoint now) const {
  if (Observation && now - Observation->At < ObservedLifetime)
    return static_cast<uint32_t>(Observation->Permille);
  if (!Report)
    return NeutralPermille;
  const auto age = std::min(now - Report->At, ReportLifetime);
  const int64_t fresh =
      FullPermille - age.count() * FullPermille / ReportLifetime.count();
  const int64_t trusted =
      FullPermille - std::min(Disagreement, DistrustPermille) * FullPermille /
                         DistrustPermille;
  const int64_t weight = fresh * trusted / FullPermille;
  return static_cast<uint32_t>(
      (Report->Permille * weight + NeutralPermille * (FullPermille - weight)) /
      FullPermille);
}

} // namespace radishcross::balance
