#pragma once

#include <LibBase/Clock.h>

#include <cstdint>
#include <memory>
#include <vector>

namespace radishcross::base {

/// Latencies counted in buckets of equal width on a logarithmic scale, from
/// 10 us to 100 s with a relative width of 7%.
class LatencyHistogram {
public:
  static constexpr double LowestMilliseconds = 0.01;
  static constexpr double HighestMilliseconds = 100000.0;

  /// A bucket that holds latencies.
  struct Bucket {
    double LowerMilliseconds = 0;
    double UpperMilliseconds = 0;
    double Count = 0;
  };

  LatencyHistogram();
  ~LatencyHistogram();
  LatencyHistogram(const LatencyHistogram &other);
  LatencyHistogram &operator=(const LatencyHistogram &other);

  void add(Duration latency);

  /// Adds the latencies of \p other.
  void add(const LatencyHistogram &other);

  uint64_t count() const { return Count; }
  double sumMilliseconds() const { return Sum; }

  /// Returns the number of latencies below LowestMilliseconds.
  double underflow() const;

  /// Returns the buckets that are not empty, in order, without those beyond the
  /// scale.
  std::vector<Bucket> buckets() const;

  /// Returns the upper bound, in milliseconds, of the bucket that contains
  /// \p quantile (0 to 1) of the latencies; 0 without any.
  double quantileMilliseconds(double quantile) const;

private:
  struct Storage;
  std::unique_ptr<Storage> Held;
  uint64_t Count = 0;
  double Sum = 0;
};

} // namespace radishcross::base
