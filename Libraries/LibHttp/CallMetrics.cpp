#include <LibHttp/CallMetrics.h>

#include <LibBase/EnumNames.h>
#include <LibHttp/GateRunner.h>

namespace radishcross::http {

namespace {

/// Label values for calls without a service and for services beyond
/// MaxServices.
constexpr std::string_view NoService = "none";
constexpr std::string_view OtherService = "other";

/// Returns \p name with characters replaced that are not allowed in a label
/// value.
std::string labelText(std::string_view name) {
  std::string out;
  for (unsigned char byte : name) {
    if (byte == '"' || byte == '\\' || byte < ' ')
      out += '_';
    else
      out += static_cast<char>(byte);
  }
  return out;
}

} // namespace

CallMetrics::CallMetrics(base::Metrics &metrics) : Counters(&metrics) {
  for (const auto &rank : config::RankNames) {
    PerRank &row = Ranks[static_cast<size_t>(rank.Value)];
    std::string label = "{rank=\"" + std::string(rank.Name) + "\"";
    row.LatencyName = "call_latency_ms" + label + "}";
    row.QueueName = "gate_queue_ms" + label + "}";
    row.ExpectedWaitName = "gate_queue_expected_ms" + label + "}";
    row.TargetName = "target_latency_ms" + label + "}";
    for (const auto &outcome : calls::CallOutcomeNames)
      row.Totals[static_cast<size_t>(outcome.Value)] =
          &metrics.counter("calls_total" + label + ",outcome=\"" +
                           std::string(outcome.Name) + "\"}");
  }
}

void CallMetrics::ended(std::string_view service, config::Rank rank,
                        calls::CallOutcome outcome, base::ResultCode code,
                        base::Duration latency) {
  PerRank &row = Ranks[static_cast<size_t>(rank)];
  *row.Totals[static_cast<size_t>(outcome)] += 1;
  totalOf(service.empty() ? NoService : service, rank, outcome, code) += 1;
  Counters->observe(row.LatencyName, latency);
}

uint64_t &CallMetrics::totalOf(std::string_view service, config::Rank rank,
                               calls::CallOutcome outcome,
                               base::ResultCode code) {
  std::string name(service);
  if (Services.size() >= MaxServices && !Services.contains(name))
    name = OtherService;
  Reasons &reasons = Services[name];
  for (const auto &it : reasons)
    if (it.CallRank == rank && it.Outcome == outcome && it.Code == code)
      return *it.Total;
  std::string labels =
      "{service=\"" + labelText(name) + "\",rank=\"" +
      std::string(base::nameOf(config::RankNames, rank)) + "\",outcome=\"" +
      std::string(base::nameOf(calls::CallOutcomeNames, outcome)) +
      "\",reason=\"" + std::string(base::describe(code).Name) + "\"}";
  uint64_t &total = Counters->counter("calls_by_service_total" + labels);
  reasons.push_back({rank, outcome, code, &total});
  return total;
}

void CallMetrics::tenantAsked(std::string_view label, bool isGranted) {
  Counters->counter("tenant_requests_total{tenant=\"" + labelText(label) +
                    "\",result=\"" + (isGranted ? "granted" : "refused") +
                    "\"}") += 1;
}

void CallMetrics::countGateCall(const MeshCall &call,
                                const GateOutcome &outcome) {
  const PerRank &row = Ranks[static_cast<size_t>(call.CallRank)];
  Counters->observe(row.QueueName, outcome.Waited);
  Counters->observe(row.ExpectedWaitName, outcome.LoadOnArrival.ExpectedWait);
  if (outcome.HasRun) {
    Counters->observe(row.TargetName, outcome.Ran);
    return;
  }
  std::string labels =
      "{rank=\"" + std::string(base::nameOf(config::RankNames, call.CallRank)) +
      "\",reason=\"" + std::string(base::describe(outcome.Result.Code).Name) +
      "\"}";
  Counters->counter("gate_refused_total" + labels) += 1;
  Counters->counter(
      "gate_refused_for_total{cause=\"" +
      std::string(base::nameOf(admission::RefusalCauseNames, outcome.Why)) +
      "\"}") += 1;
}

} // namespace radishcross::http
