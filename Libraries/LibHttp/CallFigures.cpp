#include <LibHttp/CallFigures.h>

namespace radishcross::http {

CallFigures::CallFigures(base::Metrics &metrics) : Counters(&metrics) {
  for (const auto &rank : config::RankNames) {
    PerRank &row = Ranks[static_cast<size_t>(rank.Value)];
    std::string label = "{rank=\"" + std::string(rank.Name) + "\"";
    row.LatencyName = "call_latency_ms" + label + "}";
    for (const auto &outcome : calls::CallOutcomeNames)
      row.Totals[static_cast<size_t>(outcome.Value)] =
          &metrics.counter("calls_total" + label + ",outcome=\"" +
                           std::string(outcome.Name) + "\"}");
  }
}

void CallFigures::ended(config::Rank rank, calls::CallOutcome outcome,
                        base::Duration latency) {
  PerRank &row = Ranks[static_cast<size_t>(rank)];
  *row.Totals[static_cast<size_t>(outcome)] += 1;
  Counters->observe(row.LatencyName, latency);
}

} // namespace radishcross::http
