#include <LibBalance/HedgePolicy.h>

#include <LibBalance/RelativeTime.h>

#include <algorithm>
#include <utility>

namespace radishcross::balance {

namespace {

constexpr int64_t FullPermille = 1000;
constexpr int64_t MedianPermille = 500;

base::Duration atUsualSpeed(base::Duration time, int64_t timePermille) {
  return time * RelativeTime::UsualPermille /
         std::max<int64_t>(timePermille, 1);
}

base::Duration atSpeed(base::Duration time, int64_t timePermille) {
  return time * timePermille / RelativeTime::UsualPermille;
}

int64_t recentNumber(base::TimePoint now) {
  return now.time_since_epoch().count() / HedgePolicy::RecentPart.count();
}

} // namespace

HedgePolicy::HedgePolicy(HedgeSettings settings)
    : Settings(std::move(settings)) {}

bool HedgePolicy::isOn() const {
  return Settings.SharePermille > 0 ||
         std::any_of(Settings.ServiceSharePermille.begin(),
                     Settings.ServiceSharePermille.end(),
                     [](const auto &it) { return it.second > 0; });
}

bool HedgePolicy::isOn(std::string_view service) const {
  return Settings.sharePermille(service) > 0;
}

HedgePolicy::RecentCount &HedgePolicy::recentAt(ServiceState &service,
                                                base::TimePoint now) {
  const auto number = recentNumber(now);
  auto &out =
      service.Recent[static_cast<size_t>(number) % service.Recent.size()];
  if (out.Number != number)
    out = {number, 0, 0, 0, 0};
  return out;
}

/// Returns the sum of the last parts.
HedgePolicy::RecentCount HedgePolicy::recentOf(const ServiceState &service,
                                               base::TimePoint now) {
  RecentCount out;
  out.Number = recentNumber(now);
  for (const auto &it : service.Recent) {
    if (it.Number != out.Number && it.Number != out.Number - 1)
      continue;
    out.Started += it.Started;
    out.Watched += it.Watched;
    out.Late += it.Late;
    out.Refused += it.Refused;
  }
  return out;
}

void HedgePolicy::started(const std::string &service, int64_t headroomPermille,
                          base::TimePoint now) {
  auto &state = Services[service];
  state.Limit.started(
      Settings.sharePermille(service) * headroomPermille / FullPermille, now);
  ++recentAt(state, now).Started;
}

AnswerTimes *HedgePolicy::timesOf(const std::string &service,
                                  const std::string &route) {
  const auto key = service + "\n" + route;
  const auto it = Routes.find(key);
  if (it != Routes.end())
    return &it->second;
  if (Routes.size() >= MaximumRoutes)
    return nullptr;
  return &Routes[key];
}

std::optional<base::Duration> HedgePolicy::delay(const std::string &service,
                                                 const std::string &route,
                                                 int64_t timePermille,
                                                 base::TimePoint now) {
  auto *times = timesOf(service, route);
  const auto usual =
      times ? times->quantile(Settings.QuantilePermille, now) : std::nullopt;
  if (!usual)
    return std::nullopt;
  ++recentAt(Services[service], now).Watched;
  return std::max(MinimumDelay, atSpeed(*usual, timePermille));
}

void HedgePolicy::late(const std::string &service, base::TimePoint now) {
  ++recentAt(Services[service], now).Late;
}

void HedgePolicy::answered(const std::string &service, const std::string &route,
                           base::Duration time, int64_t timePermille,
                           bool abandoned, base::TimePoint now) {
  auto *times = timesOf(service, route);
  if (!times)
    return;
  const auto usual = atUsualSpeed(time, timePermille);
  if (abandoned)
    times->abandoned(usual, now);
  else
    times->observed(usual, now);
}

void HedgePolicy::refused(const std::string &service, base::TimePoint now) {
  ++recentAt(Services[service], now).Refused;
}

HedgeRefusal HedgePolicy::mayStart(const std::string &service,
                                   int64_t headroomPermille,
                                   base::TimePoint now) const {
  const auto it = Services.find(service);
  if (it == Services.end())
    return HedgeRefusal::Limit;
  const auto recent = recentOf(it->second, now);
  if (recent.Refused >= MinimumRefused &&
      recent.Refused * FullPermille > recent.Started * RefusedPermille)
    return HedgeRefusal::Refusals;
  if (headroomPermille <= 0)
    return HedgeRefusal::Load;
  const auto usuallyLate = FullPermille - Settings.QuantilePermille;
  if (recent.Late >= MinimumLate &&
      recent.Late * FullPermille > recent.Watched * LateFactor * usuallyLate)
    return HedgeRefusal::AllSlow;
  return it->second.Limit.available(headroomPermille, now)
             ? HedgeRefusal::None
             : HedgeRefusal::Limit;
}

std::optional<base::Duration> HedgePolicy::expected(const std::string &service,
                                                    const std::string &route,
                                                    int64_t timePermille,
                                                    base::Duration elapsed,
                                                    base::TimePoint now) {
  auto *times = timesOf(service, route);
  if (!times)
    return std::nullopt;
  if (elapsed > base::Duration::zero())
    return atSpeed(times->rest(atUsualSpeed(elapsed, timePermille), now),
                   timePermille);
  const auto median = times->quantile(MedianPermille, now);
  return median ? std::optional(atSpeed(*median, timePermille)) : std::nullopt;
}

void HedgePolicy::spend(const std::string &service, base::TimePoint now) {
  auto &state = Services[service];
  state.Limit.spend(now);
  ++state.Counts.Started;
}

HedgeCounts &HedgePolicy::counts(const std::string &service) {
  return Services[service].Counts;
}

std::map<std::string, HedgeCounts> HedgePolicy::countsByService() const {
  std::map<std::string, HedgeCounts> out;
  for (const auto &[name, state] : Services)
    out.emplace(name, state.Counts);
  return out;
}

} // namespace radishcross::balance
