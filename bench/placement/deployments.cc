#include "bench/placement/fleet_day.h"

namespace bench::placement {
namespace {

using std::chrono::milliseconds;

// Figures of the users' sheets, plain services left out.
Deployment KhangaiDent() {
  Deployment deployment;
  deployment.name = "khangai-dent";
  deployment.gateways = 8;
  deployment.engines = 9;
  deployment.engine.slots = 64;
  deployment.engine.max_waiting = 134;
  deployment.engine.memory = 575639;
  deployment.engine.step = std::chrono::microseconds(2890);
  deployment.engine.step_per_request = std::chrono::microseconds(101);
  deployment.engine.event_delay = milliseconds(15);
  deployment.engine.prompt_tokens_per_ms = 55;
  deployment.engine.tokens_per_event = 6;
  deployment.traffic = {{"hail-assessment", 16.2, 61, 5382, 1228, 64, 1, 1,
                         milliseconds(1000), milliseconds(15000), 4, 1.2},
                        {"customer-reply", 15.4, 87, 198, 430, 49, 0, 2,
                         milliseconds(500), milliseconds(12000), 1.7, 0.5},
                        {"quick-quote", 20.8, 78, 568, 1232, 4, 2, 1,
                         milliseconds(500), milliseconds(3000), 0.43, 0.13}};
  return deployment;
}

Deployment PriddCoch() {
  Deployment deployment;
  deployment.name = "pridd-coch";
  deployment.gateways = 9;
  deployment.engines = 18;
  deployment.engine.slots = 128;
  deployment.engine.max_waiting = 384;
  deployment.engine.memory = 759962;
  deployment.engine.step = std::chrono::microseconds(3410);
  deployment.engine.step_per_request = std::chrono::microseconds(97);
  deployment.engine.event_delay = milliseconds(31);
  deployment.engine.prompt_tokens_per_ms = 112;
  deployment.engine.tokens_per_event = 5;
  deployment.traffic = {{"provenance-cert", 42.6, 241, 5382, 1228, 76, 1, 1,
                         milliseconds(800), milliseconds(15000), 4, 1.2},
                        {"buyer-chat", 36.3, 308, 198, 430, 58, 0, 2,
                         milliseconds(400), milliseconds(12000), 1.9, 0.56},
                        {"sample-tag", 69.4, 393, 568, 1232, 5, 2, 1,
                         milliseconds(500), milliseconds(3000), 0.36, 0.11}};
  return deployment;
}

// Shared machines: `gateways` instances before `engines` with `slots` each. The
// traffic at load 1 peaks at about the capacity. A request occupies a slot for
// 0.2 to 3 s.
Deployment SharedMachinesOf(int gateways,
                            int engines,
                            int slots,
                            double per_second) {
  Deployment deployment;
  deployment.name = "shared-machines-" + std::to_string(gateways);
  deployment.gateways = gateways;
  deployment.engines = engines;
  deployment.engine.slots = slots;
  deployment.engine.max_waiting = 3 * slots;
  deployment.engine.memory = 600000;
  deployment.engine.step = std::chrono::microseconds(3400);
  deployment.engine.step_per_request = std::chrono::microseconds(100);
  deployment.engine.event_delay = milliseconds(15);
  deployment.engine.prompt_tokens_per_ms = 60;
  deployment.engine.tokens_per_event = 5;
  deployment.traffic = {
      {"long-document", 0.25 * per_second, 4 * engines, 5382, 6618, 40, 1, 1,
       milliseconds(1000), milliseconds(15000), 4, 1.2},
      {"chat", 0.35 * per_second, 4 * engines, 198, 430, 50, 0, 2,
       milliseconds(400), milliseconds(12000), 1.9, 0.56},
      {"tag", 0.4 * per_second, 4 * engines, 568, 1232, 5, 2, 1,
       milliseconds(500), milliseconds(3000), 0.36, 0.11}};
  deployment.shared = SharedMachines();
  return deployment;
}

// Shared machines with a plain service, whose requests occupy a slot for 0.2 to
// 1.5 s.
Deployment SharedMachinesPlain() {
  Deployment deployment = SharedMachinesOf(25, 90, 24, 0);
  deployment.name = "shared-machines-plain";
  deployment.engine.step = std::chrono::milliseconds(10);
  deployment.engine.step_per_request = std::chrono::microseconds(0);
  deployment.engine.tokens_per_event = 20;
  Traffic traffic;
  traffic.name = "plain";
  traffic.per_second = 2700;
  traffic.own_tokens = 1;
  traffic.events = 3;
  traffic.objective = milliseconds(1000);
  traffic.is_plain = true;
  deployment.traffic = {traffic};
  return deployment;
}

}  // namespace

dandelionmill::base::Result<Deployment> FindDeployment(
    const std::string& name) {
  if (name == "khangai-dent")
    return KhangaiDent();
  if (name == "pridd-coch")
    return PriddCoch();
  if (name == "shared-machines-25")
    return SharedMachinesOf(25, 90, 24, 600);
  if (name == "shared-machines-87")
    return SharedMachinesOf(87, 140, 12, 800);
  if (name == "shared-machines-plain")
    return SharedMachinesPlain();
  return dandelionmill::base::Error{dandelionmill::base::Code::kBadCommandLine,
                                    "deployment \"" + name + "\" is not known"};
}

const std::vector<std::string>& DeploymentNames() {
  static const std::vector<std::string> names = {
      "khangai-dent", "pridd-coch", "shared-machines-25", "shared-machines-87",
      "shared-machines-plain"};
  return names;
}

}  // namespace bench::placement
