#include "StandIns.h"

#include <LibBase/Hash.h>
#include <LibBase/Random.h>
#include <LibCalls/CallTypes.h>
#include <LibHttp/Client.h>
#include <LibHttp/Exchange.h>

#include <absl/flags/flag.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>
#include <algorithm>
#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <cstdio>
#include <map>
#include <memory>
#include <utility>

ABSL_FLAG(std::string, nodes, "", "IP:PORT,... of nodes' callers' listeners");
ABSL_FLAG(std::string, targets, "", "IP:PORT,... of stand-in targets to check");
ABSL_FLAG(double, rate, 100, "calls per second, independent of the answers");
ABSL_FLAG(double, seconds, 5, "duration of the load");
ABSL_FLAG(std::string, mix, "standard:GET /:1",
          "rank:METHOD /path:share,... of the calls");
ABSL_FLAG(uint32_t, body_bytes, 64, "size of the body of a POST");
ABSL_FLAG(uint32_t, timeout_ms, 10000,
          "time that a caller waits for an answer");
ABSL_FLAG(uint32_t, chain, 0,
          "depth of nested calls that targets make for each call");
ABSL_FLAG(double, cancel_share, 0,
          "share of calls that are cancelled by their callers");
ABSL_FLAG(uint32_t, crash_every, 0, "every Nth call crashes its target");
ABSL_FLAG(uint32_t, elsewhere, 0,
          "times that a call is sent to another node if one is leaving");
ABSL_FLAG(uint32_t, resend, 1, "times that a crash request is resent");

namespace radishcross::standins {

namespace {

namespace asio = boost::asio;
namespace json = boost::json;
namespace bh = boost::beast::http;
using calls::AttemptEnd;
using Clock = std::chrono::steady_clock;

constexpr std::chrono::milliseconds PollInterval{1};
constexpr std::chrono::milliseconds MaximumCancelDelay{20};
constexpr std::chrono::milliseconds ResendPause{200};
constexpr size_t IdsPerQuery = 500;
/// With a smaller pool, bursts would open and close connections and measure
/// ports instead of nodes.
constexpr size_t IdleConnectionsPerNode = 1000;
constexpr std::chrono::seconds ControlTimeout{10};

/// Outcome of a call as its caller sees it.
enum class End : uint8_t {
  Answered,
  RefusedNotRun,
  Unknown,
  Cut,
  Crossed,
  NotSent,
  Other,
  Cancelled,
  Pending,
};

constexpr base::EnumName<End> EndNames[] = {
    {End::Answered, "answered"}, {End::RefusedNotRun, "refused_not_run"},
    {End::Unknown, "unknown"},   {End::Cut, "cut"},
    {End::Crossed, "crossed"},   {End::NotSent, "not_sent"},
    {End::Other, "other"},       {End::Cancelled, "cancelled"},
    {End::Pending, "pending"},
};

/// One kind of call in the mix.
struct Kind {
  std::string RankName;
  bh::verb Method = bh::verb::get;
  std::string Path;
  double Share = 1;
};

/// Record of one call.
struct Call {
  uint16_t KindIndex = 0;
  End Ended = End::Pending;
};

struct RankFigures {
  uint64_t Offered = 0;
  std::array<uint64_t, std::size(EndNames)> Ends{};
  std::vector<uint32_t> Microseconds;
};

std::optional<std::vector<base::Address>> parseAddresses(const std::string &s) {
  std::vector<base::Address> out;
  base::LastReason reason;
  for (absl::string_view part : absl::StrSplit(s, ',', absl::SkipEmpty())) {
    auto it = base::parseAddress({part.data(), part.size()}, reason);
    if (!it)
      return std::nullopt;
    out.push_back(*it);
  }
  return out;
}

std::vector<Kind> parseMix(const std::string &text) {
  std::vector<Kind> kinds;
  for (absl::string_view part : absl::StrSplit(text, ',', absl::SkipEmpty())) {
    std::vector<std::string> it = absl::StrSplit(part, ':');
    std::vector<std::string> line =
        it.size() == 3 ? absl::StrSplit(it[1], ' ') : it;
    double share = 0;
    if (it.size() != 3 || line.size() != 2 || !absl::SimpleAtod(it[2], &share))
      return {};
    kinds.push_back({it[0], bh::string_to_verb(line[0]), line[1], share});
  }
  return kinds;
}

/// Open-loop load generator: sends calls at a fixed rate and verifies each
/// answer.
class Load {
public:
  Load(asio::io_context &context, std::vector<base::Address> nodes,
       std::vector<Kind> kinds)
      : Context(context), Pool(context, IdleConnectionsPerNode),
        Nodes(std::move(nodes)), Kinds(std::move(kinds)),
        RandomSource(absl::GetFlag(FLAGS_seed)) {
    for (const Kind &it : Kinds)
      ShareSum += it.Share;
  }

  /// Sends all calls, waits until they have ended, and queries the targets.
  asio::awaitable<void> run(std::vector<base::Address> targets) {
    double rate = absl::GetFlag(FLAGS_rate);
    auto total = static_cast<uint64_t>(rate * absl::GetFlag(FLAGS_seconds));
    Clock::time_point start = Clock::now();
    Calls.reserve(total);
    while (Calls.size() < total && !Interrupted) {
      std::chrono::duration<double> passed = Clock::now() - start;
      // Call N is due N periods after the start, the first (0) at once.
      auto due =
          std::min(total, static_cast<uint64_t>(passed.count() * rate) + 1);
      while (Calls.size() < due) {
        auto at = start + std::chrono::duration_cast<Clock::duration>(
                              std::chrono::duration<double>(
                                  static_cast<double>(Calls.size()) / rate));
        size_t seq = Calls.size();
        Calls.push_back({chooseKind(), End::Pending});
        Pending += 1;
        asio::co_spawn(Context, call(seq, at), asio::detached);
      }
      co_await pause(PollInterval);
    }
    while (Pending > 0)
      co_await pause(PollInterval);
    co_await queryTargets(targets);
    Context.stop();
  }

  void interrupt() { Interrupted = true; }

  void print() {
    json::object ranks;
    RankFigures all;
    for (auto &[name, figures] : FiguresByRank) {
      all.Offered += figures.Offered;
      for (size_t i = 0; i < all.Ends.size(); ++i)
        all.Ends[i] += figures.Ends[i];
      ranks[name] = summarise(figures);
      all.Microseconds.insert(all.Microseconds.end(),
                              figures.Microseconds.begin(),
                              figures.Microseconds.end());
    }
    json::object line = summarise(all);
    line["ranks"] = std::move(ranks);
    line["run_twice"] = RunTwice;
    line["run_twice_idempotent"] = RunTwiceIdempotent;
    line["told_not_run_but_run"] = ToldNotRunButRun;
    line["targets_asked"] = TargetsQueried;
    line["sent_elsewhere"] = Rerouted;
    std::printf("%s\n", json::serialize(line).c_str());
  }

private:
  asio::awaitable<void>
  pause(std::chrono::duration<double, std::milli> milliseconds) {
    asio::steady_timer timer(
        Context, std::chrono::duration_cast<Clock::duration>(milliseconds));
    boost::system::error_code ec;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
  }

  uint16_t chooseKind() {
    double pick = RandomSource.unit() * ShareSum;
    for (size_t i = 0; i + 1 < Kinds.size(); ++i) {
      pick -= Kinds[i].Share;
      if (pick < 0)
        return static_cast<uint16_t>(i);
    }
    return static_cast<uint16_t>(Kinds.size() - 1);
  }

  static std::string idOf(size_t seq) {
    return "c" + std::to_string(absl::GetFlag(FLAGS_seed)) + "-" +
           std::to_string(seq);
  }

  asio::awaitable<void> call(size_t seq, Clock::time_point scheduled) {
    const Kind &kind = Kinds[Calls[seq].KindIndex];
    uint32_t crashEvery = absl::GetFlag(FLAGS_crash_every);
    bool crashes = crashEvery > 0 && seq % crashEvery == crashEvery - 1;
    http::Request request = makeRequest(kind, seq, crashes);
    End end = co_await send(request);
    for (uint32_t n = 0; crashes && n < absl::GetFlag(FLAGS_resend); ++n) {
      co_await pause(ResendPause);
      request.set("X-Request-Id", idOf(seq) + "r" + std::to_string(n));
      end = co_await send(request);
    }
    RankFigures &figures = FiguresByRank[crashes ? "crash" : kind.RankName];
    figures.Offered += 1;
    figures.Ends[static_cast<size_t>(end)] += 1;
    if (end == End::Answered)
      figures.Microseconds.push_back(static_cast<uint32_t>(
          std::chrono::duration_cast<std::chrono::microseconds>(Clock::now() -
                                                                scheduled)
              .count()));
    Calls[seq].Ended = crashes ? End::Other : end;
    Pending -= 1;
  }

  /// Crash requests have their own path and empty bodies, so that the mesh sees
  /// them as equal to each other and different from all others.
  static http::Request makeRequest(const Kind &kind, size_t seq, bool crashes) {
    http::Request request(kind.Method, kind.Path, 11);
    request.set("X-Request-Id", idOf(seq));
    if (absl::GetFlag(FLAGS_chain) > 0)
      request.set("X-Test-Chain", std::to_string(absl::GetFlag(FLAGS_chain)));
    if (kind.Method != bh::verb::get)
      request.body() =
          idOf(seq) + std::string(absl::GetFlag(FLAGS_body_bytes), 'x');
    if (crashes) {
      request.target(kind.Path + "/crash");
      request.set("X-Test-Crash", "1");
      request.body().clear();
    }
    request.prepare_payload();
    return request;
  }

  /// Sends a request to a random node, and to the next ones if that one is
  /// leaving and has therefore not run it.
  asio::awaitable<End> send(http::Request &request) {
    size_t node = RandomSource.below(Nodes.size());
    for (uint32_t left = absl::GetFlag(FLAGS_elsewhere);; --left) {
      bool isLeaving = false;
      End end = co_await sendTo(Nodes[node], request, isLeaving);
      if (!isLeaving || left == 0)
        co_return end;
      Rerouted += 1;
      node = (node + 1) % Nodes.size();
    }
  }

  /// Returns whether the node is unreachable or reports that it drains.
  static bool indicatesLeaving(const http::ExchangeResult &result) {
    if (result.End != AttemptEnd::Answered)
      return result.End == AttemptEnd::NotSent;
    auto code = result.HttpResponse.find(calls::CodeHeader);
    return code != result.HttpResponse.end() &&
           code->value() == std::to_string(static_cast<unsigned>(
                                base::ResultCode::Draining));
  }

  asio::awaitable<End> sendTo(const base::Address &node, http::Request &request,
                              bool &isLeaving) {
    http::ExchangePlan plan;
    plan.Server = node;
    plan.ServerIsNode = true;
    plan.Timeout = std::chrono::milliseconds(absl::GetFlag(FLAGS_timeout_ms));
    request.set(bh::field::host, plan.Server.text());
    auto watch = std::make_shared<http::ClientWatch>();
    if (RandomSource.unit() < absl::GetFlag(FLAGS_cancel_share))
      asio::co_spawn(
          Context, [this, watch] { return cancelLater(watch); },
          asio::detached);
    http::ExchangeResult result =
        co_await http::exchange(Pool, plan, request, watch);
    isLeaving = indicatesLeaving(result);
    co_return classify(result, request);
  }

  /// Cancels a call after a random delay if it has not ended by then.
  asio::awaitable<void> cancelLater(std::shared_ptr<http::ClientWatch> watch) {
    co_await pause(MaximumCancelDelay * RandomSource.unit());
    if (!watch->OnGone)
      co_return;
    watch->Gone = true;
    std::exchange(watch->OnGone, nullptr)();
  }

  static End classify(const http::ExchangeResult &result,
                      const http::Request &request) {
    if (result.End == AttemptEnd::NotSent)
      return End::NotSent;
    if (result.End == AttemptEnd::CallerGone)
      return End::Cancelled;
    if (result.End != AttemptEnd::Answered)
      return End::Cut;
    auto outcome = result.HttpResponse.find(calls::OutcomeHeader);
    if (outcome != result.HttpResponse.end())
      return outcome->value() == "not-run" ? End::RefusedNotRun : End::Unknown;
    if (result.HttpResponse.result_int() != 200)
      return End::Other;
    json::object expected{{"id", std::string(request["X-Request-Id"])},
                          {"path", std::string(request.target())},
                          {"digest", base::hash64(request.body())}};
    return result.HttpResponse.body() == json::serialize(expected)
               ? End::Answered
               : End::Crossed;
  }

  /// Queries the targets for the number of runs of each call.
  asio::awaitable<void>
  queryTargets(const std::vector<base::Address> &targets) {
    for (size_t from = 0; from < Calls.size() && !targets.empty();
         from += IdsPerQuery) {
      size_t n = std::min(IdsPerQuery, Calls.size() - from);
      json::array ids;
      for (size_t i = from; i < from + n; ++i)
        ids.emplace_back(idOf(i));
      std::string query = json::serialize(json::object{{"ids", ids}});
      std::vector<uint64_t> runs(n);
      for (const base::Address &it : targets)
        co_await addRuns(it, query, runs);
      for (size_t i = 0; i < n; ++i)
        checkRuns(Calls[from + i], runs[i]);
    }
  }

  asio::awaitable<void> addRuns(const base::Address &target,
                                const std::string &query,
                                std::vector<uint64_t> &runs) {
    http::Request request(bh::verb::post, "/control/runs", 11);
    request.body() = query;
    base::LastReason reason;
    auto answer = co_await http::fetch(target, request, ControlTimeout, reason);
    boost::system::error_code ec;
    json::value counts = answer ? json::parse(answer->body(), ec) : nullptr;
    if (ec || !counts.is_object())
      co_return; // The target is gone, and its runs are unknown.
    TargetsQueried += 1;
    for (size_t i = 0; i < runs.size(); ++i)
      runs[i] += counts.at("counts").as_array().at(i).to_number<uint64_t>();
  }

  void checkRuns(const Call &call, uint64_t runs) {
    bool isGet = Kinds[call.KindIndex].Method == bh::verb::get;
    if (runs > 1)
      (isGet ? RunTwiceIdempotent : RunTwice) += 1;
    bool toldNotRun =
        call.Ended == End::RefusedNotRun || call.Ended == End::NotSent;
    ToldNotRunButRun += toldNotRun && runs > 0 ? 1 : 0;
  }

  static json::object summarise(RankFigures &figures) {
    json::object out{{"offered", figures.Offered}};
    for (const auto &row : EndNames)
      if (row.Value != End::Pending)
        out[row.Name] = figures.Ends[static_cast<size_t>(row.Value)];
    auto &list = figures.Microseconds;
    std::sort(list.begin(), list.end());
    auto at = [&](double quantile) {
      if (list.empty())
        return 0.0;
      auto i = static_cast<size_t>(quantile * static_cast<double>(list.size()));
      return list[std::min(i, list.size() - 1)] / 1000.0;
    };
    out["p50_ms"] = at(0.5);
    out["p99_ms"] = at(0.99);
    out["max_ms"] = at(1);
    return out;
  }

  asio::io_context &Context;
  http::ConnectionPool Pool;
  std::vector<base::Address> Nodes;
  std::vector<Kind> Kinds;
  base::Random RandomSource;
  double ShareSum = 0;
  std::vector<Call> Calls;
  std::map<std::string, RankFigures> FiguresByRank;
  uint64_t Pending = 0;
  uint64_t RunTwice = 0;
  uint64_t RunTwiceIdempotent = 0;
  uint64_t ToldNotRunButRun = 0;
  uint64_t TargetsQueried = 0;
  uint64_t Rerouted = 0;
  bool Interrupted = false;
};

} // namespace

int runLoad() {
  auto nodes = parseAddresses(absl::GetFlag(FLAGS_nodes));
  auto targets = parseAddresses(absl::GetFlag(FLAGS_targets));
  std::vector<Kind> kinds = parseMix(absl::GetFlag(FLAGS_mix));
  if (!nodes || nodes->empty() || !targets || kinds.empty()) {
    std::fprintf(stderr, "invalid --nodes, --targets or --mix\n");
    return 2;
  }
  asio::io_context context(1);
  Load load(context, *nodes, kinds);
  asio::signal_set signals(context, SIGINT, SIGTERM);
  signals.async_wait([&](auto ec, int) {
    if (!ec)
      load.interrupt();
  });
  asio::co_spawn(context, load.run(*targets), asio::detached);
  context.run();
  load.print();
  return 0;
}

} // namespace radishcross::standins
