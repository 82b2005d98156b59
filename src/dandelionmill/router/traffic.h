#ifndef SRC_DANDELIONMILL_ROUTER_TRAFFIC_H_
#define SRC_DANDELIONMILL_ROUTER_TRAFFIC_H_

#include <atomic>
#include <memory>
#include <utility>

#include "dandelionmill/backend/attempt_stream.h"
#include "dandelionmill/inventory/inventory.h"
#include "dandelionmill/router/request_events.h"
#include "dandelionmill/router/router_metrics.h"

namespace dandelionmill::router {

// What the callers' fibers of a router share with its actor. Safe from any
// thread.
class Traffic {
 public:
  Traffic(PostEvent post,
          RouterMetrics& metrics,
          backend::AttemptStream::Tuning tuning)
      : post_(std::move(post)), metrics_(metrics), tuning_(tuning) {}

  // Commands.
  void Publish(inventory::SnapshotPtr config) {
    std::atomic_store(&config_, std::move(config));
  }
  void RefuseNew() { refuses_new_ = true; }
  void Post(RequestEvent event) const { post_(std::move(event)); }
  routing::RequestNumber NextNumber() { return ++last_number_; }

  // Queries.
  // The configuration in force; null before there is one.
  inventory::SnapshotPtr config() const { return std::atomic_load(&config_); }
  bool refuses_new() const { return refuses_new_; }
  RouterMetrics& metrics() const { return metrics_; }
  const backend::AttemptStream::Tuning& tuning() const { return tuning_; }

 private:
  const PostEvent post_;
  RouterMetrics& metrics_;
  const backend::AttemptStream::Tuning tuning_;
  inventory::SnapshotPtr config_;
  std::atomic<bool> refuses_new_{false};
  std::atomic<routing::RequestNumber> last_number_{0};
};

}  // namespace dandelionmill::router

#endif  // SRC_DANDELIONMILL_ROUTER_TRAFFIC_H_
