#include "tests/soak/soak.h"

#include <algorithm>
#include <atomic>
#include <fstream>
#include <list>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <thread>
#include <utility>

#include "tests/soak/caller.h"
#include "tests/soak/faults.h"
#include "tests/soak/invariants.h"

namespace soak {
namespace {

using nlohmann::json;
using std::chrono::duration_cast;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr milliseconds kStartTimeout{20000};
// After the last fault, each kind of request must succeed at each gateway
// within this time.
constexpr milliseconds kRecoveryTimeout{12000};
constexpr milliseconds kPollInterval{50};
// A stall of the machine of at least this length counts as a disturbance.
constexpr milliseconds kMinStall{400};

// Records when this process was not scheduled. All other processes were
// probably not scheduled either.
class StallMonitor {
 public:
  StallMonitor() : thread_([this] { Run(); }) {}
  ~StallMonitor() {
    is_stopping_ = true;
    thread_.join();
  }
  std::vector<Disturbance> stalls() {
    const std::lock_guard<std::mutex> lock(mutex_);
    return stalls_;
  }

 private:
  void Run() {
    while (!is_stopping_) {
      const Time before = steady_clock::now();
      std::this_thread::sleep_for(kPollInterval);
      const Time after = steady_clock::now();
      if (after - before < kPollInterval + kMinStall)
        continue;
      const std::lock_guard<std::mutex> lock(mutex_);
      stalls_.push_back({Disturbance::Component::kGateway,
                         Disturbance::Category::kUnplanned, -1, "machine pause",
                         before, after});
    }
  }

  std::atomic<bool> is_stopping_{false};
  std::mutex mutex_;
  std::vector<Disturbance> stalls_;
  std::thread thread_;
};

template <class Condition>
bool WaitUntil(milliseconds timeout, const Condition& condition) {
  const Time deadline = steady_clock::now() + timeout;
  while (!condition()) {
    if (steady_clock::now() >= deadline)
      return false;
    std::this_thread::sleep_for(kPollInterval);
  }
  return true;
}

// Injects all faults at their start times and waits until all have ended.
void InjectAll(const std::vector<PlannedFault>& faults,
               FaultInjector& injector) {
  const Time start = steady_clock::now();
  std::list<std::thread> threads;
  for (const PlannedFault& fault : faults) {
    std::this_thread::sleep_until(start + fault.start);
    threads.emplace_back([&injector, &fault] { injector.Inject(fault); });
  }
  for (std::thread& thread : threads)
    thread.join();
}

// Checks that every gateway serves every kind of request again.
void CheckRecovery(Fleet& fleet,
                   ExchangeLog& log,
                   std::vector<Violation>& violations) {
  for (int gateway = 0; gateway < fleet.options().gateways; ++gateway) {
    for (const Kind kind : {Kind::kIdempotent, Kind::kUnsafe,
                            Kind::kResumableStream, Kind::kSingleStream}) {
      int number = 0;
      const bool is_served = WaitUntil(kRecoveryTimeout, [&] {
        const std::string id = "r-" + std::to_string(gateway) + "-" +
                               std::to_string(static_cast<int>(kind)) + "-" +
                               std::to_string(number++);
        Exchange exchange = SendOneRequest(fleet, gateway, kind, id);
        log.Add(exchange);
        return exchange.outcome.status == 200 && exchange.outcome.is_complete;
      });
      if (!is_served)
        violations.push_back(
            {"recovery", "gateway " + std::to_string(gateway) +
                             " did not recover for request kind " +
                             std::to_string(static_cast<int>(kind))});
    }
  }
}

// Checks that every gateway has the newest configuration within the bounds.
void CheckCatchUp(Fleet& fleet,
                  ExchangeLog& log,
                  std::vector<Violation>& violations) {
  const Bounds bounds;
  const std::uint64_t newest = fleet.versions().back().number;
  const Time deadline = steady_clock::now() + bounds.catch_up + bounds.change;
  for (int gateway = 0; gateway < fleet.options().gateways; ++gateway) {
    int number = 0;
    const bool is_current = WaitUntil(
        std::max(kPollInterval,
                 duration_cast<milliseconds>(deadline - steady_clock::now())),
        [&] {
          const Exchange exchange = SendRouteProbe(
              fleet, gateway, newest,
              "u-" + std::to_string(gateway) + "-" + std::to_string(number++));
          log.Add(exchange);
          return exchange.outcome.status == 200;
        });
    if (!is_current)
      violations.push_back({"catch up", "gateway " + std::to_string(gateway) +
                                            " does not have version " +
                                            std::to_string(newest) +
                                            " after the last fault"});
  }
}

void CheckGateways(Fleet& fleet, std::vector<Violation>& violations) {
  for (int gateway = 0; gateway < fleet.options().gateways; ++gateway) {
    if (const auto status = fleet.GatewayStatus(gateway))
      violations.push_back(
          {"end",
           "gateway " + std::to_string(gateway) +
               DescribeBuild(fleet.builds(), {gateway, fleet.boot(gateway)}) +
               " exited unexpectedly with status " + std::to_string(*status)});
  }
}

// Whether the request was sent while a fault kept its gateway, and not all of
// them, from the store.
bool IsWithoutStore(const Records& records, const Request& request) {
  return std::any_of(records.disturbances.begin(), records.disturbances.end(),
                     [&](const Disturbance& disturbance) {
                       return disturbance.component ==
                                  Disturbance::Component::kStore &&
                              disturbance.target == request.gateway &&
                              disturbance.from <= request.sent &&
                              disturbance.until >= request.sent;
                     });
}

json Summarize(const Records& records,
               const std::vector<std::size_t>& store_links) {
  json statuses = json::object();
  int incomplete = 0;
  int taken_up = 0;
  int taken_up_whole = 0;
  int taken_up_without_store = 0;
  int cut_but_complete = 0;
  std::map<std::string, std::int64_t> taken_up_after;
  for (const Exchange& exchange : records.exchanges) {
    const Outcome& outcome = exchange.outcome;
    taken_up_after[exchange.request.id] = exchange.request.after_event;
    if (!exchange.request.resumes.empty()) {
      ++taken_up;
      taken_up_whole += outcome.has_expected_body ? 1 : 0;
      taken_up_without_store +=
          IsWithoutStore(records, exchange.request) ? 1 : 0;
    }
    if (IsStream(exchange.request.kind) && outcome.status == 200 &&
        outcome.is_complete && outcome.is_in_order)
      cut_but_complete += outcome.has_expected_body ? 0 : 1;
    const std::string status = std::to_string(outcome.status);
    statuses[status] = statuses.value(status, 0) + 1;
    incomplete += outcome.is_complete ? 0 : 1;
  }
  std::set<std::string> went_on;
  for (const Run& run : records.runs) {
    if (run.after_event > taken_up_after[run.id])
      went_on.insert(run.id);
  }
  json disturbances = json::object();
  for (const Disturbance& disturbance : records.disturbances)
    disturbances[disturbance.what] =
        disturbances.value(disturbance.what, 0) + 1;
  return {{"requests", records.exchanges.size()},
          {"streams_taken_up", taken_up},
          {"streams_taken_up_whole", taken_up_whole},
          {"streams_taken_up_without_store", taken_up_without_store},
          {"streams_went_on_within_answer", went_on.size()},
          {"streams_joined", FindJoinedStreams(records).size()},
          {"streams_cut_but_complete", cut_but_complete},
          {"runs", records.runs.size()},
          {"statuses", statuses},
          {"not_complete", incomplete},
          {"versions", records.versions.size()},
          {"store_links_bytes_per_s", store_links},
          {"disturbances", disturbances}};
}

// Writes disturbances, drain announcements, exchanges and runs as JSON lines,
// for tracing the cause of a violation.
void WriteTimeline(const Records& records,
                   const std::string& path,
                   Time start) {
  const auto at = [start](Time time) {
    return duration_cast<milliseconds>(time - start).count();
  };
  std::ofstream file(path);
  for (const Disturbance& disturbance : records.disturbances)
    file << json{{"what", disturbance.what},
                 {"target", disturbance.target},
                 {"from_ms", at(disturbance.from)},
                 {"until_ms", at(disturbance.until)}}
         << "\n";
  for (const DrainAnnouncement& announcement : records.drain_announcements)
    file << json{{"leaves", announcement.backend},
                 {"at_ms", at(announcement.announced)}}
         << "\n";
  for (const ConfigVersion& version : records.versions)
    file << json{{"version", version.number}, {"at_ms", at(version.stored)}}
         << "\n";
  for (const Exchange& exchange : records.exchanges)
    file << json{{"request", exchange.request.id},
                 {"gateway", exchange.request.gateway},
                 {"boot", exchange.request.boot},
                 {"kind", static_cast<int>(exchange.request.kind)},
                 {"key", exchange.request.key_version},
                 {"route", exchange.request.route_from},
                 {"sent_ms", at(exchange.request.sent)},
                 {"ended_ms", at(exchange.outcome.ended)},
                 {"status", exchange.outcome.status},
                 {"complete", exchange.outcome.is_complete},
                 {"after", exchange.request.after_event},
                 {"events", exchange.outcome.events},
                 {"versions", exchange.outcome.versions}}
         << "\n";
  for (const Run& run : records.runs)
    file << json{{"run", run.id},
                 {"backend", run.backend},
                 {"at_ms", at(run.started)},
                 {"after", run.after_event},
                 {"broke_off", run.was_broken_off}}
         << "\n";
}

}  // namespace

std::string AttributeToBuild(const Violation& violation,
                             const std::set<std::string>& known_invariants) {
  const std::string& detail = violation.detail;
  if (detail.find("(old build)") == std::string::npos ||
      detail.find("(new build)") != std::string::npos)
    return "";
  // Faults of earlier builds, by invariant.
  static const std::map<std::string, std::string> known_faults = {
      {"one version", "streams go on at another software version"},
      {"stream end", "cut streams end as complete"},
      {"nothing cut", "bookings run and never answered"}};
  const auto known = known_faults.find(violation.invariant);
  return " [at the old build only, " +
         (known == known_faults.end() ||
                  known_invariants.count(violation.invariant) == 0
              ? "not a known fault of it]"
              : "may be its known fault: " + known->second + "]");
}

SoakResult RunSoak(const SoakOptions& options) {
  const Time start = steady_clock::now();
  SoakResult result;
  Records records;
  {
    FleetOptions fleet_options = options.fleet;
    fleet_options.workload = PlanWorkload(options.seed);
    fleet_options.store_link_bytes_per_s =
        PlanStoreLinks(options.seed, options.fleet.gateways);
    Fleet fleet(fleet_options);
    const bool is_ready = WaitUntil(kStartTimeout, [&] {
      for (int gateway = 0; gateway < options.fleet.gateways; ++gateway) {
        if (!fleet.IsReady(gateway))
          return false;
      }
      return true;
    });
    if (!is_ready) {
      result.violations.push_back(
          {"start", "the gateways did not become ready in time"});
      return result;
    }
    StallMonitor monitor;
    Balancer balancer(fleet);
    ExchangeLog log;
    FaultInjector injector(fleet, log);
    std::atomic<bool> is_stopping{false};
    std::list<std::thread> threads;
    for (int caller = 0; caller < options.callers; ++caller) {
      threads.emplace_back([&, caller] {
        RunCaller(fleet, balancer, options.seed * 1000 + caller, is_stopping,
                  log);
      });
    }
    threads.emplace_back([&] { RunKeyProber(fleet, is_stopping, log); });
    threads.emplace_back([&] { RunRouteProber(fleet, is_stopping, log); });
    std::thread upgrade([&] {
      if (!fleet_options.old_gateway_program.empty())
        injector.Upgrade(
            PlanUpgrade(options.seed, options.length, options.fleet.gateways));
    });
    InjectAll(PlanFaults(options.seed, options.length, options.fleet.gateways),
              injector);
    upgrade.join();
    CheckCatchUp(fleet, log, result.violations);
    CheckRecovery(fleet, log, result.violations);
    is_stopping = true;
    for (std::thread& thread : threads)
      thread.join();
    CheckGateways(fleet, result.violations);
    records = injector.records();
    records.exchanges = log.Take();
    fleet.ReadRuns(records);
    for (const Disturbance& stall : monitor.stalls())
      records.disturbances.push_back(stall);
    records.versions = fleet.versions();
    records.prepaid = fleet.prepaid();
    records.builds = fleet.builds();
  }
  for (const Violation& violation : CheckInvariants(records, Bounds()))
    result.violations.push_back(violation);
  result.summary =
      Summarize(records, PlanStoreLinks(options.seed, options.fleet.gateways));
  WriteTimeline(records, options.fleet.folder + "/timeline.jsonl", start);
  return result;
}

}  // namespace soak
