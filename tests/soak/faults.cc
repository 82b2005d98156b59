#include "tests/soak/faults.h"

#include <algorithm>
#include <csignal>
#include <thread>
#include <utility>

#include "dandelionmill/base/overloaded.h"

namespace soak {
namespace {

using dandelionmill::base::Overloaded;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr int kKinds = 14;
constexpr int kKindsOfARun = 5;
constexpr milliseconds kMeanPause{900};
constexpr milliseconds kLongestFault{3000};
// The platform kills a process this long after it asked it to end.
constexpr milliseconds kGrace{8000};
// A lost backend server's entry goes after this time.
constexpr milliseconds kLapse{3000};
// A backend server goes on serving for this time after it announced its end.
constexpr milliseconds kServesOn{3500};
constexpr milliseconds kDelay{150};

LinkTrouble DrawTrouble(std::mt19937& random) {
  return static_cast<LinkTrouble>(random() % 5);
}

Fault Draw(unsigned kind, std::mt19937& random, int gateways) {
  const int gateway = static_cast<int>(random() % gateways);
  switch (kind) {
    case 0:
      return KillGateway{gateway};
    case 1:
      return RestartGateway{gateway};
    case 2:
      return FreezeGateway{gateway};
    case 3:
      return ReloadGateway{gateway};
    case 4:
      return TroubleCallerLink{gateway, DrawTrouble(random)};
    case 5:
      return TroubleStoreLink{gateway, DrawTrouble(random)};
    case 6:
      return TroubleBackendLink{DrawTrouble(random)};
    case 7:
      return StoreDown{};
    case 8:
      return StoreLosesAnswers{};
    case 9:
      return StoreForgets{};
    case 10:
      return KillBackend{};
    case 11:
      return FreezeBackend{};
    case 12:
      return RetireBackend{};
    default:
      return ChangeConfiguration{};
  }
}

}  // namespace

std::vector<PlannedFault> PlanFaults(unsigned seed,
                                     milliseconds length,
                                     int gateways) {
  std::mt19937 random(seed);
  std::vector<unsigned> kinds;
  for (int i = 0; i < kKindsOfARun; ++i)
    kinds.push_back(random() % kKinds);
  std::vector<PlannedFault> faults;
  std::exponential_distribution<double> pause(
      1.0 / static_cast<double>(kMeanPause.count()));
  milliseconds at(500);
  for (;;) {
    at += milliseconds(static_cast<std::int64_t>(pause(random)));
    if (at >= length)
      return faults;
    const milliseconds time(100 + random() % kLongestFault.count());
    const unsigned kind = kinds[random() % kinds.size()];
    // Some come in series.
    const int times = random() % 4 == 0 ? 3 : 1;
    for (int i = 0; i < times; ++i) {
      faults.push_back(
          {at + i * milliseconds(200), time, Draw(kind, random, gateways)});
    }
  }
}

std::size_t FaultPlayer::Begin(Disturbance::On on,
                               Disturbance::Sort sort,
                               int target,
                               std::string what) {
  const std::lock_guard<std::mutex> lock(mutex_);
  disturbances_.push_back(
      {on, sort, target, std::move(what), steady_clock::now(), Time::max()});
  // Keeps later sums within the range of the clock.
  disturbances_.back().until = Time::max() - std::chrono::hours(1);
  return disturbances_.size() - 1;
}

void FaultPlayer::End(std::size_t number) {
  const std::lock_guard<std::mutex> lock(mutex_);
  disturbances_[number].until = steady_clock::now();
}

std::vector<Disturbance> FaultPlayer::disturbances() {
  const std::lock_guard<std::mutex> lock(mutex_);
  return disturbances_;
}

std::vector<Leaving> FaultPlayer::leavings() {
  const std::lock_guard<std::mutex> lock(mutex_);
  return leavings_;
}

std::vector<Breach> FaultPlayer::breaches() {
  const std::lock_guard<std::mutex> lock(mutex_);
  return breaches_;
}

std::string FaultPlayer::ChooseBackend() {
  const std::vector<std::string> ids = fleet_.backends();
  // The last ones stay, or there would be nothing to see.
  if (ids.size() < 3)
    return {};
  const std::lock_guard<std::mutex> lock(mutex_);
  return ids[random_() % ids.size()];
}

void FaultPlayer::Trouble(FaultProxy& link,
                          LinkTrouble trouble,
                          milliseconds time) {
  switch (trouble) {
    case LinkTrouble::kDelay:
      link.SetDelay(kDelay);
      break;
    case LinkTrouble::kReset:
      link.Reset();
      return;
    case LinkTrouble::kHoldUp:
      link.HoldUp(true);
      break;
    case LinkTrouble::kHoldDown:
      link.HoldDown(true);
      break;
    case LinkTrouble::kSilence:
      link.HoldUp(true);
      link.HoldDown(true);
      break;
  }
  std::this_thread::sleep_for(time);
  link.Heal();
}

void FaultPlayer::Restart(int gateway) {
  const std::size_t number =
      Begin(Disturbance::On::kGateway, Disturbance::Sort::kPlanned, gateway,
            "restart");
  fleet_.SignalGateway(gateway, SIGTERM);
  const Time until = steady_clock::now() + kGrace;
  std::optional<int> status;
  while (!(status = fleet_.GatewayStatus(gateway)) &&
         steady_clock::now() < until)
    std::this_thread::sleep_for(milliseconds(20));
  if (status != 0) {
    const std::lock_guard<std::mutex> lock(mutex_);
    breaches_.push_back(
        {"end", "gateway " + std::to_string(gateway) +
                    (status ? " ended with " + std::to_string(*status)
                            : " did not end in its time")});
  }
  fleet_.RemoveGateway(gateway);
  fleet_.StartGateway(gateway);
  End(number);
}

void FaultPlayer::PlayOnGateway(const PlannedFault& planned, int gateway) {
  // One that is being stopped or frozen is left alone.
  const std::unique_lock<std::mutex> lock(gateways_[gateway], std::try_to_lock);
  if (!lock)
    return;
  if (std::holds_alternative<RestartGateway>(planned.fault))
    return Restart(gateway);
  if (std::holds_alternative<ReloadGateway>(planned.fault)) {
    const std::size_t number =
        Begin(Disturbance::On::kGateway, Disturbance::Sort::kPlanned, gateway,
              "reload");
    fleet_.RewriteSettings(gateway);
    fleet_.SignalGateway(gateway, SIGHUP);
    End(number);
    return;
  }
  const bool kills = std::holds_alternative<KillGateway>(planned.fault);
  const std::size_t number =
      Begin(Disturbance::On::kGateway, Disturbance::Sort::kUnplanned, gateway,
            kills ? "kill" : "freeze");
  fleet_.SignalGateway(gateway, kills ? SIGKILL : SIGSTOP);
  std::this_thread::sleep_for(planned.time);
  if (kills) {
    fleet_.RemoveGateway(gateway);
    fleet_.StartGateway(gateway);
  } else {
    fleet_.SignalGateway(gateway, SIGCONT);
  }
  End(number);
}

void FaultPlayer::Play(const PlannedFault& planned) {
  using On = Disturbance::On;
  constexpr auto kUnplanned = Disturbance::Sort::kUnplanned;
  const auto during = [&](On on, int target, const char* what,
                          const auto& action) {
    const std::size_t number = Begin(on, kUnplanned, target, what);
    action();
    End(number);
  };
  std::visit(
      Overloaded{[&](const KillGateway& fault) {
                   PlayOnGateway(planned, fault.gateway);
                 },
                 [&](const RestartGateway& fault) {
                   PlayOnGateway(planned, fault.gateway);
                 },
                 [&](const FreezeGateway& fault) {
                   PlayOnGateway(planned, fault.gateway);
                 },
                 [&](const ReloadGateway& fault) {
                   PlayOnGateway(planned, fault.gateway);
                 },
                 [&](const TroubleCallerLink& fault) {
                   during(On::kCallerLink, fault.gateway, "caller link", [&] {
                     Trouble(fleet_.caller_link(fault.gateway), fault.trouble,
                             planned.time);
                   });
                 },
                 [&](const TroubleStoreLink& fault) {
                   during(On::kStore, fault.gateway, "store link", [&] {
                     Trouble(fleet_.store_link(fault.gateway), fault.trouble,
                             planned.time);
                   });
                 },
                 [&](const TroubleBackendLink& fault) {
                   const std::string id = ChooseBackend();
                   const auto link = fleet_.backend_link(id);
                   if (!link)
                     return;
                   during(On::kBackend, -1, "backend link",
                          [&] { Trouble(*link, fault.trouble, planned.time); });
                 },
                 [&](const StoreDown&) {
                   during(On::kStore, -1, "store down", [&] {
                     fleet_.store().SetDown(true);
                     std::this_thread::sleep_for(planned.time);
                     fleet_.store().SetDown(false);
                   });
                 },
                 [&](const StoreLosesAnswers&) {
                   during(On::kStore, -1, "store loses answers", [&] {
                     fleet_.store().SetLoseAnswers(true);
                     std::this_thread::sleep_for(planned.time);
                     fleet_.store().SetLoseAnswers(false);
                   });
                 },
                 [&](const StoreForgets&) {
                   during(On::kStore, -1, "store forgets",
                          [&] { fleet_.store().ForgetHistory(); });
                 },
                 [&](const KillBackend&) {
                   const std::string id = ChooseBackend();
                   if (id.empty())
                     return;
                   during(On::kBackend, -1, "kill backend", [&] {
                     fleet_.EndBackend(id);
                     std::this_thread::sleep_for(kLapse);
                     fleet_.Withdraw(id);
                     fleet_.AddBackend();
                   });
                 },
                 [&](const FreezeBackend&) {
                   const std::string id = ChooseBackend();
                   if (id.empty())
                     return;
                   during(On::kBackend, -1, "freeze backend", [&] {
                     fleet_.SignalBackend(id, SIGSTOP);
                     std::this_thread::sleep_for(planned.time);
                     fleet_.SignalBackend(id, SIGCONT);
                   });
                 },
                 [&](const RetireBackend&) {
                   const std::string id = ChooseBackend();
                   if (id.empty())
                     return;
                   fleet_.AddBackend();
                   fleet_.Announce(id, "draining");
                   {
                     const std::lock_guard<std::mutex> lock(mutex_);
                     leavings_.push_back({id, steady_clock::now()});
                   }
                   std::this_thread::sleep_for(kServesOn);
                   fleet_.Withdraw(id);
                   // What still runs there is given time to end.
                   std::this_thread::sleep_for(kRouteTimeout);
                   during(On::kBackend, -1, "backend gone",
                          [&] { fleet_.EndBackend(id); });
                 },
                 [&](const ChangeConfiguration&) {
                   for (int i = 0; i < 3; ++i) {
                     fleet_.Configure();
                     std::this_thread::sleep_for(planned.time / 4);
                   }
                 }},
      planned.fault);
}

}  // namespace soak
