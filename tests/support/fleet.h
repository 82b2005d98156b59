#ifndef TESTS_SUPPORT_FLEET_H_
#define TESTS_SUPPORT_FLEET_H_

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "dandelionmill/control/control.h"
#include "dandelionmill/router/router.h"
#include "dandelionmill/settings/schema.h"
#include "standins/backend/backend_server.h"
#include "standins/platform/platform_server.h"

namespace tests {

// A fleet of real routers and controls with stand-ins around it, all in this
// process and on loopback ports of their own: two availability zones with two
// instances each, one model engine per zone and one plain service.
class Fleet {
 public:
  // Ports from `base_port` to base_port + 99 must be free.
  explicit Fleet(int base_port);
  ~Fleet();

  struct Answer {
    // 0 when the connection broke before a whole answer came.
    int status = 0;
    std::string body;
    std::map<std::string, std::string> headers;
  };
  struct Call {
    std::string path = "/v1/chat/completions";
    std::string body;
    std::string key = "painters.secret";
    std::map<std::string, std::string> headers;
  };

  // Commands.
  // Runs dandelionctl with these words and returns what it prints, then its
  // exit status.
  std::string Operate(const std::vector<std::string>& words);
  // Writes a file that Operate can name and returns its path.
  std::string WriteFile(const std::string& name, const std::string& text);
  // Sends a request to the router of an instance, "a1" to "b2".
  Answer Send(const std::string& instance, const Call& call);
  // Sends bytes to the router of an instance and closes the connection.
  void SendBytes(const std::string& instance, const std::string& bytes);
  // Stops a process without any farewell, as a crash would.
  void CrashRouter(const std::string& instance);
  void CrashControl(const std::string& instance);
  void StartRouter(const std::string& instance);
  void StartControl(const std::string& instance);
  // Sets the faults of "platform", "engine-a", "engine-b" or "ledger".
  void SetFaults(const std::string& standin, const std::string& json);

  // Queries.
  // What a stand-in recorded, as JSON text.
  std::string Records(const std::string& standin);
  // Waits up to 30 s until `condition` holds; returns whether it does.
  static bool Eventually(const std::function<bool()>& condition);

 private:
  using Values = dandelionmill::settings::Values;

  // The parts of one instance; a stopped process is null.
  struct Instance {
    std::unique_ptr<Values> control_settings;
    std::unique_ptr<Values> router_settings;
    std::unique_ptr<dandelionmill::control::Control> control;
    std::unique_ptr<dandelionmill::router::Router> router;
    int caller_port = 0;
  };

  void StartPlatform();
  void StartBackends();
  void AddInstance(const std::string& name, const std::string& zone, int port);
  Instance& Find(const std::string& instance);
  int AdminPortOf(const std::string& standin) const;

  const int base_port_;
  std::string folder_;
  std::unique_ptr<standins::platform::PlatformServer> platform_;
  std::vector<std::unique_ptr<standins::backend::BackendServer>> backends_;
  std::map<std::string, Instance> instances_;
};

}  // namespace tests

#endif  // TESTS_SUPPORT_FLEET_H_
