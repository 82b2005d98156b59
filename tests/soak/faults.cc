#include "tests/soak/faults.h"

#include <algorithm>
#include <csignal>
#include <list>
#include <numeric>
#include <thread>
#include <utility>

#include "dandelionmill/base/overloaded.h"

namespace soak {
namespace {

using dandelionmill::base::Overloaded;
using Category = Disturbance::Category;
using Component = Disturbance::Component;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr int kFaultKinds = 14;
constexpr int kFaultKindsPerRun = 5;
constexpr milliseconds kMeanFaultInterval{900};
constexpr milliseconds kMaxFaultDuration{3000};
// The platform kills a process this long after SIGTERM.
constexpr milliseconds kTerminationGrace{8000};
// Delay between the loss of a backend server and the removal of its entry.
constexpr milliseconds kEntryRemovalDelay{3000};
// A draining backend server continues to serve for this long after its
// announcement.
constexpr milliseconds kDrainTime{3500};
constexpr milliseconds kLinkDelay{150};
// A link of 10 Mbit/s.
constexpr std::size_t kSlowStoreLinkBytesPerS = 1250000;
// Start of a series of configurations after the end of the one before, at most.
constexpr milliseconds kMaxSeriesGap{4000};
// Keep the draws for series and links apart from those for the other faults.
constexpr unsigned kSeriesSeed = 0x53455249;
constexpr unsigned kLinkSeed = 0x4c494e4b;
constexpr unsigned kBackendSeed = 0x4241434b;
// Requests with a crashing prompt part come for longer than it takes to
// recognize the part and to check that it stays so.
constexpr milliseconds kCrashingPromptsDuration{11000};
constexpr milliseconds kCrashingPromptInterval{150};
constexpr milliseconds kLimitDuration{9000};
constexpr milliseconds kLeavingDuration{6000};
constexpr unsigned kRestoreSeed = 0x52455354;
constexpr unsigned kPartitionSeed = 0x50415254;
constexpr milliseconds kPartitionDuration{7000};
constexpr milliseconds kMaxCopyAge{4000};
constexpr milliseconds kMaxRewriteDelay{1500};
constexpr unsigned kReturnSeed = 0x52455455;
constexpr unsigned kWorkloadSeed = 0x574f524b;
constexpr milliseconds kMaxAbsence{2500};
constexpr milliseconds kMaxEntryDelay{1200};
constexpr milliseconds kMaxTurnedAway{6000};
constexpr unsigned kReleaseSeed = 0x52454c45;
// A gateway loses the store this long before a release, at most.
constexpr milliseconds kMaxReleaseLead{2500};
constexpr milliseconds kMaxReleaseInterval{400};
constexpr unsigned kUpgradeSeed = 0x55504752;
// A replaced gateway has this long to become ready.
constexpr milliseconds kMaxReadinessTime{3000};

LinkFault DrawLinkFault(std::mt19937& random) {
  return static_cast<LinkFault>(random() % 5);
}

Fault DrawFault(unsigned kind, std::mt19937& random, int gateways) {
  constexpr unsigned kFirstLinkFault = 4;
  constexpr unsigned kLastLinkFault = 6;
  const int gateway = static_cast<int>(random() % gateways);
  const LinkFault link_fault = kind >= kFirstLinkFault && kind <= kLastLinkFault
                                   ? DrawLinkFault(random)
                                   : LinkFault::kDelay;
  const std::array<Fault, kFaultKinds> faults = {
      KillGateway{gateway},
      RestartGateway{gateway},
      FreezeGateway{gateway},
      ReloadGateway{gateway},
      DegradeCallerLink{gateway, link_fault},
      DegradeStoreLink{gateway, link_fault},
      DegradeBackendLink{link_fault},
      StoreDown{},
      StoreDropsAnswers{},
      StoreDropsHistory{},
      KillBackend{},
      FreezeBackend{},
      RetireBackend{},
      ChangeConfiguration{}};
  return faults.at(kind);
}

Fault DrawStoreLoss(std::mt19937& random, int gateways) {
  const int gateway = static_cast<int>(random() % gateways);
  const unsigned kind = random() % 5;
  if (kind < 2)
    return StoreDown{};
  if (kind == 2)
    return KillGateway{gateway};
  return DegradeStoreLink{gateway, DrawLinkFault(random)};
}

// Adds series of 20 to 40 configurations and, for each, losses of the store
// that start up to half a second before it or during it.
void AddSeries(unsigned seed,
               milliseconds length,
               int gateways,
               std::vector<PlannedFault>& faults) {
  std::mt19937 random(seed ^ kSeriesSeed);
  if (random() % 2 == 0)
    return;
  for (milliseconds start(1000 + random() % 2000); start < length;
       start += milliseconds(random() % kMaxSeriesGap.count())) {
    const int versions = 20 + static_cast<int>(random() % 21);
    const milliseconds interval(100 + random() % 301);
    const milliseconds duration = versions * interval;
    faults.push_back(
        {start, duration, ChangeConfigurationOften{versions, interval}});
    const unsigned losses = 2 + random() % 3;
    for (unsigned i = 0; i < losses; ++i) {
      const milliseconds offset(random() % (duration.count() + 500));
      faults.push_back(
          {start - milliseconds(500) + offset,
           milliseconds(500 + random() % kMaxFaultDuration.count()),
           DrawStoreLoss(random, gateways)});
    }
    start += duration;
  }
}

// Adds prompts that crash backend servers, request limits, backend servers that
// say they leave and pauses that they ask for, each to about every third seed.
void AddBackendTroubles(unsigned seed, std::vector<PlannedFault>& faults) {
  std::mt19937 random(seed ^ kBackendSeed);
  const auto add = [&](milliseconds duration, const Fault& fault) {
    if (random() % 3 == 0)
      faults.push_back({milliseconds(500 + random() % 2000), duration, fault});
  };
  add(kCrashingPromptsDuration, CrashingPrompts{seed});
  add(kLimitDuration, LimitBackend{});
  // Longer than the drain bound, so that late requests show.
  add(kLeavingDuration, BackendLeaves{});
  if (random() % 3 == 0) {
    for (unsigned i = 0; i < 1 + random() % 3; ++i)
      faults.push_back(
          {milliseconds(500 + random() % 5000), kPauseTime, PauseBackend{}});
  }
}

// Adds one to three restores of the store to about every third seed, half of
// them with a gateway that is killed or cut off from the store meanwhile.
void AddRestores(unsigned seed,
                 milliseconds length,
                 int gateways,
                 std::vector<PlannedFault>& faults) {
  std::mt19937 random(seed ^ kRestoreSeed);
  if (random() % 3 != 0)
    return;
  const unsigned restores = 1 + random() % 3;
  for (unsigned i = 0; i < restores; ++i) {
    const milliseconds start(random() % length.count());
    const milliseconds copy_age(300 + random() % kMaxCopyAge.count());
    const milliseconds rewrite_delay(random() % kMaxRewriteDelay.count());
    const milliseconds outage(100 + random() % 1000);
    faults.push_back({start, outage, RestoreStore{copy_age, rewrite_delay}});
    const int gateway = static_cast<int>(random() % gateways);
    const milliseconds offset(random() % (copy_age + outage).count());
    const milliseconds duration(500 + random() % kMaxFaultDuration.count());
    const unsigned companion = random() % 4;
    if (companion == 0) {
      faults.push_back({start + offset, duration, KillGateway{gateway}});
    } else if (companion == 1) {
      faults.push_back({start + offset, duration,
                        DegradeStoreLink{gateway, LinkFault::kPauseBoth}});
    }
  }
}

// Adds a partition of one gateway from the backend servers to about every third
// seed, longer than the time in which it must be noticed.
void AddPartition(unsigned seed,
                  int gateways,
                  std::vector<PlannedFault>& faults) {
  std::mt19937 random(seed ^ kPartitionSeed);
  if (random() % 3 != 0)
    return;
  faults.push_back({milliseconds(500 + random() % 2000), kPartitionDuration,
                    PartitionGateway{static_cast<int>(random() % gateways)}});
}

// Adds backend servers that come back, in series of two to four, to two seeds
// of three. A gateway is turned away by the store during about half of the
// series, or frozen while a server is gone.
void AddReturns(unsigned seed,
                milliseconds length,
                int gateways,
                std::vector<PlannedFault>& faults) {
  std::mt19937 random(seed ^ kReturnSeed);
  if (random() % 3 == 0)
    return;
  for (milliseconds start(500 + random() % 1500); start < length;
       start += milliseconds(500 + random() % 2500)) {
    const bool is_drained = random() % 3 == 0;
    const int gateway = static_cast<int>(random() % gateways);
    if (random() % 2 == 0)
      faults.push_back({start - milliseconds(random() % 400),
                        milliseconds(2000 + random() % kMaxTurnedAway.count()),
                        TurnGatewayAway{gateway}});
    const unsigned servers = 2 + random() % 3;
    for (unsigned i = 0; i < servers; ++i) {
      const milliseconds absence(200 + random() % kMaxAbsence.count());
      faults.push_back(
          {start, absence,
           ReturnBackend{is_drained, random() % 4 != 0,
                         milliseconds(random() % kMaxEntryDelay.count())}});
      if (random() % 2 == 0)
        faults.push_back(
            {start + (is_drained ? kDrainTime : milliseconds(0)) -
                 milliseconds(random() % 300),
             absence + milliseconds(400 + random() % 1000),
             FreezeGateway{static_cast<int>(random() % gateways)}});
      start += milliseconds(random() % 1500);
    }
  }
}

// Whether a seed has a release, as about every third has. Leaves `random` where
// the further draws for it begin.
bool DrawRelease(std::mt19937& random) {
  return random() % 3 == 0;
}

// Adds a release of a software version to about every third seed. One gateway
// is turned away by the store, or gets nothing from it, from before the release
// until the old servers have left.
void AddRelease(unsigned seed,
                int gateways,
                std::vector<PlannedFault>& faults) {
  std::mt19937 random(seed ^ kReleaseSeed);
  if (!DrawRelease(random))
    return;
  const milliseconds start(kMaxReleaseLead + milliseconds(random() % 1500));
  const milliseconds lead(random() % (kMaxReleaseLead.count() + 1));
  const int gateway = static_cast<int>(random() % gateways);
  Fault loss = TurnGatewayAway{gateway};
  if (random() % 2 == 0)
    loss = DegradeStoreLink{gateway, LinkFault::kPauseBoth};
  faults.push_back({start - lead,
                    lead + kDrainTime + kRouteTimeout +
                        milliseconds(random() % kMaxTurnedAway.count() / 2),
                    loss});
  faults.push_back(
      {start, kDrainTime + kRouteTimeout,
       ReleaseVersion{milliseconds(random() % kMaxReleaseInterval.count())}});
}

}  // namespace

std::vector<GatewayReplacement> PlanUpgrade(unsigned seed,
                                            milliseconds length,
                                            int gateways) {
  std::mt19937 random(seed ^ kUpgradeSeed);
  std::vector<int> order(gateways);
  std::iota(order.begin(), order.end(), 0);
  std::shuffle(order.begin(), order.end(), random);
  const auto max_pause = length.count() / gateways;
  std::vector<GatewayReplacement> steps;
  for (const int gateway : order) {
    std::vector<Build> builds = {Build::kNew};
    if (random() % 4 == 0)
      builds = {Build::kNew, Build::kOld, Build::kNew};
    for (const Build build : builds)
      steps.push_back({milliseconds(random() % max_pause), gateway, build,
                       random() % 5 == 0});
  }
  return steps;
}

Workload PlanWorkload(unsigned seed) {
  std::mt19937 random(seed ^ kWorkloadSeed);
  Workload workload;
  std::mt19937 release(seed ^ kReleaseSeed);
  if (random() % 3 == 0 && !DrawRelease(release))
    return workload;
  workload.event_interval = milliseconds(20 + random() % 80);
  workload.failure_percent = 4 + random() % 20;
  workload.unframed_percent = 10 + random() % 50;
  workload.hang_up_percent = 20 + random() % 60;
  return workload;
}

std::vector<std::size_t> PlanStoreLinks(unsigned seed, int gateways) {
  std::mt19937 random(seed ^ kLinkSeed);
  std::vector<std::size_t> rates;
  for (int gateway = 0; gateway < gateways; ++gateway)
    rates.push_back(random() % 2 == 0 ? kSlowStoreLinkBytesPerS : 0);
  return rates;
}

std::vector<PlannedFault> PlanFaults(unsigned seed,
                                     milliseconds length,
                                     int gateways) {
  std::mt19937 random(seed);
  std::vector<unsigned> kinds;
  for (int i = 0; i < kFaultKindsPerRun; ++i)
    kinds.push_back(random() % kFaultKinds);
  std::vector<PlannedFault> faults;
  std::exponential_distribution<double> interval(
      1.0 / static_cast<double>(kMeanFaultInterval.count()));
  milliseconds start(500);
  for (;;) {
    start += milliseconds(static_cast<std::int64_t>(interval(random)));
    if (start >= length)
      break;
    const milliseconds duration(100 + random() % kMaxFaultDuration.count());
    const unsigned kind = kinds[random() % kinds.size()];
    // One draw in four adds three faults of the same kind, 200 ms apart.
    const int repetitions = random() % 4 == 0 ? 3 : 1;
    for (int i = 0; i < repetitions; ++i) {
      faults.push_back({start + i * milliseconds(200), duration,
                        DrawFault(kind, random, gateways)});
    }
  }
  AddSeries(seed, length, gateways, faults);
  AddBackendTroubles(seed, faults);
  AddRestores(seed, length, gateways, faults);
  AddPartition(seed, gateways, faults);
  AddReturns(seed, length, gateways, faults);
  AddRelease(seed, gateways, faults);
  std::stable_sort(faults.begin(), faults.end(),
                   [](const PlannedFault& a, const PlannedFault& b) {
                     return a.start < b.start;
                   });
  return faults;
}

std::size_t FaultInjector::BeginDisturbance(Component component,
                                            Category category,
                                            int target,
                                            std::string what) {
  const std::lock_guard<std::mutex> lock(mutex_);
  records_.disturbances.push_back({component, category, target, std::move(what),
                                   steady_clock::now(), Time::max()});
  // An hour below the maximum, so that adding margins does not overflow.
  records_.disturbances.back().until = Time::max() - std::chrono::hours(1);
  return records_.disturbances.size() - 1;
}

void FaultInjector::EndDisturbance(std::size_t index) {
  const std::lock_guard<std::mutex> lock(mutex_);
  records_.disturbances[index].until = steady_clock::now();
}

Records FaultInjector::records() {
  const std::lock_guard<std::mutex> lock(mutex_);
  return records_;
}

std::string FaultInjector::ChooseBackend() {
  const std::vector<std::string> ids = fleet_.backends();
  // At least two backend servers are kept so that requests can be served.
  if (ids.size() < 3)
    return {};
  const std::lock_guard<std::mutex> lock(mutex_);
  return ids[random_() % ids.size()];
}

std::string FaultInjector::ClaimBackend() {
  const std::string id = ChooseBackend();
  return fleet_.ClaimBackend(id) ? id : std::string();
}

std::size_t FaultInjector::Drain(const std::string& id) {
  fleet_.SetBackendState(id, "draining");
  std::size_t index = 0;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    index = records_.drain_announcements.size();
    records_.drain_announcements.push_back({id, steady_clock::now()});
  }
  std::this_thread::sleep_for(kDrainTime);
  return index;
}

void FaultInjector::Return(const PlannedFault& planned,
                           const ReturnBackend& fault) {
  const std::string id = ClaimBackend();
  if (id.empty())
    return;
  const std::size_t announcement = fault.is_drained ? Drain(id) : 0;
  const std::size_t index =
      BeginDisturbance(Component::kBackend, Category::kUnplanned, -1,
                       "backend " + id + " returns");
  const Time from = steady_clock::now();
  fleet_.StopBackend(id);
  if (fault.is_drained)
    fleet_.RemoveBackendEntry(id);
  std::this_thread::sleep_for(planned.duration);
  const Time until = steady_clock::now();
  fleet_.ReturnBackend(id, fault.changes_version);
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    records_.absences.push_back({id, from, until});
    if (fault.is_drained)
      records_.drain_announcements[announcement].ended = until;
  }
  std::this_thread::sleep_for(fault.entry_delay);
  fleet_.SetBackendState(id, "ready");
  EndDisturbance(index);
  fleet_.ReleaseBackend(id);
}

void FaultInjector::Retire(const std::string& id) {
  Drain(id);
  fleet_.RemoveBackendEntry(id);
  // Lets requests that are still running finish.
  std::this_thread::sleep_for(kRouteTimeout);
  const std::size_t index = BeginDisturbance(
      Component::kBackend, Category::kUnplanned, -1, "backend gone");
  fleet_.StopBackend(id);
  EndDisturbance(index);
}

void FaultInjector::Release(const ReleaseVersion& fault) {
  const std::size_t index =
      BeginDisturbance(Component::kBackend, Category::kPlanned, -1, "release");
  std::list<std::thread> leaving;
  for (const std::string& id : fleet_.unreleased_backends()) {
    if (!fleet_.ClaimBackend(id))
      continue;
    fleet_.AddBackend(kReleasedSoftwareVersion);
    leaving.emplace_back([this, id] { Retire(id); });
    std::this_thread::sleep_for(fault.interval);
  }
  for (std::thread& thread : leaving)
    thread.join();
  EndDisturbance(index);
}

void FaultInjector::DegradeLinks(const std::vector<FaultProxy*>& links,
                                 LinkFault link_fault,
                                 milliseconds duration) {
  for (FaultProxy* link : links) {
    if (link_fault == LinkFault::kDelay)
      link->SetDelay(kLinkDelay);
    if (link_fault == LinkFault::kReset)
      link->Reset();
    const bool pauses_both = link_fault == LinkFault::kPauseBoth;
    if (pauses_both || link_fault == LinkFault::kPauseUpstream)
      link->PauseUpstream(true);
    if (pauses_both || link_fault == LinkFault::kPauseDownstream)
      link->PauseDownstream(true);
  }
  if (link_fault == LinkFault::kReset)
    return;
  std::this_thread::sleep_for(duration);
  for (FaultProxy* link : links)
    link->Restore();
}

void FaultInjector::Partition(const PlannedFault& planned, int gateway) {
  // Others keep all gateways from reaching the backend servers.
  const std::unique_lock<std::mutex> lock(partition_mutex_, std::try_to_lock);
  if (!lock)
    return;
  const std::size_t index =
      BeginDisturbance(Component::kBackend, Category::kUnplanned, -1,
                       "gateway " + std::to_string(gateway) + " partitioned");
  fleet_.SetPartitioned(gateway, true);
  const Time from = steady_clock::now();
  std::this_thread::sleep_for(planned.duration);
  {
    const std::lock_guard<std::mutex> records_lock(mutex_);
    records_.partitions.push_back({gateway, from, steady_clock::now()});
  }
  fleet_.SetPartitioned(gateway, false);
  EndDisturbance(index);
}

void FaultInjector::Upgrade(const std::vector<GatewayReplacement>& steps) {
  for (const GatewayReplacement& step : steps) {
    std::this_thread::sleep_for(step.pause);
    {
      const std::lock_guard<std::mutex> lock(gateway_mutexes_[step.gateway]);
      const std::string what =
          step.build == Build::kNew ? "upgrade" : "rollback";
      fleet_.SetBuild(step.gateway, step.build);
      if (step.is_killed)
        KillAndStart(step.gateway, milliseconds(0), what + " by kill");
      else
        Restart(step.gateway, what);
    }
    const Time deadline = steady_clock::now() + kMaxReadinessTime;
    while (!fleet_.IsReady(step.gateway) && steady_clock::now() < deadline)
      std::this_thread::sleep_for(milliseconds(20));
  }
}

void FaultInjector::KillAndStart(int gateway,
                                 milliseconds absence,
                                 std::string what) {
  const std::size_t index = BeginDisturbance(
      Component::kGateway, Category::kUnplanned, gateway, std::move(what));
  fleet_.SignalGateway(gateway, SIGKILL);
  std::this_thread::sleep_for(absence);
  fleet_.RemoveGateway(gateway);
  fleet_.StartGateway(gateway);
  EndDisturbance(index);
}

void FaultInjector::Restart(int gateway, std::string what) {
  const std::size_t index = BeginDisturbance(
      Component::kGateway, Category::kPlanned, gateway, std::move(what));
  fleet_.SignalGateway(gateway, SIGTERM);
  const Time deadline = steady_clock::now() + kTerminationGrace;
  std::optional<int> status;
  while (!(status = fleet_.GatewayStatus(gateway)) &&
         steady_clock::now() < deadline)
    std::this_thread::sleep_for(milliseconds(20));
  if (status != 0) {
    const std::lock_guard<std::mutex> lock(mutex_);
    records_.violations.push_back(
        {"end",
         "gateway " + std::to_string(gateway) + " boot " +
             std::to_string(fleet_.boot(gateway)) +
             DescribeBuild(fleet_.builds(), {gateway, fleet_.boot(gateway)}) +
             (status ? " exited with status " + std::to_string(*status)
                     : " did not exit within the grace period")});
  }
  fleet_.RemoveGateway(gateway);
  fleet_.StartGateway(gateway);
  EndDisturbance(index);
}

void FaultInjector::StoreConfigurations(std::string what,
                                        int versions,
                                        milliseconds interval) {
  const std::size_t index = BeginDisturbance(
      Component::kStoreData, Category::kPlanned, -1, std::move(what));
  for (int i = 0; i < versions; ++i) {
    fleet_.StoreNextConfiguration();
    std::this_thread::sleep_for(interval);
  }
  EndDisturbance(index);
}

void FaultInjector::SendCrashingPrompts(const PlannedFault& planned,
                                        unsigned number) {
  const std::size_t index = BeginDisturbance(
      Component::kBackend, Category::kUnplanned, -1, "crashing part");
  const std::string name = std::to_string(number);
  const Time end = steady_clock::now() + planned.duration;
  std::list<std::thread> requests;
  for (int i = 0; steady_clock::now() < end; ++i) {
    requests.emplace_back([this, name, i] {
      log_.Add(SendCrashingPrompt(fleet_, i % fleet_.options().gateways,
                                  "bad" + name,
                                  "x" + name + "-" + std::to_string(i)));
    });
    std::this_thread::sleep_for(kCrashingPromptInterval);
    fleet_.ReplaceCrashedBackends();
  }
  for (std::thread& request : requests)
    request.join();
  fleet_.ReplaceCrashedBackends();
  EndDisturbance(index);
}

void FaultInjector::SignalFor(const std::string& id,
                              int signal,
                              milliseconds duration,
                              std::vector<BackendPeriod>& periods) {
  fleet_.SignalBackend(id, signal);
  const Time from = steady_clock::now();
  std::this_thread::sleep_for(duration);
  const std::lock_guard<std::mutex> lock(mutex_);
  periods.push_back({id, from, steady_clock::now()});
}

void FaultInjector::NameLimit(const PlannedFault& planned) {
  const std::string id = ClaimBackend();
  if (id.empty())
    return;
  SignalFor(id, SIGUSR1, planned.duration, records_.limited_periods);
  fleet_.SignalBackend(id, SIGUSR2);
  fleet_.ReleaseBackend(id);
  fleet_.ReplaceCrashedBackends();
}

void FaultInjector::LeaveWithNotice(const PlannedFault& planned) {
  const std::string id = ClaimBackend();
  if (id.empty())
    return;
  fleet_.AddBackend();
  SignalFor(id, SIGHUP, planned.duration, records_.leaving_periods);
  fleet_.RemoveBackendEntry(id);
  // Lets requests that are still running finish.
  std::this_thread::sleep_for(kDrainTime + kRouteTimeout);
  const std::size_t index = BeginDisturbance(
      Component::kBackend, Category::kUnplanned, -1, "backend left");
  fleet_.StopBackend(id);
  EndDisturbance(index);
}

void FaultInjector::RestoreFromCopy(const PlannedFault& planned,
                                    const RestoreStore& fault) {
  const std::lock_guard<std::mutex> lock(copy_mutex_);
  fleet_.store().TakeCopy();
  std::this_thread::sleep_for(fault.copy_age);
  const std::size_t index = BeginDisturbance(
      Component::kStore, Category::kUnplanned, -1, "store restored");
  fleet_.store().SetDown(true);
  std::this_thread::sleep_for(planned.duration);
  fleet_.store().Restore();
  fleet_.store().SetDown(false);
  std::this_thread::sleep_for(fault.rewrite_delay);
  fleet_.store().RewriteLostRows();
  EndDisturbance(index);
}

void FaultInjector::Inject(const PlannedFault& planned) {
  const auto record_during = [&](Component component, int target,
                                 const char* what, const auto& action) {
    const std::size_t index =
        BeginDisturbance(component, Category::kUnplanned, target, what);
    action();
    EndDisturbance(index);
  };
  // Skips a gateway that another fault is acting on.
  const auto if_free = [this](int gateway, const auto& action) {
    const std::unique_lock<std::mutex> lock(gateway_mutexes_[gateway],
                                            std::try_to_lock);
    if (lock)
      action();
  };
  std::visit(
      Overloaded{
          [&](const KillGateway& fault) {
            if_free(fault.gateway, [&] {
              KillAndStart(fault.gateway, planned.duration, "kill");
            });
          },
          [&](const RestartGateway& fault) {
            if_free(fault.gateway, [&] { Restart(fault.gateway, "restart"); });
          },
          [&](const FreezeGateway& fault) {
            if_free(fault.gateway, [&] {
              record_during(Component::kGateway, fault.gateway, "freeze", [&] {
                fleet_.SignalGateway(fault.gateway, SIGSTOP);
                std::this_thread::sleep_for(planned.duration);
                fleet_.SignalGateway(fault.gateway, SIGCONT);
              });
            });
          },
          [&](const ReloadGateway& fault) {
            if_free(fault.gateway, [&] {
              const std::size_t index =
                  BeginDisturbance(Component::kGateway, Category::kPlanned,
                                   fault.gateway, "reload");
              fleet_.RewriteSettings(fault.gateway);
              fleet_.SignalGateway(fault.gateway, SIGHUP);
              EndDisturbance(index);
            });
          },
          [&](const DegradeCallerLink& fault) {
            record_during(Component::kCallerLink, fault.gateway, "caller link",
                          [&] {
                            DegradeLinks({&fleet_.caller_link(fault.gateway)},
                                         fault.link_fault, planned.duration);
                          });
          },
          [&](const DegradeStoreLink& fault) {
            record_during(Component::kStore, fault.gateway, "store link", [&] {
              DegradeLinks({&fleet_.store_link(fault.gateway)},
                           fault.link_fault, planned.duration);
            });
          },
          [&](const DegradeBackendLink& fault) {
            const std::string id = ChooseBackend();
            const auto owned = fleet_.backend_links(id);
            std::vector<FaultProxy*> links;
            for (const auto& link : owned)
              links.push_back(link.get());
            record_during(Component::kBackend, -1, "backend link", [&] {
              DegradeLinks(links, fault.link_fault, planned.duration);
            });
          },
          [&](const StoreDown&) {
            record_during(Component::kStore, -1, "store down", [&] {
              fleet_.store().SetDown(true);
              std::this_thread::sleep_for(planned.duration);
              fleet_.store().SetDown(false);
            });
          },
          [&](const StoreDropsAnswers&) {
            record_during(Component::kStoreData, -1, "store loses answers",
                          [&] {
                            fleet_.store().SetLoseAnswers(true);
                            std::this_thread::sleep_for(planned.duration);
                            fleet_.store().SetLoseAnswers(false);
                          });
          },
          [&](const StoreDropsHistory&) {
            record_during(Component::kStoreData, -1, "store forgets",
                          [&] { fleet_.store().DiscardHistory(); });
          },
          [&](const RestoreStore& fault) { RestoreFromCopy(planned, fault); },
          [&](const KillBackend&) {
            const std::string id = ClaimBackend();
            if (id.empty())
              return;
            record_during(Component::kBackend, -1, "kill backend", [&] {
              fleet_.StopBackend(id);
              std::this_thread::sleep_for(kEntryRemovalDelay);
              fleet_.RemoveBackendEntry(id);
              fleet_.AddBackend();
            });
          },
          [&](const FreezeBackend&) {
            const std::string id = ChooseBackend();
            if (id.empty())
              return;
            record_during(Component::kBackend, -1, "freeze backend", [&] {
              fleet_.SignalBackend(id, SIGSTOP);
              std::this_thread::sleep_for(planned.duration);
              fleet_.SignalBackend(id, SIGCONT);
            });
          },
          [&](const RetireBackend&) {
            const std::string id = ClaimBackend();
            if (id.empty())
              return;
            fleet_.AddBackend();
            Retire(id);
          },
          [&](const ChangeConfiguration&) {
            StoreConfigurations("changes", 3, planned.duration / 4);
          },
          [&](const ChangeConfigurationOften& fault) {
            const std::unique_lock<std::mutex> lock(series_mutex_,
                                                    std::try_to_lock);
            if (lock)
              StoreConfigurations("series of changes", fault.versions,
                                  fault.interval);
          },
          [&](const CrashingPrompts& fault) {
            SendCrashingPrompts(planned, fault.number);
          },
          [&](const LimitBackend&) { NameLimit(planned); },
          [&](const BackendLeaves&) { LeaveWithNotice(planned); },
          [&](const PauseBackend&) {
            const std::string id = ChooseBackend();
            if (!id.empty())
              SignalFor(id, SIGALRM, kPauseTime, records_.paused_periods);
          },
          [&](const PartitionGateway& fault) {
            Partition(planned, fault.gateway);
          },
          [&](const ReturnBackend& fault) { Return(planned, fault); },
          [&](const ReleaseVersion& fault) { Release(fault); },
          [&](const TurnGatewayAway& fault) {
            record_during(Component::kStore, fault.gateway, "turned away", [&] {
              fleet_.SetTurnedAway(fault.gateway, true);
              std::this_thread::sleep_for(planned.duration);
              fleet_.SetTurnedAway(fault.gateway, false);
            });
          }},
      planned.fault);
}

}  // namespace soak
