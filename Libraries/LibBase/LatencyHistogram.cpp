#include <LibBase/LatencyHistogram.h>

#include <boost/histogram.hpp>

namespace radishcross::base {

namespace {

namespace bh = boost::histogram;

constexpr int BucketCount = 240;
constexpr double MicrosecondsPerMillisecond = 1000.0;

using LogAxis = bh::axis::regular<double, bh::axis::transform::log>;
using BucketStorage = decltype(bh::make_histogram(LogAxis()));

} // namespace

struct LatencyHistogram::Storage {
  BucketStorage Buckets = bh::make_histogram(
      LogAxis(BucketCount, LowestMilliseconds, HighestMilliseconds));
};

LatencyHistogram::LatencyHistogram() : Held(std::make_unique<Storage>()) {}

LatencyHistogram::~LatencyHistogram() = default;

LatencyHistogram::LatencyHistogram(const LatencyHistogram &other)
    : Held(std::make_unique<Storage>(*other.Held)), Count(other.Count),
      Sum(other.Sum) {}

LatencyHistogram &LatencyHistogram::operator=(const LatencyHistogram &other) {
  if (this != &other) {
    *Held = *other.Held;
    Count = other.Count;
    Sum = other.Sum;
  }
  return *this;
}

void LatencyHistogram::add(Duration latency) {
  const double ms =
      static_cast<double>(latency.count()) / MicrosecondsPerMillisecond;
  Held->Buckets(ms);
  ++Count;
  Sum += ms;
}

void LatencyHistogram::add(const LatencyHistogram &other) {
  // By bucket, with those beyond the scale. The library's own sum is a false
  // alarm to the compiler under the sanitizers.
  for (int i = -1; i <= BucketCount; ++i)
    Held->Buckets.at(i) += other.Held->Buckets.at(i);
  Count += other.Count;
  Sum += other.Sum;
}

double LatencyHistogram::underflow() const { return Held->Buckets.at(-1); }

std::vector<LatencyHistogram::Bucket> LatencyHistogram::buckets() const {
  std::vector<Bucket> out;
  for (int i = 0; i < BucketCount; ++i) {
    const double n = Held->Buckets.at(i);
    if (n == 0)
      continue;
    const auto bin = Held->Buckets.axis().bin(i);
    out.push_back({bin.lower(), bin.upper(), n});
  }
  return out;
}

double LatencyHistogram::quantileMilliseconds(double quantile) const {
  if (Count == 0)
    return 0;
  const double wanted = quantile * static_cast<double>(Count);
  double cumulative = underflow();
  if (cumulative >= wanted && cumulative > 0)
    return LowestMilliseconds;
  for (const auto &it : buckets()) {
    cumulative += it.Count;
    if (cumulative >= wanted)
      return it.UpperMilliseconds;
  }
  return HighestMilliseconds;
}

} // namespace radishcross::base
