#include <LibNode/DepartureKeeper.h>

#include <LibBase/Logger.h>

#include <utility>

namespace radishcross::node {

DepartureKeeper::DepartureKeeper(log::KeyedStore &store, std::string node,
                                 admission::TargetLeases &leases,
                                 std::function<void()> onChanged,
                                 OthersRead onOthersRead)
    : Store(store, std::move(node),
            [this, onOthersRead = std::move(onOthersRead)](
                const fleet::Departures &it,
                const std::vector<log::KeyedRecord> &others) {
              restore(it, "store");
              OnChanged();
              onOthersRead(others);
            }),
      Leases(&leases), OnChanged(std::move(onChanged)) {}

void DepartureKeeper::recall(uint64_t startedUnixMs, base::TimePoint now) {
  IsRecalling = true;
  IsComplete = false;
  RecallingSince = LastTick = now;
  Leases->awaitRestore(startedUnixMs);
  Store.load();
}

void DepartureKeeper::keep(peer::FleetRuntime &fleet, base::TimePoint now) {
  auto departures = Leases->departures();
  Store.setDesired(departures);
  Store.tick(now);
  // Until then the peers keep those of the earlier process.
  if (!IsRecalling)
    fleet.setDepartures(std::move(departures), IsComplete);
}

boost::asio::awaitable<bool>
DepartureKeeper::awaitKept(const peer::FleetRuntime &fleet) {
  std::weak_ptr<bool> weak = LifetimeToken;
  co_await Store.awaitStored(MaxAcknowledgementDelay);
  if (weak.expired())
    co_return false;
  co_return Store.isStored() ||
      (!IsRecalling && fleet.areDeparturesConfirmed());
}

void DepartureKeeper::tick(peer::FleetRuntime &fleet, base::TimePoint now) {
  LastTick = now;
  Store.tick(now);
  if (IsComplete)
    return;
  const bool isWaitOver = now - RecallingSince >= MaxStoreWait;
  IsStorePrompt = IsStorePrompt || (Store.isLoaded() && !isWaitOver);
  if (IsRecalling && (!fleet.ready() || (!IsStorePrompt && !isWaitOver)))
    return;
  // A peer that remembers the earlier process may also be met later.
  const bool isKnown = fleet.hasFormerDepartures();
  const bool isNews = IsRecalling || isKnown;
  if (isNews)
    endRecall(fleet);
  IsComplete = isKnown || now - RecallingSince >= MaxTimeIncomplete;
  if (isNews || IsComplete)
    OnChanged();
}

void DepartureKeeper::endRecall(const peer::FleetRuntime &fleet) {
  using Knowledge = admission::DepartureKnowledge;
  IsRecalling = false;
  restore(fleet.formerDepartures(), "peers");
  // A store that is away now was likely so when the earlier process ended.
  const auto knowledge = fleet.hasFormerDepartures() ? Knowledge::Complete
                         : IsStorePrompt             ? Knowledge::StoreOnly
                                                     : Knowledge::Partial;
  Leases->restoreEnded(knowledge);
  base::log(
      base::LogLevel::Info, "departure recall ended",
      {{"knowledge", std::string(base::nameOf(
                         admission::DepartureKnowledgeNames, knowledge))}});
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
