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

// A number that only grows. Safe from any thread.
class Counter {
 public:
  void Add(std::int64_t amount = 1) {
    value_.fetch_add(amount, std::memory_order_relaxed);
  }
  std::int64_t value() const { return value_.load(std::memory_order_relaxed); }

 private:
  std::atomic<std::int64_t> value_{0};
};

// A number that goes up and down. Safe from any thread.
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

// Mean, maximum and the 50th, 95th and 99th percentile of a stream of values,
// estimated in constant memory by Boost.Accumulators. Safe from any thread.
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
  Snapshot Read() const;

 private:
  class Accumulator;
  mutable std::mutex mutex_;
  std::unique_ptr<Accumulator> accumulator_;
};

// Counts a stream of times by fixed bounds, so that those of many processes can
// be added up (Boost.Histogram). Safe from any thread.
class Histogram {
 public:
  struct Bucket {
    // Inclusive, in milliseconds; infinite for the last.
    double upper_bound = 0;
    // Of all values up to the bound.
    std::int64_t count = 0;
  };

  Histogram();
  ~Histogram();

  void Record(std::chrono::milliseconds value);
  std::vector<Bucket> Read() const;
  double sum() const;

 private:
  class Counts;
  mutable std::mutex mutex_;
  std::unique_ptr<Counts> counts_;
};

// Names the metrics of one process. References stay valid for the life of the
// registry; hold on to them rather than looking them up for each event.
class Registry {
 public:
  // `labels` is empty or like `service="llm"`. `help` is one sentence with the
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
  T& Find(std::map<std::string, Family<T>>& families,
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
