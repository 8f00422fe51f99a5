#include <LibNode/DepartureStore.h>

#include <LibBase/Logger.h>

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <utility>

namespace radishcross::node {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

/// The time between two reads of the record while the store does not answer; it
/// doubles with each, unless a departure waits to be written.
constexpr base::Duration ShortestLoadInterval = std::chrono::seconds(1);
constexpr base::Duration LongestLoadInterval = std::chrono::seconds(16);

} // namespace

std::string encodeDepartures(const fleet::Departures &departures) {
  json::object out;
  for (const auto &[id, epoch] : departures)
    out[id] = epoch;
  return json::serialize(out);
}

fleet::Departures decodeDepartures(std::string_view text) {
  boost::system::error_code ec;
  json::value document = json::parse(text, ec);
  fleet::Departures out;
  if (!ec && document.is_object())
    for (const auto &it : document.get_object()) {
      auto epoch = it.value().is_number() ? it.value().to_number<uint64_t>(ec)
                                          : uint64_t{0};
      if (!ec && epoch > 0)
        out.emplace(it.key(), epoch);
    }
  if (ec || !document.is_object() || out.size() < document.get_object().size())
    base::log(base::LogLevel::Warning, "departures cannot all be read",
              {{"record", std::string(text)}});
  return out;
}

DepartureStore::DepartureStore(log::KeyedStore &store, std::string node,
                               Restored onRestored)
    : OnRestored(std::move(onRestored)),
      Record(store, log::Topic::Departures, std::move(node),
             [this] { wake(); }) {}

DepartureStore::~DepartureStore() { wake(); }

void DepartureStore::setDesired(const fleet::Departures &departures) {
  auto text = departures.empty() ? std::string() : encodeDepartures(departures);
  if (text != Desired)
    LoadInterval = ShortestLoadInterval;
  Desired = std::move(text);
  if (IsLoaded)
    Record.setDesired(Desired);
}

void DepartureStore::tick(base::TimePoint now) {
  if (IsLoaded)
    return Record.tick(now);
  if (IsLoading || now - LastLoad < LoadInterval)
    return;
  LoadInterval =
      std::clamp(LoadInterval * 2, ShortestLoadInterval, LongestLoadInterval);
  IsLoading = true;
  LastLoad = now;
  Record.load([this](const auto &recalled) { loaded(recalled); });
}

void DepartureStore::loaded(const StoredNodeRecord::Recalled &recalled) {
  IsLoading = false;
  IsLoaded = recalled.Reached;
  base::log(recalled.Reached ? base::LogLevel::Info : base::LogLevel::Warning,
            "departures recalled",
            {{"source", "store"},
             {"reached", recalled.Reached ? "yes" : "no"},
             {"targets", recalled.Text},
             {"reason", recalled.Reason.text()}});
  if (!recalled.Reached)
    return;
  OnRestored(recalled.Text.empty() ? fleet::Departures()
                                   : decodeDepartures(recalled.Text),
             recalled.Others);
}

asio::awaitable<void> DepartureStore::awaitStored(base::Duration limit) {
  if (isStored())
    co_return;
  asio::steady_timer timer(co_await asio::this_coro::executor, limit);
  auto waiting = Waiting;
  waiting->insert(&timer);
  boost::system::error_code ec;
  co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
  // This object may be gone by now.
  waiting->erase(&timer);
}

void DepartureStore::wake() {
  if (!isStored())
    return;
  for (auto *it : *Waiting)
    it->cancel();
}

} // namespace radishcross::node
