#include "bench/placement/fleet_day.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <set>
#include <utility>

namespace bench::placement {
namespace {

namespace base = dandelionmill::base;
using std::chrono::duration;
using std::chrono::duration_cast;
using std::chrono::milliseconds;

const char kService[] = "model";
// Popularity of the shared prompts, as the users' sheets give it.
constexpr double kZipfExponent = 0.3;
constexpr double kPromptSpread = 0.8;
constexpr double kAnswerSpread = 0.5;

// When a day is heavy, and how much.
constexpr std::chrono::seconds kFrom{12};
constexpr std::chrono::seconds kUntil{24};
constexpr double kBurst = 1.7;
constexpr double kHotShare = 0.3;
constexpr double kSlowness = 3;
constexpr double kGreyShare = 0.4;
constexpr double kAbuseFactor = 3;
constexpr double kAbuserShare = 0.3;
// Share of the engines, or gateways, that a trouble befalls.
constexpr double kBefallen = 0.25;
constexpr milliseconds kReleasePause{1000};
// Time until gateways hear that an engine is gone.
constexpr milliseconds kLapse{3000};
// How long callers wait after a refusal, and those that do not listen.
constexpr milliseconds kRetryAfter{600};
constexpr milliseconds kImpatience{100};
constexpr milliseconds kConnectionRefused{2};

// How often the use of the engines is sampled, and from when on.
constexpr milliseconds kSampleInterval{100};
constexpr std::chrono::seconds kWarmUp{5};

// Requests after a long answer that the run still waits for.
constexpr std::chrono::seconds kTail{16};

class Day {
 public:
  explicit Day(const DayOptions& options)
      : options_(options), random_(options.seed) {
    const Deployment& deployment = options.deployment;
    for (int i = 0; i < deployment.engines; ++i)
      AddEngine(i % deployment.zones);
    for (int i = 0; i < deployment.gateways; ++i) {
      gateways_.push_back(std::make_unique<Gateway>(
          options.seed * 100 + i, options.policy, i % deployment.zones));
      gateways_.back()->placement.SetCacheTokens(base::ServiceId(kService),
                                                 deployment.engine.memory);
    }
  }

  DayResult Play() {
    for (std::size_t kind = 0; kind < options_.deployment.traffic.size();
         ++kind)
      Arrive(kind);
    PlanTrouble();
    if (options_.deployment.shared)
      ChangeSpeeds();
    SampleUse();
    timeline_.RunUntil(options_.length + kTail);
    for (auto& [number, attempt] : attempts_)
      Lose(*attempt.request);
    for (const auto& engine : engines_)
      result_.shared_tokens_read += engine->model.shared_tokens_read();
    if (imbalance_samples_ > 0)
      result_.busiest_over_mean = imbalance_sum_ / imbalance_samples_;
    result_.worth_share = owed_ > 0 ? earned_ / owed_ : 0;
    return result_;
  }

 private:
  struct Engine {
    Engine(Timeline& timeline,
           const BatchEngine::Options& options,
           BatchEngine::Hooks hooks)
        : model(timeline, options, std::move(hooks)) {}

    gateway::BackendEntry entry;
    BatchEngine model;
    // Whether it answers at all, and whether gateways know of it.
    bool is_up = true;
    bool is_listed = true;
    bool is_grey = false;
  };
  struct Gateway {
    Gateway(std::uint64_t seed,
            gateway::PlacementPolicy policy,
            int zone_number)
        : placement(seed, policy),
          allowance(gateway::RetryAllowance::Limits()),
          zone(zone_number) {}

    gateway::Placement placement;
    gateway::RetryAllowance allowance;
    int zone;
    bool is_up = true;
  };
  struct Request {
    std::size_t kind = 0;
    gateway::ModelRequest model_request;
    int events = 1;
    base::MonoTime begun{};
    // Tries of the caller's, the first included.
    int tries = 0;
    bool is_impatient = false;
    bool is_done = false;
  };
  struct Attempt {
    std::shared_ptr<Request> request;
    int gateway = 0;
    Engine* engine = nullptr;
    std::set<base::BackendId> tried;
    Tokens uncached = 0;
    milliseconds expected{0};
    base::MonoTime sent{};
    int events = 0;
  };

  const Traffic& TrafficOf(const Request& request) const {
    return options_.deployment.traffic[request.kind];
  }

  bool IsHeavy() const {
    return timeline_.elapsed() >= kFrom && timeline_.elapsed() < kUntil;
  }
  bool Has(const char* pattern) const { return options_.pattern == pattern; }

  Engine& AddEngine(int zone) {
    BatchEngine::Hooks hooks;
    hooks.event = [this](std::uint64_t number, int event,
                         const gateway::ResponseMetadata::Load& load) {
      OnEvent(number, event, load);
    };
    engines_.push_back(std::make_unique<Engine>(
        timeline_, options_.deployment.engine, std::move(hooks)));
    Engine& engine = *engines_.back();
    engine.entry.id =
        base::BackendId("engine-" + std::to_string(engines_.size()));
    engine.entry.service = base::ServiceId(kService);
    engine.entry.zone = ZoneId(zone);
    engine.entry.slots = options_.deployment.engine.slots;
    if (options_.deployment.shared && options_.deployment.shared->reports_speed)
      engine.model.ReportSlowness();
    return engine;
  }

  static base::ZoneId ZoneId(int zone) {
    return base::ZoneId("zone-" + std::to_string(zone));
  }

  // Changes the momentary speed of the machines, again and again.
  void ChangeSpeeds() {
    const SharedMachines& shared = *options_.deployment.shared;
    const auto slow = static_cast<std::size_t>(
        std::lround(shared.slow_share * options_.deployment.engines));
    for (std::size_t i = 0; i < engines_.size(); ++i) {
      engines_[i]->model.SetSlowness((i < slow ? shared.slow_factor : 1) *
                                     Draw(1, shared.speed_spread));
    }
    timeline_.After(shared.speed_interval, [this] { ChangeSpeeds(); });
  }

  // Notes how evenly the engines are in use.
  void SampleUse() {
    double sum = 0;
    double busiest = 0;
    for (const auto& engine : engines_) {
      const gateway::ResponseMetadata::Load load = engine->model.Load();
      sum += load.running + load.waiting;
      busiest = std::max<double>(busiest, load.running + load.waiting);
    }
    const double mean = sum / static_cast<double>(engines_.size());
    if (timeline_.elapsed() > kWarmUp && mean > 0) {
      imbalance_sum_ += busiest / mean;
      ++imbalance_samples_;
    }
    result_.highest_use =
        std::max(result_.highest_use, mean / options_.deployment.engine.slots);
    if (timeline_.elapsed() < options_.length)
      timeline_.After(kSampleInterval, [this] { SampleUse(); });
  }

  double Uniform() { return std::uniform_real_distribution<double>()(random_); }

  // A number with this mean, spread as a lognormal distribution.
  double Draw(double mean, double spread) {
    std::lognormal_distribution<double> draw(
        std::log(mean) - spread * spread / 2, spread);
    return draw(random_);
  }

  void Arrive(std::size_t kind) {
    const Traffic& traffic = options_.deployment.traffic[kind];
    double rate = traffic.per_second * (Has("burst") && IsHeavy() ? kBurst : 1);
    if (options_.deployment.shared) {
      const SharedMachines& shared = *options_.deployment.shared;
      rate *=
          1 + shared.wave * std::sin(2 * M_PI *
                                     (duration<double>(timeline_.elapsed()) /
                                      shared.wave_period));
    }
    std::exponential_distribution<double> gap(rate);
    timeline_.After(
        duration_cast<Timeline::Duration>(duration<double>(gap(random_))),
        [this, kind] {
          if (timeline_.elapsed() >= options_.length)
            return;
          Ask(kind);
          Arrive(kind);
        });
  }

  int DrawTopic(const Traffic& traffic) {
    if (Has("hot_key") && IsHeavy() && Uniform() < kHotShare)
      return 0;
    std::vector<double> weights;
    for (int topic = 1; topic <= traffic.topics; ++topic)
      weights.push_back(std::pow(topic, -kZipfExponent));
    return std::discrete_distribution<int>(weights.begin(),
                                           weights.end())(random_);
  }

  void Ask(std::size_t kind) {
    const Traffic& traffic = options_.deployment.traffic[kind];
    auto request = std::make_shared<Request>();
    request->kind = kind;
    request->begun = timeline_.now();
    request->is_impatient =
        Has("retry_abuse") && IsHeavy() && Uniform() < kAbuserShare;
    const int topic = DrawTopic(traffic);
    // The length of a shared part belongs to its topic.
    const auto shared =
        static_cast<Tokens>(static_cast<double>(traffic.shared_tokens) *
                            (0.5 + (topic * 37 % 100) / 100.0));
    const auto own = static_cast<Tokens>(
        1 + Draw(static_cast<double>(traffic.own_tokens), kPromptSpread));
    request->events =
        std::max(1, static_cast<int>(Draw(traffic.events, kAnswerSpread)));
    request->model_request.prompt_tokens = shared + own;
    request->model_request.max_output_tokens =
        request->events * options_.deployment.engine.tokens_per_event;
    request->model_request.parts = {
        {traffic.name + "-" + std::to_string(topic), shared},
        {"own-" + std::to_string(++last_own_), own}};
    ++result_.requests;
    owed_ += traffic.worth;
    Try(request);
  }

  void Try(const std::shared_ptr<Request>& request) {
    ++request->tries;
    std::vector<int> up;
    for (std::size_t i = 0; i < gateways_.size(); ++i) {
      if (gateways_[i]->is_up)
        up.push_back(static_cast<int>(i));
    }
    Attempt attempt;
    attempt.request = request;
    attempt.gateway = up[random_() % up.size()];
    gateways_[attempt.gateway]->allowance.OnRequest(timeline_.now());
    Place(attempt);
  }

  bool IsLate(const Request& request) const {
    return timeline_.now() >= request.begun + TrafficOf(request).time_limit;
  }

  void Place(Attempt attempt) {
    Gateway& gateway = *gateways_[attempt.gateway];
    std::vector<const gateway::BackendEntry*> usable;
    for (const auto& engine : engines_) {
      if (engine->is_listed)
        usable.push_back(&engine->entry);
    }
    gateway::PlacementRequest wanted;
    wanted.zone = ZoneId(gateway.zone);
    if (!TrafficOf(*attempt.request).is_plain)
      wanted.model = &attempt.request->model_request;
    wanted.excluded = attempt.tried;
    wanted.latency_objective = TrafficOf(*attempt.request).objective;
    wanted.bytes =
        static_cast<std::size_t>(attempt.request->model_request.prompt_tokens);
    const auto choice =
        gateway.placement.Choose(usable, wanted, timeline_.now());
    if (!choice)
      return Refuse(attempt.request);
    const base::BackendId id = choice->backend->id;
    attempt.engine =
        std::find_if(engines_.begin(), engines_.end(), [&](const auto& engine) {
          return engine->entry.id == id;
        })->get();
    attempt.tried.insert(id);
    attempt.uncached = choice->uncached_tokens;
    attempt.expected = choice->expected_wait;
    attempt.sent = timeline_.now();
    attempt.events = 0;
    gateway.placement.OnSent(attempt.engine->entry, wanted.model,
                             attempt.uncached, timeline_.now());
    milliseconds way(0);
    if (attempt.engine->entry.zone != wanted.zone) {
      way = options_.deployment.between_zones;
      ++result_.crossings;
    }
    const std::uint64_t number = ++last_number_;
    attempts_[number] = std::move(attempt);
    timeline_.After(way, [this, number] { Reach(number); });
  }

  void Reach(std::uint64_t number) {
    const auto found = attempts_.find(number);
    if (found == attempts_.end())
      return;
    Attempt& attempt = found->second;
    Engine& engine = *attempt.engine;
    const Traffic& traffic = TrafficOf(*attempt.request);
    if (!engine.is_up) {
      timeline_.After(kConnectionRefused, [this, number] {
        End(number, gateway::AttemptEnd::kBroken, true);
      });
      return;
    }
    if (engine.is_grey && Uniform() < kGreyShare)
      return End(number, gateway::AttemptEnd::kFailed, false);
    if (!engine.model.Submit({number, traffic.priority,
                              attempt.request->model_request,
                              attempt.request->events}))
      return End(number, gateway::AttemptEnd::kRejected, true);
    timeline_.After(traffic.time_limit, [this, number] {
      if (attempts_.count(number) != 0) {
        attempts_.at(number).engine->model.Cancel(number);
        End(number, gateway::AttemptEnd::kAbandoned, false);
      }
    });
  }

  void OnEvent(std::uint64_t number,
               int event,
               const gateway::ResponseMetadata::Load& load) {
    const auto found = attempts_.find(number);
    if (found == attempts_.end())
      return;
    Attempt& attempt = found->second;
    Gateway& gateway = *gateways_[attempt.gateway];
    attempt.events = event;
    const bool is_answer = TrafficOf(*attempt.request).is_plain
                               ? event >= attempt.request->events
                               : event == 1;
    if (is_answer) {
      // Without shared machines the load is that at the event's arrival.
      if (!options_.deployment.shared)
        gateway.placement.OnLoad(attempt.engine->entry,
                                 attempt.engine->model.Load(), timeline_.now());
      else if (options_.deployment.shared->report_loss == 0 ||
               Uniform() >= options_.deployment.shared->report_loss)
        gateway.placement.OnLoad(attempt.engine->entry, load, timeline_.now());
      gateway.placement.OnFirstEvent(
          attempt.engine->entry, attempt.uncached,
          duration_cast<milliseconds>(timeline_.now() - attempt.sent),
          attempt.expected, timeline_.now());
      if (!attempt.request->is_done)
        Earn(*attempt.request);
    }
    if (event >= attempt.request->events)
      End(number, gateway::AttemptEnd::kAnswered, false);
  }

  // Credit goes by the first event, as the rest of an answer follows evenly.
  void Earn(Request& request) {
    const Traffic& traffic = TrafficOf(request);
    request.is_done = true;
    const bool in_time = timeline_.now() - request.begun <= traffic.objective;
    earned_ += in_time ? traffic.worth : traffic.worth_late;
    ++(in_time ? result_.in_time : result_.late);
  }

  void End(std::uint64_t number, gateway::AttemptEnd end, bool has_not_run) {
    const auto found = attempts_.find(number);
    if (found == attempts_.end())
      return;
    Attempt attempt = std::move(found->second);
    attempts_.erase(found);
    Gateway& gateway = *gateways_[attempt.gateway];
    if (attempt.events == 0)
      gateway.placement.OnPromptDropped(attempt.engine->entry.id,
                                        attempt.uncached);
    gateway.placement.OnEnded(attempt.engine->entry, end, timeline_.now());
    if (end == gateway::AttemptEnd::kAnswered ||
        end == gateway::AttemptEnd::kAbandoned) {
      if (!attempt.request->is_done)
        Lose(*attempt.request);
      return;
    }
    const Traffic& traffic = TrafficOf(*attempt.request);
    const bool may_try =
        static_cast<int>(attempt.tried.size()) < traffic.max_attempts &&
        (has_not_run || traffic.max_attempts > 1) &&
        !IsLate(*attempt.request) &&
        gateway.allowance.TryTake(static_cast<int>(gateways_.size()),
                                  timeline_.now());
    if (may_try)
      return Place(std::move(attempt));
    if (has_not_run)
      Refuse(attempt.request);
    else
      Lose(*attempt.request);
  }

  void Refuse(const std::shared_ptr<Request>& request) {
    const int most =
        request->is_impatient ? static_cast<int>(kAbuseFactor) + 1 : 2;
    if (request->tries >= most || IsLate(*request)) {
      ++result_.refused;
      request->is_done = true;
      return;
    }
    timeline_.After(request->is_impatient ? kImpatience : kRetryAfter,
                    [this, request] { Try(request); });
  }

  void Lose(Request& request) {
    if (std::exchange(request.is_done, true))
      return;
    ++result_.failed;
  }

  void BreakAll(Engine& engine) {
    std::vector<std::uint64_t> broken;
    for (const auto& [number, attempt] : attempts_) {
      if (attempt.engine == &engine)
        broken.push_back(number);
    }
    engine.model.Crash();
    for (const std::uint64_t number : broken)
      End(number, gateway::AttemptEnd::kBroken, false);
  }

  void At(Timeline::Duration at, std::function<void()> action) {
    timeline_.After(at, std::move(action));
  }

  std::vector<Engine*> Befallen() {
    std::vector<Engine*> befallen;
    const auto count = static_cast<std::size_t>(
        std::ceil(kBefallen * options_.deployment.engines));
    for (std::size_t i = 0; i < count; ++i)
      befallen.push_back(engines_[i].get());
    return befallen;
  }

  void PlanTrouble() {
    const std::vector<Engine*> befallen = Befallen();
    for (Engine* engine : befallen) {
      if (Has("srv_slow")) {
        At(kFrom, [=] { engine->model.SetSlowness(kSlowness); });
        At(kUntil, [=] { engine->model.SetSlowness(1); });
      } else if (Has("srv_grey")) {
        At(kFrom, [=] { engine->is_grey = true; });
        At(kUntil, [=] { engine->is_grey = false; });
      } else if (Has("srv_crash") || Has("platform_down")) {
        At(kFrom, [=] {
          engine->is_up = false;
          BreakAll(*engine);
        });
        // While the store is away nobody hears of it.
        At(Has("platform_down") ? kUntil : kFrom + kLapse,
           [=] { engine->is_listed = false; });
      } else if (Has("scale_in")) {
        At(kFrom, [=] { engine->is_listed = false; });
      }
    }
    if (Has("release")) {
      for (std::size_t i = 0; i < engines_.size(); ++i) {
        Engine* engine = engines_[i].get();
        At(kFrom + kReleasePause * i, [=] {
          engine->is_listed = false;
          AddEngine(static_cast<int>(i) % options_.deployment.zones);
        });
      }
    }
    if (Has("node_kill")) {
      At(kFrom, [this] {
        for (std::size_t i = 0; i < gateways_.size() / 2; ++i)
          KillGateway(static_cast<int>(i));
      });
    }
  }

  void KillGateway(int killed) {
    std::vector<std::uint64_t> broken;
    for (const auto& [number, attempt] : attempts_) {
      if (attempt.gateway == killed)
        broken.push_back(number);
    }
    gateways_[killed]->is_up = false;
    for (const std::uint64_t number : broken) {
      attempts_.at(number).engine->model.Cancel(number);
      End(number, gateway::AttemptEnd::kAbandoned, false);
    }
  }

  const DayOptions options_;
  Timeline timeline_;
  std::mt19937_64 random_;
  std::vector<std::unique_ptr<Engine>> engines_;
  std::vector<std::unique_ptr<Gateway>> gateways_;
  std::map<std::uint64_t, Attempt> attempts_;
  std::uint64_t last_number_ = 0;
  std::uint64_t last_own_ = 0;
  double imbalance_sum_ = 0;
  int imbalance_samples_ = 0;
  double owed_ = 0;
  double earned_ = 0;
  DayResult result_;
};

}  // namespace

const char kSharedMachinesWaves[] = "shared_machines_waves";

const std::vector<std::string>& PatternNames() {
  static const std::vector<std::string> names = {
      "quiet",    "burst",         "hot_key",   "retry_abuse",
      "srv_slow", "srv_grey",      "srv_crash", "scale_in",
      "release",  "platform_down", "node_kill"};
  return names;
}

DayResult PlayDay(const DayOptions& options) {
  return Day(options).Play();
}

}  // namespace bench::placement
