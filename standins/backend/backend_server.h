#ifndef STANDINS_BACKEND_BACKEND_SERVER_H_
#define STANDINS_BACKEND_BACKEND_SERVER_H_

#include <chrono>
#include <memory>
#include <string>
#include <vector>

#include "dandelionmill/base/result.h"
#include "dandelionmill/net/address.h"

namespace standins::backend {

enum class Kind { kModel, kPlain };

// Implements standin-backend: serves a model engine or a plain service over
// HTTP as specified in docs/interfaces.md. The admin port sets faults and
// returns records.
class BackendServer {
 public:
  struct Options {
    dandelionmill::net::Address listen;
    dandelionmill::net::Address admin;
    std::string id;
    Kind kind = Kind::kModel;
    // Models loaded at startup.
    std::vector<std::string> models;
    // Requests that run concurrently.
    int slots = 8;
    // Duration of one batch step, or of one call to a plain service.
    std::chrono::microseconds token_interval{37000};
    std::chrono::microseconds prefill_per_token{100};
    // Whether orders with a fencing number below the highest seen are refused.
    bool checks_fencing = false;
    // Capacity of the prefix cache in blocks.
    std::size_t kv_blocks = 4096;
    // Age of load reports and delay of cache events.
    std::chrono::milliseconds load_lag{500};
    std::uint64_t seed = 1;
    // File in which records persist across restarts; empty for none.
    std::string records_file;
    int max_connections = 256;
    // Time to load a model, and the store that its weights are fetched from;
    // port 0 for none.
    std::chrono::milliseconds load_time{1000};
    dandelionmill::net::Address weight_store;
    std::string platform_key;
  };

  explicit BackendServer(Options options);
  ~BackendServer();

  // Fails with the errors of net::HttpServer::Start.
  dandelionmill::base::Status Start();
  void Stop();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace standins::backend

#endif  // STANDINS_BACKEND_BACKEND_SERVER_H_
