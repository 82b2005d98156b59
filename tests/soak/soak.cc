#include "tests/soak/soak.h"

#include <atomic>
#include <fstream>
#include <list>
#include <memory>
#include <string>
#include <thread>
#include <utility>

#include "tests/soak/caller.h"
#include "tests/soak/faults.h"
#include "tests/soak/judge.h"

namespace soak {
namespace {

using nlohmann::json;
using std::chrono::duration_cast;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr milliseconds kStartTime{20000};
// Within this time after the last fault everything is served again.
constexpr milliseconds kRecoveryTime{12000};
constexpr milliseconds kLook{50};
// A pause of the machine itself of at least this length is a disturbance.
constexpr milliseconds kMachinePause{400};

// Notes when this process, and with it probably all others, was not run.
class MachineWatch {
 public:
  MachineWatch() : thread_([this] { Run(); }) {}
  ~MachineWatch() {
    is_stopping_ = true;
    thread_.join();
  }
  std::vector<Disturbance> pauses() {
    const std::lock_guard<std::mutex> lock(mutex_);
    return pauses_;
  }

 private:
  void Run() {
    while (!is_stopping_) {
      const Time before = steady_clock::now();
      std::this_thread::sleep_for(kLook);
      const Time after = steady_clock::now();
      if (after - before < kLook + kMachinePause)
        continue;
      const std::lock_guard<std::mutex> lock(mutex_);
      pauses_.push_back({Disturbance::On::kGateway,
                         Disturbance::Sort::kUnplanned, -1, "machine pause",
                         before, after});
    }
  }

  std::atomic<bool> is_stopping_{false};
  std::mutex mutex_;
  std::vector<Disturbance> pauses_;
  std::thread thread_;
};

template <class Holds>
bool WaitUntil(milliseconds time, const Holds& holds) {
  const Time until = steady_clock::now() + time;
  while (!holds()) {
    if (steady_clock::now() >= until)
      return false;
    std::this_thread::sleep_for(kLook);
  }
  return true;
}

// Plays all faults at their times and returns when the last has ended.
void PlayAll(const std::vector<PlannedFault>& faults, FaultPlayer& player) {
  const Time begun = steady_clock::now();
  std::list<std::thread> threads;
  for (const PlannedFault& fault : faults) {
    std::this_thread::sleep_until(begun + fault.at);
    threads.emplace_back([&player, &fault] { player.Play(fault); });
  }
  for (std::thread& thread : threads)
    thread.join();
}

// Every gateway serves every kind of request again.
void CheckRecovery(Fleet& fleet, Log& log, std::vector<Breach>& breaches) {
  for (int gateway = 0; gateway < fleet.options().gateways; ++gateway) {
    for (const Kind kind : {Kind::kIdempotent, Kind::kUnsafe,
                            Kind::kResumableStream, Kind::kSingleStream}) {
      int number = 0;
      const bool is_served = WaitUntil(kRecoveryTime, [&] {
        const std::string id = "r-" + std::to_string(gateway) + "-" +
                               std::to_string(static_cast<int>(kind)) + "-" +
                               std::to_string(number++);
        Exchanged exchanged = AskOnce(fleet, gateway, kind, id);
        log.Add(exchanged);
        return exchanged.outcome.status == 200 && exchanged.outcome.is_complete;
      });
      if (!is_served)
        breaches.push_back(
            {"recovery", "gateway " + std::to_string(gateway) +
                             " does not serve kind " +
                             std::to_string(static_cast<int>(kind))});
    }
  }
}

void CheckGateways(Fleet& fleet, std::vector<Breach>& breaches) {
  for (int gateway = 0; gateway < fleet.options().gateways; ++gateway) {
    if (const auto status = fleet.GatewayStatus(gateway))
      breaches.push_back({"end", "gateway " + std::to_string(gateway) +
                                     " ended by itself with " +
                                     std::to_string(*status)});
  }
}

json Summarize(const Records& records) {
  json statuses = json::object();
  int cut = 0;
  for (const Exchanged& exchanged : records.exchanges) {
    const std::string status = std::to_string(exchanged.outcome.status);
    statuses[status] = statuses.value(status, 0) + 1;
    cut += exchanged.outcome.is_complete ? 0 : 1;
  }
  json disturbances = json::object();
  for (const Disturbance& disturbance : records.disturbances)
    disturbances[disturbance.what] =
        disturbances.value(disturbance.what, 0) + 1;
  return {{"requests", records.exchanges.size()},
          {"runs", records.runs.size()},
          {"statuses", statuses},
          {"not_complete", cut},
          {"versions", records.versions.size()},
          {"disturbances", disturbances}};
}

// Writes what a person needs to trace a breach.
void WriteTimeline(const Records& records,
                   const std::string& path,
                   Time begun) {
  const auto at = [begun](Time time) {
    return duration_cast<milliseconds>(time - begun).count();
  };
  std::ofstream file(path);
  for (const Disturbance& disturbance : records.disturbances)
    file << json{{"what", disturbance.what},
                 {"target", disturbance.target},
                 {"from_ms", at(disturbance.from)},
                 {"until_ms", at(disturbance.until)}}
         << "\n";
  for (const Leaving& leaving : records.leavings)
    file << json{{"leaves", leaving.backend}, {"at_ms", at(leaving.announced)}}
         << "\n";
  for (const Exchanged& exchanged : records.exchanges)
    file << json{{"request", exchanged.ask.id},
                 {"gateway", exchanged.ask.gateway},
                 {"boot", exchanged.ask.boot},
                 {"kind", static_cast<int>(exchanged.ask.kind)},
                 {"key", exchanged.ask.key_version},
                 {"sent_ms", at(exchanged.ask.sent)},
                 {"ended_ms", at(exchanged.outcome.ended)},
                 {"status", exchanged.outcome.status},
                 {"complete", exchanged.outcome.is_complete},
                 {"events", exchanged.outcome.events}}
         << "\n";
  for (const Run& run : records.runs)
    file << json{{"run", run.id},
                 {"backend", run.backend},
                 {"at_ms", at(run.at)},
                 {"broke_off", run.broke_off}}
         << "\n";
}

}  // namespace

SoakResult RunSoak(const SoakOptions& options) {
  const Time begun = steady_clock::now();
  SoakResult result;
  Records records;
  {
    Fleet fleet(options.fleet);
    const bool is_up = WaitUntil(kStartTime, [&] {
      for (int gateway = 0; gateway < options.fleet.gateways; ++gateway) {
        if (!fleet.IsReady(gateway))
          return false;
      }
      return true;
    });
    if (!is_up) {
      result.breaches.push_back({"start", "the gateways do not become ready"});
      return result;
    }
    MachineWatch watch;
    Balancer balancer(fleet);
    FaultPlayer player(fleet);
    Log log;
    std::atomic<bool> is_stopping{false};
    std::list<std::thread> threads;
    for (int caller = 0; caller < options.callers; ++caller) {
      threads.emplace_back([&, caller] {
        RunCaller(fleet, balancer, options.seed * 1000 + caller, is_stopping,
                  log);
      });
    }
    threads.emplace_back([&] { RunKeyProber(fleet, is_stopping, log); });
    PlayAll(PlanFaults(options.seed, options.length, options.fleet.gateways),
            player);
    CheckRecovery(fleet, log, result.breaches);
    is_stopping = true;
    for (std::thread& thread : threads)
      thread.join();
    CheckGateways(fleet, result.breaches);
    records.exchanges = log.Take();
    records.runs = fleet.ReadRuns();
    records.disturbances = player.disturbances();
    for (const Disturbance& pause : watch.pauses())
      records.disturbances.push_back(pause);
    records.leavings = player.leavings();
    records.versions = fleet.versions();
    records.prepaid = fleet.prepaid();
    for (const Breach& breach : player.breaches())
      result.breaches.push_back(breach);
  }
  for (const Breach& breach : Judge(records, Bounds()))
    result.breaches.push_back(breach);
  result.summary = Summarize(records);
  WriteTimeline(records, options.fleet.folder + "/timeline.jsonl", begun);
  return result;
}

}  // namespace soak
