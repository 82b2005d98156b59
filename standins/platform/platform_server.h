#ifndef STANDINS_PLATFORM_PLATFORM_SERVER_H_
#define STANDINS_PLATFORM_PLATFORM_SERVER_H_

#include <chrono>
#include <memory>
#include <string>

#include "dandelionmill/base/result.h"
#include "dandelionmill/net/address.h"

namespace standins::platform {

// Implements standin-platform: serves the table, the object store, the instance
// list and the weight store over HTTP as specified in docs/interfaces.md.
// Faults are injected through the admin port.
class PlatformServer {
 public:
  struct Options {
    dandelionmill::net::Address listen;
    dandelionmill::net::Address admin;
    // Bearer token that callers must present.
    std::string key;
    // Rate limits, applied to the table and to the object store separately.
    double writes_per_s = 300;
    double reads_per_s = 2000;
    double weight_reads_per_s = 2;
    // Delay before a change of the instance list becomes visible.
    std::chrono::milliseconds list_lag{2000};
    // Seed for selecting the commands whose answer is lost.
    std::uint64_t seed = 1;
  };

  explicit PlatformServer(Options options);
  ~PlatformServer();

  // Fails with the errors of net::HttpServer::Start.
  dandelionmill::base::Status Start();
  void Stop();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace standins::platform

#endif  // STANDINS_PLATFORM_PLATFORM_SERVER_H_
