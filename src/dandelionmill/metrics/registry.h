#ifndef SRC_DANDELIONMILL_METRICS_REGISTRY_H_
#define SRC_DANDELIONMILL_METRICS_REGISTRY_H_

#include <atomic>
#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace dandelionmill::metrics {

// A monotonically increasing number. Thread-safe.
class Counter {
 public:
  void Add(std::int64_t amount = 1) {
    value_.fetch_add(amount, std::memory_order_relaxed);
  }
  std::int64_t value() const { return value_.load(std::memory_order_relaxed); }

 private:
  std::atomic<std::int64_t> value_{0};
};

// A number that can go up and down. Thread-safe.
class Gauge {
 public:
  void Set(std::int64_t value) {
    value_.store(value, std::memory_order_relaxed);
  }
  void Add(std::int64_t amount) {
    value_.fetch_add(amount, std::memory_order_relaxed);
  }
  std::int64_t value() const { return value_.load(std::memory_order_relaxed); }

 private:
  std::atomic<std::int64_t> value_{0};
};

// Tracks count, sum, maximum and the 50th, 95th and 99th percentile of a stream
// of values. The percentiles are estimated in constant memory by
// Boost.Accumulators. Thread-safe.
class Summary {
 public:
  struct Snapshot {
    std::int64_t count = 0;
    double sum = 0;
    double maximum = 0;
    double p50 = 0;
    double p95 = 0;
    double p99 = 0;
  };

  Summary();
  ~Summary();

  void Record(double value);
  // All fields are 0 until a value was recorded.
  Snapshot Read() const;

 private:
  class Accumulator;
  mutable std::mutex mutex_;
  std::unique_ptr<Accumulator> accumulator_;
};

// Counts durations in buckets with fixed bounds, so that the histograms of
// several processes can be aggregated. Thread-safe.
class Histogram {
 public:
  struct Bucket {
    // Inclusive, in milliseconds; infinite for the last.
    double upper_bound = 0;
    // Cumulative: number of values up to `upper_bound`.
    std::int64_t count = 0;
  };

  Histogram();
  ~Histogram();

  void Record(std::chrono::milliseconds value);
  // Returns the buckets in ascending order of their bounds.
  std::vector<Bucket> Read() const;
  // Returns the sum of all recorded values in milliseconds.
  double sum() const;

 private:
  class Counts;
  mutable std::mutex mutex_;
  std::unique_ptr<Counts> counts_;
};

// Owns the metrics of one process by name and labels. Thread-safe. References
// stay valid for the lifetime of the registry; keep them rather than look up a
// metric for each event.
class Registry {
 public:
  // Returns the metric, creating it on first use. `labels` is empty or in the
  // Prometheus form `service="llm"`. `help` is one sentence that names the
  // unit.
  Counter& GetCounter(const std::string& name,
                      const std::string& help,
                      const std::string& labels = "");
  Gauge& GetGauge(const std::string& name,
                  const std::string& help,
                  const std::string& labels = "");
  Summary& GetSummary(const std::string& name,
                      const std::string& help,
                      const std::string& labels = "");
  Histogram& GetHistogram(const std::string& name,
                          const std::string& help,
                          const std::string& labels = "");

  // Returns all metrics in the Prometheus text format.
  std::string ToPrometheus() const;

 private:
  template <class T>
  struct Family {
    std::string help;
    std::map<std::string, std::unique_ptr<T>> by_labels;
  };
  template <class T>
  T& FindOrCreate(std::map<std::string, Family<T>>& families,
                  const std::string& name,
                  const std::string& help,
                  const std::string& labels);

  mutable std::mutex mutex_;
  std::map<std::string, Family<Counter>> counters_;
  std::map<std::string, Family<Gauge>> gauges_;
  std::map<std::string, Family<Summary>> summaries_;
  std::map<std::string, Family<Histogram>> histograms_;
};

}  // namespace dandelionmill::metrics

#endif  // SRC_DANDELIONMILL_METRICS_REGISTRY_H_
