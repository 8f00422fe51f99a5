#include <LibBase/Metrics.h>

#include <boost/histogram.hpp>
#include <cmath>
#include <sstream>

namespace radishcross::base {

namespace {

namespace bh = boost::histogram;

constexpr unsigned BucketCount = 240;
constexpr double LowestMilliseconds = 0.01;
constexpr double HighestMilliseconds = 100000.0;

using LogAxis = bh::axis::regular<double, bh::axis::transform::log>;
using BucketStorage = decltype(bh::make_histogram(LogAxis()));

/// Appends `_bucket` to the name and adds the label `le`; the name may already
/// have labels.
std::string bucketName(std::string_view name, const std::string &bound) {
  size_t brace = name.find('{');
  std::string baseName(name.substr(0, brace));
  std::string labels;
  if (brace != std::string_view::npos)
    labels = std::string(name.substr(brace + 1, name.size() - brace - 2)) + ",";
  return baseName + "_bucket{" + labels + "le=\"" + bound + "\"}";
}

std::string withSuffix(std::string_view name, std::string_view suffix) {
  size_t brace = name.find('{');
  std::string out(name.substr(0, brace));
  out += suffix;
  if (brace != std::string_view::npos)
    out += name.substr(brace);
  return out;
}

} // namespace

struct Metrics::Histogram {
  BucketStorage Buckets = bh::make_histogram(
      LogAxis(BucketCount, LowestMilliseconds, HighestMilliseconds));
  uint64_t Count = 0;
  double Sum = 0;
};

Metrics::Metrics() = default;
Metrics::~Metrics() = default;

uint64_t &Metrics::counter(std::string_view name) {
  auto it = Counters.find(name);
  if (it == Counters.end())
    it = Counters.emplace(name, 0).first;
  return it->second;
}

void Metrics::setGauge(std::string_view name, double value) {
  auto it = Gauges.find(name);
  if (it == Gauges.end())
    it = Gauges.emplace(name, 0).first;
  it->second = value;
}

void Metrics::removeGauges(std::string_view baseName) {
  std::erase_if(Gauges, [baseName](const auto &it) {
    std::string_view name = it.first;
    return name.substr(0, name.find('{')) == baseName;
  });
}

void Metrics::observe(std::string_view name, Duration latency) {
  auto it = Histograms.find(name);
  if (it == Histograms.end())
    it = Histograms.emplace(name, std::make_unique<Histogram>()).first;
  double ms = static_cast<double>(latency.count()) / 1000.0;
  it->second->Buckets(ms);
  ++it->second->Count;
  it->second->Sum += ms;
}

double Metrics::quantileMilliseconds(std::string_view name,
                                     double quantile) const {
  auto it = Histograms.find(name);
  if (it == Histograms.end() || it->second->Count == 0)
    return 0;
  const auto &buckets = it->second->Buckets;
  double targetCount = quantile * static_cast<double>(it->second->Count);
  double cumulative = 0;
  for (int i = -1; i <= static_cast<int>(BucketCount); ++i) {
    cumulative += buckets.at(i);
    if (cumulative >= targetCount && cumulative > 0)
      return i < 0 ? LowestMilliseconds : buckets.axis().bin(i).upper();
  }
  return HighestMilliseconds;
}

std::string Metrics::prometheusText() const {
  std::ostringstream out;
  for (const auto &[name, value] : Counters)
    out << name << ' ' << value << '\n';
  for (const auto &[name, value] : Gauges)
    out << name << ' ' << value << '\n';
  for (const auto &[name, histogram] : Histograms) {
    double cumulative = histogram->Buckets.at(-1);
    for (int i = 0; i < static_cast<int>(BucketCount); ++i) {
      double n = histogram->Buckets.at(i);
      cumulative += n;
      if (n == 0)
        continue;
      std::ostringstream bound;
      bound << histogram->Buckets.axis().bin(i).upper();
      out << bucketName(name, bound.str()) << ' ' << cumulative << '\n';
    }
    out << bucketName(name, "+Inf") << ' ' << histogram->Count << '\n';
    out << withSuffix(name, "_sum") << ' ' << histogram->Sum << '\n';
    out << withSuffix(name, "_count") << ' ' << histogram->Count << '\n';
  }
  return out.str();
}

} // namespace radishcross::base
