#include <LibNode/DepartureKeeper.h>

#include <LibBase/Logger.h>

#include <utility>

namespace radishcross::node {

DepartureKeeper::DepartureKeeper(log::KeyedStore &store, std::string node,
                                 admission::TargetLeases &leases,
                                 std::function<void()> onChanged)
    : Store(store, std::move(node),
            [this](const fleet::Departures &it) {
              restore(it, "store");
              OnChanged();
            }),
      Leases(&leases), OnChanged(std::move(onChanged)) {}

void DepartureKeeper::recall(base::TimePoint now) {
  IsRecalling = true;
  RecallingSince = LastTick = now;
  Leases->awaitRestore();
  Store.load();
}

void DepartureKeeper::keep(peer::FleetRuntime &fleet, base::TimePoint now) {
  auto departures = Leases->departures();
  Store.setDesired(departures);
  Store.tick(now);
  // Until then the peers keep those of the earlier process.
  if (!IsRecalling)
    fleet.setDepartures(std::move(departures));
}

void DepartureKeeper::tick(peer::FleetRuntime &fleet, base::TimePoint now) {
  LastTick = now;
  Store.tick(now);
  bool hasStoreAnswered =
      Store.isLoaded() || now - RecallingSince >= MaxStoreWait;
  if (!IsRecalling || !fleet.ready() || !hasStoreAnswered)
    return;
  restore(fleet.formerDepartures(), "peers");
  Leases->restoreEnded();
  IsRecalling = false;
  OnChanged();
}

void DepartureKeeper::restore(const fleet::Departures &departures,
                              std::string_view source) {
  const auto news = Leases->restore(departures, LastTick);
  base::log(base::LogLevel::Info, "departures restored",
            {{"source", std::string(source)},
             {"targets", encodeDepartures(departures)},
             {"news", std::to_string(news)}});
}

} // namespace radishcross::node
