#ifndef SRC_DANDELIONMILL_ROUTER_ROUTER_H_
#define SRC_DANDELIONMILL_ROUTER_ROUTER_H_

#include <memory>
#include <string>

#include "dandelionmill/base/result.h"

namespace dandelionmill::settings {
class Values;
}  // namespace dandelionmill::settings

namespace dandelionmill::router {

// A complete router: the actor with its state, the HTTP server for callers, the
// admin server, the bus and the load poller. To shut down, call BeginDrain,
// then RefuseNewRequests after a delay, poll IsDrained until it returns true,
// and call Stop.
class Router {
 public:
  // `settings` (RouterSchema) must outlive the router.
  explicit Router(const settings::Values& settings);
  ~Router();
  Router(const Router&) = delete;
  Router& operator=(const Router&) = delete;

  // Commands.
  // Starts all servers and threads. Returns kBadSetting if an address cannot be
  // bound.
  base::Status Start();
  // Makes the health check fail and informs the controls; requests are still
  // served.
  void BeginDrain();
  // Refuses new requests from now on.
  void RefuseNewRequests();
  // Waits for answers that are being written, and ends all threads.
  void Stop();

  // Queries.
  // Whether an operator requested the end of the process over the admin port.
  bool IsShutdownRequested() const;
  // Whether no request is in progress and every settlement is acknowledged.
  bool IsDrained() const;
  // Returns the state as JSON text, without secrets; "{}" if the actor does not
  // reply within 5 s.
  std::string Dump() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace dandelionmill::router

#endif  // SRC_DANDELIONMILL_ROUTER_ROUTER_H_
