#include <LibBase/Metrics.h>

#include <doctest/doctest.h>

using namespace radishcross::base;
using namespace std::chrono_literals;

TEST_CASE("references to counters stay valid and are exported to Prometheus") {
  Metrics metrics;
  uint64_t &calls = metrics.counter("calls_total{rank=\"critical\"}");
  metrics.counter("another_total");
  calls += 3;
  CHECK(metrics.prometheusText().find("calls_total{rank=\"critical\"} 3\n") !=
        std::string::npos);
}

TEST_CASE("quantiles are exact to one histogram bucket") {
  Metrics metrics;
  for (int i = 1; i <= 100; ++i)
    metrics.observe("latency_ms", i * 1ms);
  CHECK(metrics.quantileMilliseconds("latency_ms", 0.5) ==
        doctest::Approx(50).epsilon(0.1));
  CHECK(metrics.quantileMilliseconds("latency_ms", 0.99) ==
        doctest::Approx(99).epsilon(0.1));
  CHECK(metrics.prometheusText().find("latency_ms_bucket{le=\"+Inf\"} 100") !=
        std::string::npos);
}

TEST_CASE("gauges are removed by name, with all their labels") {
  Metrics metrics;
  metrics.setGauge("limit{service=\"a\"}", 1);
  metrics.setGauge("limit{service=\"b\"}", 2);
  metrics.setGauge("limits", 3);
  metrics.setGauge("limit", 4);
  metrics.removeGauges("limit");
  CHECK(metrics.prometheusText() == "limits 3\n");
}
