#pragma once

#include <LibBase/Clock.h>

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace radishcross::base {

/// Counters, gauges and latency histograms of one process, printed in the
/// Prometheus text form. Names may carry labels:
/// `calls_total{rank="critical"}`. Not thread safe: a node runs on one thread.
class Metrics {
public:
  Metrics();
  ~Metrics();
  Metrics(const Metrics &) = delete;
  Metrics &operator=(const Metrics &) = delete;

  /// Returns a counter that stays valid as long as the Metrics do, so that hot
  /// paths look it up once.
  uint64_t &counter(std::string_view name);

  /// Sets a gauge.
  void setGauge(std::string_view name, double value);

  /// Drops the gauges named \p baseName, whatever their labels are, so that
  /// what is gone is not told any more.
  void removeGauges(std::string_view baseName);

  /// Adds one latency to the named histogram.
  void observe(std::string_view name, Duration latency);

  /// Returns the latency in milliseconds below which \p quantile (0 to 1) of
  /// the observations lie; 0 without observations.
  double quantileMilliseconds(std::string_view name, double quantile) const;

  /// Returns all values in the Prometheus text form.
  std::string prometheusText() const;

private:
  struct Histogram;
  std::map<std::string, uint64_t, std::less<>> Counters;
  std::map<std::string, double, std::less<>> Gauges;
  std::map<std::string, std::unique_ptr<Histogram>, std::less<>> Histograms;
};

} // namespace radishcross::base
