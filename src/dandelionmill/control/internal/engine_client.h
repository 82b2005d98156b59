#ifndef SRC_DANDELIONMILL_CONTROL_INTERNAL_ENGINE_CLIENT_H_
#define SRC_DANDELIONMILL_CONTROL_INTERNAL_ENGINE_CLIENT_H_

#include <chrono>
#include <cstdint>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "dandelionmill/base/ids.h"
#include "dandelionmill/base/worker_pool.h"
#include "dandelionmill/net/address.h"

namespace dandelionmill::control::internal {

// An engine's reply to a query for its loaded models.
struct EngineReport {
  base::ServiceId service;
  base::BackendId backend;
  // Empty when the engine did not reply.
  std::optional<std::set<std::string>> models;
};

// An engine's reply to an order.
struct OrderReply {
  base::ServiceId service;
  base::BackendId backend;
  bool accepted = false;
  // The highest fence that the engine has seen if it refused the order because
  // of an older one, else 0.
  std::uint64_t higher_fence = 0;
};

using EngineReply = std::variant<EngineReport, OrderReply>;

// Sends HTTP requests to engines on its own threads. Thread-safe.
class EngineClient {
 public:
  // Time limit of a call, for each of connecting, writing and reading. An order
  // that has not arrived within it never will.
  static constexpr std::chrono::milliseconds kTimeout{3000};

  explicit EngineClient(int threads);
  EngineClient(const EngineClient&) = delete;
  EngineClient& operator=(const EngineClient&) = delete;

  // Commands. Each returns at once; TakeReplies() returns the outcome.
  void QueryModels(const base::ServiceId& service,
                   const base::BackendId& backend,
                   const net::Address& address);
  // Sends an order, unless it is still queued at `not_after`.
  void SendOrder(const base::ServiceId& service,
                 const base::BackendId& backend,
                 const net::Address& address,
                 std::string body,
                 std::chrono::steady_clock::time_point not_after);
  // Returns and removes the replies received since the last call.
  std::vector<EngineReply> TakeReplies();

 private:
  struct Job {
    base::ServiceId service;
    base::BackendId backend;
    net::Address address;
    // JSON body; empty to query the models.
    std::string order;
    std::chrono::steady_clock::time_point not_after;
  };

  void Add(Job job);
  static EngineReply Run(const Job& job);

  std::mutex mutex_;
  std::vector<EngineReply> replies_;
  base::WorkerPool workers_;
};

}  // namespace dandelionmill::control::internal

#endif  // SRC_DANDELIONMILL_CONTROL_INTERNAL_ENGINE_CLIENT_H_
