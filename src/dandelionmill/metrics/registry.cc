#include "dandelionmill/metrics/registry.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

#include <array>
#include <boost/histogram/axis/variable.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/make_histogram.hpp>
#include <limits>
#include <sstream>

namespace dandelionmill::metrics {
namespace {

namespace acc = boost::accumulators;

constexpr std::array<double, 3> kQuantiles = {0.50, 0.95, 0.99};

void WriteHeader(std::ostream& out,
                 const std::string& name,
                 const std::string& help,
                 const char* type) {
  out << "# HELP " << name << " " << help << "\n# TYPE " << name << " " << type
      << "\n";
}

std::string FormatLabels(const std::string& labels,
                         const std::string& extra_label = "") {
  if (labels.empty() && extra_label.empty())
    return "";
  const std::string comma = labels.empty() || extra_label.empty() ? "" : ",";
  return "{" + labels + comma + extra_label + "}";
}

void WriteHistogram(std::ostream& out,
                    const std::string& name,
                    const std::string& labels,
                    const Histogram& histogram) {
  std::int64_t count = 0;
  for (const Histogram::Bucket& bucket : histogram.Read()) {
    std::ostringstream bound;
    if (bucket.upper_bound == std::numeric_limits<double>::infinity())
      bound << "+Inf";
    else
      bound << bucket.upper_bound;
    out << name << "_bucket"
        << FormatLabels(labels, "le=\"" + bound.str() + "\"") << " "
        << bucket.count << "\n";
    count = bucket.count;
  }
  out << name << "_sum" << FormatLabels(labels) << " " << histogram.sum()
      << "\n"
      << name << "_count" << FormatLabels(labels) << " " << count << "\n";
}

}  // namespace

class Summary::Accumulator {
 public:
  Accumulator() : set(acc::extended_p_square_probabilities = kQuantiles) {}

  acc::accumulator_set<double,
                       acc::stats<acc::tag::count,
                                  acc::tag::sum,
                                  acc::tag::max,
                                  acc::tag::extended_p_square>>
      set;
};

Summary::Summary() : accumulator_(std::make_unique<Accumulator>()) {}
Summary::~Summary() = default;

void Summary::Record(double value) {
  std::lock_guard<std::mutex> lock(mutex_);
  accumulator_->set(value);
}

Summary::Snapshot Summary::Read() const {
  std::lock_guard<std::mutex> lock(mutex_);
  const auto& set = accumulator_->set;
  Snapshot snapshot;
  snapshot.count = static_cast<std::int64_t>(acc::count(set));
  if (snapshot.count == 0)
    return snapshot;
  snapshot.sum = acc::sum(set);
  snapshot.maximum = acc::max(set);
  const auto quantiles = acc::extended_p_square(set);
  snapshot.p50 = quantiles[0];
  snapshot.p95 = quantiles[1];
  snapshot.p99 = quantiles[2];
  return snapshot;
}

// Bucket bounds in milliseconds, from the response time of a simple service to
// the longest deadline of client requests.
const std::vector<double>& LatencyBounds() {
  static const std::vector<double> bounds = {
      5, 10, 20, 50, 100, 200, 300, 500, 1000, 2000, 5000, 10000, 15000};
  return bounds;
}

class Histogram::Counts {
 public:
  using Axis = boost::histogram::axis::variable<double>;

  // The axis has exclusive upper bounds. Values are whole milliseconds, so an
  // inclusive bound b corresponds to the edge b + 1.
  static std::vector<double> Edges() {
    std::vector<double> edges = {0};
    for (const double bound : LatencyBounds())
      edges.push_back(bound + 1);
    return edges;
  }

  decltype(boost::histogram::make_histogram(Axis())) histogram =
      boost::histogram::make_histogram(Axis(Edges()));
  double sum = 0;
};

Histogram::Histogram() : counts_(std::make_unique<Counts>()) {}
Histogram::~Histogram() = default;

void Histogram::Record(std::chrono::milliseconds value) {
  std::lock_guard<std::mutex> lock(mutex_);
  const auto ms = static_cast<double>(value.count());
  counts_->histogram(ms);
  counts_->sum += ms;
}

std::vector<Histogram::Bucket> Histogram::Read() const {
  std::lock_guard<std::mutex> lock(mutex_);
  std::vector<Bucket> buckets;
  // Bin -1 is the underflow bin, which counts negative durations.
  double count = counts_->histogram.at(-1);
  int bin = 0;
  for (const double bound : LatencyBounds()) {
    count += counts_->histogram.at(bin++);
    buckets.push_back({bound, static_cast<std::int64_t>(count)});
  }
  count += counts_->histogram.at(bin);
  buckets.push_back({std::numeric_limits<double>::infinity(),
                     static_cast<std::int64_t>(count)});
  return buckets;
}

double Histogram::sum() const {
  std::lock_guard<std::mutex> lock(mutex_);
  return counts_->sum;
}

template <class T>
T& Registry::FindOrCreate(std::map<std::string, Family<T>>& families,
                          const std::string& name,
                          const std::string& help,
                          const std::string& labels) {
  std::lock_guard<std::mutex> lock(mutex_);
  Family<T>& family = families[name];
  family.help = help;
  std::unique_ptr<T>& metric = family.by_labels[labels];
  if (!metric)
    metric = std::make_unique<T>();
  return *metric;
}

Counter& Registry::GetCounter(const std::string& name,
                              const std::string& help,
                              const std::string& labels) {
  return FindOrCreate(counters_, name, help, labels);
}

Gauge& Registry::GetGauge(const std::string& name,
                          const std::string& help,
                          const std::string& labels) {
  return FindOrCreate(gauges_, name, help, labels);
}

Summary& Registry::GetSummary(const std::string& name,
                              const std::string& help,
                              const std::string& labels) {
  return FindOrCreate(summaries_, name, help, labels);
}

Histogram& Registry::GetHistogram(const std::string& name,
                                  const std::string& help,
                                  const std::string& labels) {
  return FindOrCreate(histograms_, name, help, labels);
}

std::string Registry::ToPrometheus() const {
  std::lock_guard<std::mutex> lock(mutex_);
  std::ostringstream out;
  for (const auto& [name, family] : counters_) {
    WriteHeader(out, name, family.help, "counter");
    for (const auto& [labels, counter] : family.by_labels)
      out << name << FormatLabels(labels) << " " << counter->value() << "\n";
  }
  for (const auto& [name, family] : gauges_) {
    WriteHeader(out, name, family.help, "gauge");
    for (const auto& [labels, gauge] : family.by_labels)
      out << name << FormatLabels(labels) << " " << gauge->value() << "\n";
  }
  for (const auto& [name, family] : summaries_) {
    WriteHeader(out, name, family.help, "summary");
    for (const auto& [labels, summary] : family.by_labels) {
      const Summary::Snapshot snapshot = summary->Read();
      out << name << FormatLabels(labels, "quantile=\"0.5\"") << " "
          << snapshot.p50 << "\n"
          << name << FormatLabels(labels, "quantile=\"0.95\"") << " "
          << snapshot.p95 << "\n"
          << name << FormatLabels(labels, "quantile=\"0.99\"") << " "
          << snapshot.p99 << "\n"
          << name << "_sum" << FormatLabels(labels) << " " << snapshot.sum
          << "\n"
          << name << "_count" << FormatLabels(labels) << " " << snapshot.count
          << "\n";
    }
  }
  for (const auto& [name, family] : histograms_) {
    WriteHeader(out, name, family.help, "histogram");
    for (const auto& [labels, histogram] : family.by_labels)
      WriteHistogram(out, name, labels, *histogram);
  }
  return out.str();
}

}  // namespace dandelionmill::metrics
