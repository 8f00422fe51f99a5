#include <LibBase/Metrics.h>

#include <boost/histogram.hpp>
#include <cmath>
#include <sstream>

namespace radishcross::base {

namespace {

namespace bh = boost::histogram;

constexpr unsigned Bins = 240;
constexpr double LowestMilliseconds = 0.01;
constexpr double HighestMilliseconds = 100000.0;

using LogAxis = bh::axis::regular<double, bh::axis::transform::log>;
using Store = decltype(bh::make_histogram(LogAxis()));

/// Inserts `le="..."` and a suffix into a name that may already have labels.
std::string bucketName(std::string_view name, const std::string &bound) {
  size_t brace = name.find('{');
  std::string stem(name.substr(0, brace));
  std::string labels;
  if (brace != std::string_view::npos)
    labels = std::string(name.substr(brace + 1, name.size() - brace - 2)) + ",";
  return stem + "_bucket{" + labels + "le=\"" + bound + "\"}";
}

std::string suffixed(std::string_view name, std::string_view suffix) {
  size_t brace = name.find('{');
  std::string out(name.substr(0, brace));
  out += suffix;
  if (brace != std::string_view::npos)
    out += name.substr(brace);
  return out;
}

} // namespace

struct Metrics::Histogram {
  Store Cells = bh::make_histogram(
      LogAxis(Bins, LowestMilliseconds, HighestMilliseconds));
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

void Metrics::dropGauges(std::string_view stem) {
  std::erase_if(Gauges, [stem](const auto &it) {
    std::string_view name = it.first;
    return name.substr(0, name.find('{')) == stem;
  });
}

void Metrics::observe(std::string_view name, Duration latency) {
  auto it = Histograms.find(name);
  if (it == Histograms.end())
    it = Histograms.emplace(name, std::make_unique<Histogram>()).first;
  double ms = static_cast<double>(latency.count()) / 1000.0;
  it->second->Cells(ms);
  ++it->second->Count;
  it->second->Sum += ms;
}

double Metrics::quantileMilliseconds(std::string_view name,
                                     double quantile) const {
  auto it = Histograms.find(name);
  if (it == Histograms.end() || it->second->Count == 0)
    return 0;
  const auto &cells = it->second->Cells;
  double wanted = quantile * static_cast<double>(it->second->Count);
  double seen = 0;
  for (int i = -1; i <= static_cast<int>(Bins); ++i) {
    seen += cells.at(i);
    if (seen >= wanted && seen > 0)
      return i < 0 ? LowestMilliseconds : cells.axis().bin(i).upper();
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
    double seen = histogram->Cells.at(-1);
    for (int i = 0; i < static_cast<int>(Bins); ++i) {
      double n = histogram->Cells.at(i);
      seen += n;
      if (n == 0)
        continue;
      std::ostringstream bound;
      bound << histogram->Cells.axis().bin(i).upper();
      out << bucketName(name, bound.str()) << ' ' << seen << '\n';
    }
    out << bucketName(name, "+Inf") << ' ' << histogram->Count << '\n';
    out << suffixed(name, "_sum") << ' ' << histogram->Sum << '\n';
    out << suffixed(name, "_count") << ' ' << histogram->Count << '\n';
  }
  return out.str();
}

} // namespace radishcross::base
