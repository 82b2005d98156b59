#include <chrono>
#include <memory>
#include <thread>

#include "dandelionmill/daemon/daemon.h"
#include "dandelionmill/router/router.h"
#include "dandelionmill/router/router_settings.h"

namespace dandelionmill::router {
namespace {

// After the health check starts to fail, keeps serving for `lame_duck_ms`, so
// that the platform's load balancer stops sending requests before any are
// refused.
class RouterDaemon : public daemon::Daemon {
 public:
  explicit RouterDaemon(const settings::Values& settings)
      : lame_duck_(settings.Duration("lame_duck_ms")), router_(settings) {}

  base::Status Start() override { return router_.Start(); }
  void BeginDrain() override {
    router_.BeginDrain();
    std::this_thread::sleep_for(lame_duck_);
    router_.RefuseNewRequests();
  }
  void Stop() override { router_.Stop(); }
  bool IsShutdownRequested() const override {
    return router_.IsShutdownRequested();
  }
  bool IsDrained() const override { return router_.IsDrained(); }

 private:
  const std::chrono::milliseconds lame_duck_;
  Router router_;
};

}  // namespace
}  // namespace dandelionmill::router

int main(int argc, char** argv) {
  using dandelionmill::router::RouterDaemon;
  return dandelionmill::daemon::Main(
      argc, argv,
      {"dandelion-router",
       "routes callers' requests to backend servers and streams the answers",
       dandelionmill::router::RouterSchema(),
       [](const dandelionmill::settings::Values& settings) {
         return std::make_unique<RouterDaemon>(settings);
       }});
}
