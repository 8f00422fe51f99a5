#include <LibNode/UsageMeter.h>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <utility>

namespace radishcross::node {

namespace {

/// Returns "configuration/route" for the route that was found.
std::string qualifiedName(const config::ResolvedRoute &hit,
                          const config::Snapshot &snapshot) {
  for (const auto &held : snapshot.versions())
    for (const auto &route : held.Content->Routes)
      if (&route == hit.Matched)
        return held.Configuration + "/" + route.Name;
  return hit.Matched->Name;
}

} // namespace

UsageMeter::UsageMeter(calls::CallBroker &broker) : Next(&broker) {}

calls::CallHandle UsageMeter::begin(const calls::CallRequest &request,
                                    config::SnapshotPointer snapshot,
                                    base::TimePoint now) {
  auto hit = snapshot->findRoute(request.Method, request.Host, request.Path);
  if (hit.Matched && !request.FromMesh) {
    auto &use = useOf(hit, snapshot);
    int64_t slice = now.time_since_epoch() / SliceLength;
    size_t cell = static_cast<size_t>(slice) % SliceCount;
    if (use.Slice[cell] != slice)
      use.Calls[cell] = 0;
    use.Slice[cell] = slice;
    ++use.Calls[cell];
  }
  return Next->begin(request, std::move(snapshot), now);
}

UsageMeter::RouteUse &
UsageMeter::useOf(const config::ResolvedRoute &hit,
                  const config::SnapshotPointer &snapshot) {
  if (snapshot != Newest) {
    Newest = snapshot;
    Known.clear();
  }
  auto &known = Known[hit.Matched];
  if (known)
    return *known;
  auto &use = Routes[qualifiedName(hit, *snapshot)];
  use.Service = hit.ServiceName;
  use.CallRank = hit.Matched->CallRank;
  known = &use;
  return use;
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

void UsageMeter::keepAnswer(calls::CallHandle call, std::string &&answer,
                            base::TimePoint now) {
  Next->keepAnswer(call, std::move(answer), now);
}

std::string UsageMeter::keptAnswer(calls::CallHandle call) const {
  return Next->keptAnswer(call);
}

void UsageMeter::whenResumed(const Resumed &resumed) {
  Next->whenResumed(resumed);
}

boost::json::value UsageMeter::usage(base::TimePoint now) const {
  constexpr double WindowSeconds =
      std::chrono::duration<double>(SliceLength * SliceCount).count();
  int64_t current = now.time_since_epoch() / SliceLength;
  boost::json::array rows;
  for (const auto &[name, use] : Routes) {
    uint64_t calls = 0;
    for (size_t i = 0; i < SliceCount; ++i)
      if (current - use.Slice[i] < static_cast<int64_t>(SliceCount))
        calls += use.Calls[i];
    if (calls == 0)
      continue;
    rows.push_back(boost::json::object{
        {"route", name},
        {"service", use.Service},
        {"rank", base::nameOf(config::RankNames, use.CallRank)},
        {"calls_per_second", static_cast<double>(calls) / WindowSeconds}});
  }
  return boost::json::object{{"routes", std::move(rows)}};
}

} // namespace radishcross::node
