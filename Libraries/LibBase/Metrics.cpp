#include <LibBase/Metrics.h>

#include <sstream>

namespace radishcross::base {

namespace {

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
    it = Histograms.emplace(name, LatencyHistogram()).first;
  it->second.add(latency);
}

double Metrics::quantileMilliseconds(std::string_view name,
                                     double quantile) const {
  auto it = Histograms.find(name);
  return it == Histograms.end() ? 0 : it->second.quantileMilliseconds(quantile);
}

std::string Metrics::prometheusText() const {
  std::ostringstream out;
  for (const auto &[name, value] : Counters)
    out << name << ' ' << value << '\n';
  for (const auto &[name, value] : Gauges)
    out << name << ' ' << value << '\n';
  for (const auto &[name, histogram] : Histograms) {
    double cumulative = histogram.underflow();
    for (const auto &it : histogram.buckets()) {
      cumulative += it.Count;
      std::ostringstream bound;
      bound << it.UpperMilliseconds;
      out << bucketName(name, bound.str()) << ' ' << cumulative << '\n';
    }
    out << bucketName(name, "+Inf") << ' ' << histogram.count() << '\n';
    out << withSuffix(name, "_sum") << ' ' << histogram.sumMilliseconds()
        << '\n';
    out << withSuffix(name, "_count") << ' ' << histogram.count() << '\n';
  }
  return out.str();
}

} // namespace radishcross::base
