#ifndef SRC_DANDELIONMILL_ROUTER_ROUTER_CONTEXT_H_
#define SRC_DANDELIONMILL_ROUTER_ROUTER_CONTEXT_H_

#include <atomic>
#include <memory>
#include <utility>

#include "dandelionmill/backend/attempt_stream.h"
#include "dandelionmill/inventory/inventory.h"
#include "dandelionmill/router/request_events.h"
#include "dandelionmill/router/router_metrics.h"

namespace dandelionmill::router {

// State and services that all request handlers of a router share. Thread-safe.
class RouterContext {
 public:
  RouterContext(PostEvent post,
                RouterMetrics& metrics,
                backend::AttemptStream::Timeouts timeouts)
      : post_(std::move(post)), metrics_(metrics), timeouts_(timeouts) {}

  // Commands.
  void Publish(inventory::SnapshotPtr config) {
    std::atomic_store(&config_, std::move(config));
  }
  // Makes handlers refuse new requests from now on.
  void RefuseNewRequests() { refuses_new_requests_ = true; }
  void Post(RequestEvent event) const { post_(std::move(event)); }
  routing::RequestNumber NextNumber() { return ++last_number_; }

  // Queries.
  // The configuration in force; null until the first one is published.
  inventory::SnapshotPtr config() const { return std::atomic_load(&config_); }
  bool refuses_new_requests() const { return refuses_new_requests_; }
  RouterMetrics& metrics() const { return metrics_; }
  const backend::AttemptStream::Timeouts& timeouts() const { return timeouts_; }

 private:
  const PostEvent post_;
  RouterMetrics& metrics_;
  const backend::AttemptStream::Timeouts timeouts_;
  inventory::SnapshotPtr config_;
  std::atomic<bool> refuses_new_requests_{false};
  std::atomic<routing::RequestNumber> last_number_{0};
};

}  // namespace dandelionmill::router

#endif  // SRC_DANDELIONMILL_ROUTER_ROUTER_CONTEXT_H_
