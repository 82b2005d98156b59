#include "bench/routing/experiment.h"

#include <algorithm>
#include <numeric>
#include <utility>

namespace bench::routing {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kTick{50};
constexpr milliseconds kPollPeriod{250};
constexpr milliseconds kSamplePeriod{100};
constexpr int kMostTries = 8;
constexpr int kImpatience = 300;  // ms
constexpr double kWarmUp = 5;     // seconds before loads are averaged
const char kService[] = "assay";
const char kModel[] = "ochre-8b";
const char kZone[] = "zone";

inventory::SnapshotPtr MakeConfig(const ExperimentOptions& options) {
  inventory::Core core;
  core.regions = {{base::RegionId("region"), {base::ZoneId(kZone)}}};
  inventory::Service service;
  service.id = base::ServiceId(kService);
  service.models.push_back({base::ModelId(kModel), "1", {}, 16, 512});
  service.queue_limit = options.queue_limit;
  core.services = {service};
  for (int i = 0; i < options.engines; ++i) {
    inventory::Backend backend;
    backend.id = base::BackendId(std::to_string(i));
    backend.service = service.id;
    backend.zone = base::ZoneId(kZone);
    backend.slots = options.engine.slots;
    core.backends.push_back(backend);
  }
  core.rules.routing_policy = options.policy;
  return std::make_shared<inventory::Snapshot>(
      1, std::move(core), std::vector<inventory::Account>{});
}

Timeline::Duration ToDuration(double seconds) {
  return std::chrono::duration_cast<Timeline::Duration>(
      std::chrono::duration<double>(seconds));
}

}  // namespace

struct Experiment::Router {
  explicit Router(product::Dispatcher router_dispatcher, int engines)
      : dispatcher(std::move(router_dispatcher)),
        events_seen(static_cast<std::size_t>(engines)) {}

  product::Dispatcher dispatcher;
  std::vector<std::uint64_t> events_seen;
};

Experiment::Experiment(ExperimentOptions options)
    : options_(options),
      random_(options.seed),
      workload_(options.workload, options.seed + 1),
      load_sums_(static_cast<std::size_t>(options.engines)) {
  for (int i = 0; i < options_.engines; ++i) {
    EngineModel::Hooks hooks;
    hooks.first_token = [this](std::uint64_t number) { OnFirstToken(number); };
    hooks.ended = [this](std::uint64_t number, bool) { OnEngineEnded(number); };
    engines_.push_back(
        std::make_unique<EngineModel>(timeline_, options_.engine, hooks));
  }
  const auto config = MakeConfig(options_);
  for (int i = 0; i < options_.routers; ++i) {
    product::Dispatcher dispatcher(base::ZoneId(kZone),
                                   options_.seed * 1000 + i);
    dispatcher.OnConfig(config, timeline_.now());
    routers_.push_back(
        std::make_unique<Router>(std::move(dispatcher), options_.engines));
    timeline_.After(kPollPeriod * i / options_.routers, [this, i] { Poll(i); });
  }
  SampleLoad();
}

Experiment::~Experiment() = default;

double Experiment::Seconds() const {
  return std::chrono::duration<double>(timeline_.elapsed()).count();
}

double Experiment::ColdCapacity() const {
  const auto seconds = [](std::chrono::microseconds time) {
    return std::chrono::duration<double>(time).count();
  };
  return options_.engines * options_.engine.slots /
         workload_.MeanColdSeconds(seconds(options_.engine.prefill_per_block),
                                   seconds(options_.engine.token_interval));
}

void Experiment::AddCallers(const std::string& account,
                            Rate rate,
                            double highest_rate) {
  Arrive(account, std::move(rate), highest_rate);
}

// A Poisson process whose rate changes, by thinning (Lewis and Shedler, 1979).
void Experiment::Arrive(const std::string& account,
                        Rate rate,
                        double highest_rate) {
  std::exponential_distribution<double> gap(highest_rate);
  timeline_.After(ToDuration(gap(random_)), [=] {
    std::uniform_real_distribution<double> uniform(0, highest_rate);
    if (uniform(random_) < rate(Seconds())) {
      Outcome outcome;
      outcome.account = account;
      outcome.at_s = Seconds();
      outcomes_.push_back(outcome);
      Ask ask = workload_.Draw();
      ask.account = account;
      Submit(outcomes_.size() - 1, ask);
    }
    Arrive(account, rate, highest_rate);
  });
}

void Experiment::Submit(std::size_t outcome, const Ask& ask) {
  Try attempt;
  attempt.outcome = outcome;
  attempt.ask = ask;
  attempt.router = static_cast<int>(random_() % routers_.size());
  attempt.submitted_s = Seconds();
  ++outcomes_[outcome].tries;
  const std::uint64_t number = ++last_number_;
  tries_[number] = attempt;
  product::Request request;
  request.number = number;
  request.account = base::AccountId(ask.account);
  request.service = base::ServiceId(kService);
  request.model = base::ModelId(kModel);
  request.prefix_blocks = ask.blocks;
  request.expected_tokens =
      static_cast<base::Tokens>(ask.blocks.size()) * 64 + ask.output_tokens;
  request.body_sha256 = "body-" + std::to_string(number);
  request.deadline = timeline_.now() + options_.deadline;
  timeline_.After(options_.deadline, [this, number] { OnDeadline(number); });
  Apply(attempt.router,
        routers_[attempt.router]->dispatcher.Submit(request, timeline_.now()));
}

void Experiment::Apply(int router, const product::Decisions& decisions) {
  for (const product::Decision& decision : decisions) {
    if (const auto* dispatch = std::get_if<product::Dispatch>(&decision)) {
      Try& attempt = tries_.at(dispatch->number);
      ++attempts_;
      attempt.engine = std::stoi(dispatch->backend.value());
      attempt.sent_s = Seconds();
      engines_[attempt.engine]->Submit(
          {dispatch->number, 5, attempt.ask.blocks, attempt.ask.output_tokens});
      continue;
    }
    const auto& refuse = std::get<product::Refuse>(decision);
    const Try failed = tries_.at(refuse.number);
    tries_.erase(refuse.number);
    TryAgain(failed, refuse.retry_after);
  }
  (void)router;
}

void Experiment::OnDeadline(std::uint64_t number) {
  const auto found = tries_.find(number);
  if (found == tries_.end())
    return;
  const Try failed = found->second;
  product::Dispatcher& dispatcher = routers_[failed.router]->dispatcher;
  if (failed.engine < 0) {
    // The dispatcher sheds it at its next tick; the caller has left already.
    tries_.erase(found);
    Apply(failed.router,
          dispatcher.OnCallerDisconnected(number, timeline_.now()));
  } else {
    engines_[failed.engine]->Cancel(number);
    tries_.erase(found);
    Apply(failed.router,
          dispatcher.OnAttemptEnded(number, product::AttemptResult::kCancelled,
                                    failed.first_s >= 0, timeline_.now()));
  }
  TryAgain(failed, milliseconds(0));
}

void Experiment::TryAgain(const Try& failed, milliseconds retry_after) {
  Outcome& outcome = outcomes_[failed.outcome];
  const bool again =
      options_.callers != CallerKind::kNone && outcome.tries < kMostTries;
  if (!again) {
    outcome.refused = true;
    return;
  }
  milliseconds wait = retry_after;
  if (options_.callers == CallerKind::kImpatient)
    wait = milliseconds(1 + random_() % kImpatience);
  const std::size_t number = failed.outcome;
  const Ask ask = failed.ask;
  timeline_.After(wait, [this, number, ask] { Submit(number, ask); });
}

void Experiment::OnFirstToken(std::uint64_t number) {
  const auto found = tries_.find(number);
  if (found == tries_.end())
    return;
  found->second.first_s = Seconds();
  routers_[found->second.router]->dispatcher.OnFirstEvent(number,
                                                          timeline_.now());
}

void Experiment::OnEngineEnded(std::uint64_t number) {
  const auto found = tries_.find(number);
  if (found == tries_.end())
    return;
  const Try done = found->second;
  tries_.erase(found);
  Outcome& outcome = outcomes_[done.outcome];
  outcome.complete = true;
  outcome.ttft_s = done.first_s - outcome.at_s;
  outcome.total_s = Seconds() - outcome.at_s;
  Apply(done.router,
        routers_[done.router]->dispatcher.OnAttemptEnded(
            number, product::AttemptResult::kCompleted, true, timeline_.now()));
}

void Experiment::Poll(int number) {
  Router& router = *routers_[number];
  for (int i = 0; i < options_.engines; ++i) {
    const base::BackendId id(std::to_string(i));
    Apply(number, router.dispatcher.OnLoadReport(id, engines_[i]->Report(),
                                                 timeline_.now()));
    std::vector<CacheEvent> events =
        engines_[i]->EventsAfter(router.events_seen[i]);
    if (events.empty())
      continue;
    router.events_seen[i] = events.back().sequence;
    if (static_cast<int>(random_() % 100) >= options_.lost_events_percent)
      router.dispatcher.OnCacheEvents(id, events);
  }
  timeline_.After(kPollPeriod, [this, number] { Poll(number); });
}

void Experiment::SampleLoad() {
  if (Seconds() > kWarmUp) {
    for (int i = 0; i < options_.engines; ++i)
      load_sums_[i] += engines_[i]->running();
  }
  timeline_.After(kSamplePeriod, [this] { SampleLoad(); });
}

void Experiment::At(double at_s, std::function<void()> action) {
  timeline_.After(ToDuration(at_s), std::move(action));
}

void Experiment::Run(double length_s) {
  for (int i = 0; i < options_.routers; ++i) {
    // Ticks for the whole run, spread like the polls.
    for (double at = 0.001 * i; at < length_s;
         at += std::chrono::duration<double>(kTick).count()) {
      timeline_.After(ToDuration(at), [this, i] {
        Apply(i, routers_[i]->dispatcher.OnTick(timeline_.now()));
      });
    }
  }
  timeline_.RunUntil(ToDuration(length_s));
}

double Experiment::MaxOverMeanLoad() const {
  const double sum = std::accumulate(load_sums_.begin(), load_sums_.end(), 0.0);
  const double most = *std::max_element(load_sums_.begin(), load_sums_.end());
  return sum == 0 ? 0 : most * options_.engines / sum;
}

double Experiment::UsefulSeconds() const {
  double seconds = 0;
  for (const auto& engine : engines_)
    seconds += engine->useful_time().count();
  return seconds;
}

double Experiment::HitShare() const {
  double hits = 0;
  double asked = 0;
  for (const auto& engine : engines_) {
    hits += static_cast<double>(engine->cached_blocks());
    asked += static_cast<double>(engine->asked_blocks());
  }
  return asked == 0 ? 0 : hits / asked;
}

}  // namespace bench::routing
