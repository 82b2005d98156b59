#ifndef BENCH_PLACEMENT_FLEET_DAY_H_
#define BENCH_PLACEMENT_FLEET_DAY_H_

#include <chrono>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "bench/placement/batch_engine.h"
#include "bench/routing/timeline.h"
#include "dandelionmill/base/result.h"
#include "dandelionmill/gateway/backend_entry.h"
#include "dandelionmill/gateway/placement.h"
#include "dandelionmill/gateway/placement_policy.h"
#include "dandelionmill/gateway/retry_allowance.h"

namespace bench::placement {

// A kind of request that a deployment serves from its model engines.
struct Traffic {
  std::string name;
  double per_second = 0;
  // Different shared prompts.
  int topics = 1;
  // Of a prompt, on average.
  Tokens shared_tokens = 0;
  Tokens own_tokens = 0;
  // Of an answer, on average.
  int events = 1;
  int priority = 5;
  // Backend servers that a request may be sent to.
  int max_attempts = 1;
  std::chrono::milliseconds objective{500};
  std::chrono::milliseconds time_limit{12000};
  double worth = 1;
  double worth_late = 0.3;
  // Whether it goes to a plain service, which answers when it has finished and
  // of whose requests placement knows no prompt.
  bool is_plain = false;
};

// Machines that engines share with other work. Their load reports have a fourth
// figure, the momentary speed.
struct SharedMachines {
  // Share of the engines that are slower all the time, and by how much.
  double slow_share = 0.2;
  double slow_factor = 1.3;
  // Spread of the momentary speed (lognormal, mean 1), and how often it
  // changes.
  double speed_spread = 0.3;
  std::chrono::milliseconds speed_interval{100};
  // Whether load reports have the momentary speed.
  bool reports_speed = true;
  // Share of the load reports that are lost.
  double report_loss = 0;
  // Share of the mean by which traffic swings around it.
  double wave = 0.5;
  std::chrono::seconds wave_period{17};
};

// What the emulator knows of a deployment.
struct Deployment {
  std::string name;
  int zones = 3;
  int gateways = 8;
  int engines = 9;
  BatchEngine::Options engine;
  std::vector<Traffic> traffic;
  // One way, between availability zones.
  std::chrono::milliseconds between_zones{8};
  // Set where the engines' machines are shared with others.
  std::optional<SharedMachines> shared;
};

// Returns a deployment by name, with the figures that its users give.
// Fails with kBadCommandLine.
dandelionmill::base::Result<Deployment> FindDeployment(const std::string& name);
const std::vector<std::string>& DeploymentNames();

// What makes a day heavy; the names are the users'.
const std::vector<std::string>& PatternNames();

struct DayOptions {
  Deployment deployment;
  gateway::PlacementPolicy policy = gateway::ByCost();
  // One of PatternNames.
  std::string pattern = "quiet";
  unsigned seed = 1;
  std::chrono::seconds length{40};
};

struct DayResult {
  int requests = 0;
  int in_time = 0;
  int late = 0;
  int refused = 0;
  int failed = 0;
  // Worth of the answers over the worth of all requests.
  double worth_share = 0;
  Tokens shared_tokens_read = 0;
  // Requests at the busiest engine over the mean, on average over time.
  double busiest_over_mean = 0;
  // Share of the slots in use at the busiest moment of the fleet.
  double highest_use = 0;
  // Attempts that crossed between availability zones.
  int crossings = 0;
};

// The pattern "Shared machines, many instances, waves": a deployment with
// `shared` set. Not among PatternNames, which apply to every deployment.
extern const char kSharedMachinesWaves[];

// Plays a day in model time: callers in each availability zone, gateways with
// the product's own placement and retry allowance, and modelled engines.
DayResult PlayDay(const DayOptions& options);

}  // namespace bench::placement

#endif  // BENCH_PLACEMENT_FLEET_DAY_H_
