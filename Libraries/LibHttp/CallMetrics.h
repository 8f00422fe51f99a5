#pragma once

#include <LibBase/Metrics.h>
#include <LibBase/ResultCode.h>
#include <LibCalls/CallTypes.h>
#include <LibConfig/Rank.h>

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace radishcross::http {

struct GateOutcome;
struct MeshCall;

/// Metrics of calls; the counters are looked up once. At the client's node:
/// calls_total{rank,outcome}, call_latency_ms{rank},
/// calls_by_service_total{service,rank,outcome,reason}. At the target's node:
/// gate_queue_ms{rank}, target_latency_ms{rank},
/// gate_refused_total{rank,reason}. At the client's node also
/// tenant_requests_total{tenant,result} of tenants with an allotment.
class CallMetrics {
public:
  /// Number of services with their own label; further ones are counted as
  /// "other", which bounds the label's cardinality when the configuration
  /// changes often.
  static constexpr size_t MaxServices = 64;

  explicit CallMetrics(base::Metrics &metrics);

  /// Counts a finished call; \p service is empty if no service was found.
  void ended(std::string_view service, config::Rank rank,
             calls::CallOutcome outcome, base::ResultCode code,
             base::Duration latency);

  /// Counts a request of a tenant that has an allotment.
  void tenantAsked(std::string_view label, bool isGranted);

  /// Counts a call that has passed or been refused by the gate of its target's
  /// node.
  void countGateCall(const MeshCall &call, const GateOutcome &outcome);

private:
  struct PerRank {
    std::array<uint64_t *, std::size(calls::CallOutcomeNames)> Totals{};
    std::string LatencyName;
    std::string QueueName;
    std::string ExpectedWaitName;
    std::string TargetName;
  };
  struct PerReason {
    config::Rank CallRank;
    calls::CallOutcome Outcome;
    base::ResultCode Code;
    uint64_t *Total;
  };
  using Reasons = std::vector<PerReason>;

  uint64_t &totalOf(std::string_view service, config::Rank rank,
                    calls::CallOutcome outcome, base::ResultCode code);

  base::Metrics *Counters;
  std::array<PerRank, config::RankCount> Ranks;
  std::unordered_map<std::string, Reasons> Services;
};

} // namespace radishcross::http
