#pragma once

#include <LibBase/Clock.h>
#include <LibBase/LatencyHistogram.h>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace radishcross::base {

/// Counters, gauges and latency histograms of one process, exported in the
/// Prometheus text format. Names may carry labels:
/// `calls_total{rank="critical"}`. Not thread-safe: a node runs on one thread.
class Metrics {
public:
  Metrics();
  ~Metrics();
  Metrics(const Metrics &) = delete;
  Metrics &operator=(const Metrics &) = delete;

  /// Returns a reference to the named counter, created at 0. It stays valid for
  /// the lifetime of this object, so hot paths look it up once.
  uint64_t &counter(std::string_view name);

  /// Sets the named gauge to \p value.
  void setGauge(std::string_view name, double value);

  /// Removes the gauges named \p baseName with any labels, so that objects that
  /// no longer exist are not reported.
  void removeGauges(std::string_view baseName);

  /// Adds one latency to the named histogram, in milliseconds.
  void observe(std::string_view name, Duration latency);

  /// Returns the upper bound, in milliseconds, of the bucket that contains
  /// \p quantile (0 to 1) of the observations; 0 without observations.
  double quantileMilliseconds(std::string_view name, double quantile) const;

  /// Returns all values in the Prometheus text format.
  std::string prometheusText() const;

private:
  std::map<std::string, uint64_t, std::less<>> Counters;
  std::map<std::string, double, std::less<>> Gauges;
  std::map<std::string, LatencyHistogram, std::less<>> Histograms;
};

} // namespace radishcross::base
