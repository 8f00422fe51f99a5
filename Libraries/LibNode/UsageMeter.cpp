#include <LibNode/UsageMeter.h>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <utility>

namespace radishcross::node {

namespace {

/// Returns the matched route's name as "configuration/route".
std::string qualifiedName(const config::ResolvedRoute &resolved,
                          const config::Snapshot &snapshot) {
  for (const auto &held : snapshot.versions())
    for (const auto &route : held.Content->Routes)
      if (&route == resolved.Matched)
        return held.Configuration + "/" + route.Name;
  return resolved.Matched->Name;
}

} // namespace

UsageMeter::UsageMeter(calls::CallBroker &broker) : Next(&broker) {}

calls::CallHandle UsageMeter::begin(const calls::CallRequest &request,
                                    config::SnapshotPointer snapshot,
                                    base::TimePoint now) {
  auto resolved =
      snapshot->findRoute(request.Method, request.Host, request.Path);
  if (resolved.Matched && !request.FromMesh) {
    auto &routeUsage = usageOf(resolved, snapshot);
    int64_t number = now.time_since_epoch() / BucketLength;
    size_t bucket = static_cast<size_t>(number) % BucketCount;
    if (routeUsage.BucketNumber[bucket] != number)
      routeUsage.Calls[bucket] = 0;
    routeUsage.BucketNumber[bucket] = number;
    ++routeUsage.Calls[bucket];
  }
  return Next->begin(request, std::move(snapshot), now);
}

UsageMeter::RouteUsage &
UsageMeter::usageOf(const config::ResolvedRoute &resolved,
                    const config::SnapshotPointer &snapshot) {
  if (snapshot != CachedSnapshot) {
    CachedSnapshot = snapshot;
    CachedUsage.clear();
  }
  auto &cached = CachedUsage[resolved.Matched];
  if (cached)
    return *cached;
  auto &routeUsage = Routes[qualifiedName(resolved, *snapshot)];
  routeUsage.Service = resolved.ServiceName;
  routeUsage.CallRank = resolved.Matched->CallRank;
  cached = &routeUsage;
  return routeUsage;
}

calls::CallStep UsageMeter::step(calls::CallHandle call) const {
  return Next->step(call);
}

calls::CallStep UsageMeter::attemptEnded(calls::CallHandle call,
                                         const calls::AttemptResult &result,
                                         base::TimePoint now) {
  return Next->attemptEnded(call, result, now);
}

std::optional<calls::CallStep> UsageMeter::hedge(calls::CallHandle call,
                                                 base::TimePoint now) {
  return Next->hedge(call, now);
}

void UsageMeter::end(calls::CallHandle call, base::TimePoint now) {
  Next->end(call, now);
}

void UsageMeter::storeAnswer(calls::CallHandle call, std::string &&answer,
                             base::TimePoint now) {
  Next->storeAnswer(call, std::move(answer), now);
}

std::string UsageMeter::storedAnswer(calls::CallHandle call) const {
  return Next->storedAnswer(call);
}

void UsageMeter::setOnResumed(const Resumed &resumed) {
  Next->setOnResumed(resumed);
}

boost::json::value UsageMeter::usage(base::TimePoint now) const {
  constexpr double WindowSeconds =
      std::chrono::duration<double>(BucketLength * BucketCount).count();
  int64_t current = now.time_since_epoch() / BucketLength;
  boost::json::array rows;
  for (const auto &[name, routeUsage] : Routes) {
    uint64_t calls = 0;
    for (size_t i = 0; i < BucketCount; ++i)
      if (current - routeUsage.BucketNumber[i] <
          static_cast<int64_t>(BucketCount))
        calls += routeUsage.Calls[i];
    if (calls == 0)
      continue;
    rows.push_back(boost::json::object{
        {"route", name},
        {"service", routeUsage.Service},
        {"rank", base::nameOf(config::RankNames, routeUsage.CallRank)},
        {"calls_per_second", static_cast<double>(calls) / WindowSeconds}});
  }
  return boost::json::object{{"routes", std::move(rows)}};
}

} // namespace radishcross::node
