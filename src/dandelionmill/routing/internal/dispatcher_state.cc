#include "dandelionmill/routing/internal/dispatcher_state.h"

#include <algorithm>
#include <utility>

#include "dandelionmill/base/digest.h"

namespace dandelionmill::routing {
namespace {

using base::Code;

constexpr base::Millis kMinRetryAfter{1000};
constexpr base::Millis kMaxRetryAfter{30000};
constexpr double kMinRetryCapacity = 10;  // retries

}  // namespace

Dispatcher::State::State(base::ZoneId zone, std::uint64_t seed)
    : zone_(std::move(zone)),
      random_(seed),
      body_quarantine_(zone_.value() + "/" + std::to_string(random_())) {}

Decisions Dispatcher::State::OnConfig(inventory::SnapshotPtr config,
                                      base::MonoTime now) {
  config_ = std::move(config);
  policy_ = PolicyOf(config_->rules().routing_policy);
  body_quarantine_.SetDuration(config_->rules().quarantine);
  for (const inventory::Service& spec : config_->core().services)
    services_[spec.id].queue.SetLimit(spec.queue_limit);
  for (auto& [id, service] : services_) {
    service.pool.Configure(*config_, id, zone_, now);
    double capacity = kMinRetryCapacity;
    for (const auto& [backend_id, backend] : service.pool.backends())
      capacity = std::max(capacity, 2.0 * backend.spec.slots);
    service.retries.Configure(config_->rules().retry_budget_percent, capacity);
  }
  return SetLeavingBackends(std::set<base::BackendId>(listed_leaving_), now);
}

Decisions Dispatcher::State::Submit(Request request, base::MonoTime now) {
  Decisions out;
  // All requests without a body have the same digest but are unrelated.
  static const std::string empty_sha256 = base::Sha256Hex("");
  if (request.body_sha256 == empty_sha256)
    request.body_sha256.clear();
  Entry& entry = entries_[request.number];
  entry.request = std::move(request);
  if (!config_) {
    RefuseEntry(entry, {Code::kNoConfig, ""}, AddJitter(kMinRetryAfter), out);
    return out;
  }
  Service* service = FindService(entry.request.service);
  if (service == nullptr) {
    RefuseEntry(entry, {Code::kUnknownService, entry.request.service.value()},
                base::Millis{0}, out);
    return out;
  }
  service->retries.OnRequest();
  DispatchWaiting(*service, now, out);
  Admit(entry, false, now, out);
  return out;
}

void Dispatcher::State::Admit(Entry& entry,
                              bool front,
                              base::MonoTime now,
                              Decisions& out) {
  const Request& request = entry.request;
  Service& service = services_.at(request.service);
  if (request.deadline <= now) {
    return RefuseEntry(entry,
                       {Code::kDeadlineExceeded, "the deadline has passed"},
                       base::Millis{0}, out);
  }
  if (RefuseQuarantined(entry, now, out))
    return;
  if (!service.pool.CanServe(request)) {
    return RefuseEntry(entry,
                       {Code::kNoBackend, "service " + request.service.value()},
                       AddJitter(kMinRetryAfter), out);
  }
  // Waiting requests were tried first, so they cannot use a slot that is free
  // for this request.
  const Choice choice = Choose(service, entry, now);
  if (choice.backend != nullptr)
    return Send(entry, choice, now, out);
  const int ahead = service.queue.CountAhead(request.account, request.weight,
                                             request.priority);
  const auto needed =
      service.run_time.EstimateWait(ahead, service.pool.CountRunning()) +
      service.run_time.UpperEstimate();
  if (request.deadline - now < needed) {
    return RefuseEntry(
        entry, {Code::kOverloaded, "the deadline is shorter than the queue"},
        RetryAfter(service), out);
  }
  const QueueItem item{request.number, request.account, request.weight,
                       request.priority,
                       std::max<double>(1, request.expected_tokens)};
  const auto dropped =
      front ? service.queue.PushFront(item) : service.queue.Push(item);
  if (dropped) {
    RefuseEntry(entries_.at(*dropped), {Code::kOverloaded, "the queue is full"},
                RetryAfter(service), out);
  }
}

void Dispatcher::State::DispatchWaiting(Service& service,
                                        base::MonoTime now,
                                        Decisions& out) {
  while (service.queue.size() > 0) {
    Choice choice;
    // Models and adapters without a free slot.
    std::set<std::pair<base::ModelId, std::string>> full;
    const auto number = service.queue.Take([&](RequestNumber candidate) {
      const Entry& entry = entries_.at(candidate);
      const std::pair kind(entry.request.model, entry.request.adapter);
      if (full.count(kind) > 0)
        return false;
      choice = Choose(service, entry, now);
      if (choice.none_free)
        full.insert(kind);
      return choice.backend != nullptr;
    });
    if (!number)
      return;
    Send(entries_.at(*number), choice, now, out);
  }
}

Dispatcher::State::Choice Dispatcher::State::Choose(Service& service,
                                                    const Entry& entry,
                                                    base::MonoTime now) {
  const Request& request = entry.request;
  BodyQuarantine::Permission permission;
  if (body_quarantine_.StatusOf(request.body_sha256, now) !=
      QuarantineStatus::kClean)
    permission = body_quarantine_.PermissionFor(
        request.body_sha256, service.pool.AllUsable(request), now);
  else
    permission = body_quarantine_.PermissionFor(request.body_sha256, {}, now);
  if (permission.kind != BodyQuarantine::Permission::Kind::kRun)
    return {};
  if (permission.required_backend) {
    BackendState* backend = service.pool.Find(*permission.required_backend);
    const bool free = backend != nullptr && backend->FreeSlots(now) > 0 &&
                      service.pool.MayServe(*backend, request);
    return {free ? backend : nullptr, false, false};
  }

  Candidates found = service.pool.FindCandidates(request, entry.failed_on, now);
  const bool all_failed =
      std::all_of(found.usable.begin(), found.usable.end(),
                  [&](const BackendState* backend) {
                    return entry.failed_on.count(backend->spec.id) > 0;
                  });
  if (all_failed && !entry.failed_on.empty())
    found = service.pool.FindCandidates(request, {}, now);
  if (found.probe != nullptr && request.idempotent && entry.attempts == 0)
    return {found.probe, true, false};
  return {ChooseBackend(policy_, found, request, now, random_), false,
          found.free.empty() && entry.failed_on.empty()};
}

void Dispatcher::State::Send(Entry& entry,
                             const Choice& choice,
                             base::MonoTime now,
                             Decisions& out) {
  BackendState& backend = *choice.backend;
  entry.running = true;
  entry.backend = backend.spec.id;
  entry.sent_at = now;
  entry.first_event = false;
  ++entry.attempts;
  backend.load.OnSent(now);
  backend.cache.OnSent(entry.request.prefix_blocks);
  if (choice.probe)
    backend.health.OnProbeSent();
  body_quarantine_.OnSent(entry.request.body_sha256, backend.spec.id);
  out.push_back(Dispatch{entry.request.number, backend.spec.id});
}

Decisions Dispatcher::State::OnCallerDisconnected(RequestNumber number,
                                                  base::MonoTime now) {
  Decisions out;
  const auto found = entries_.find(number);
  if (found == entries_.end() || found->second.running)
    return out;
  Service& service = services_.at(found->second.request.service);
  service.queue.Remove(number);
  entries_.erase(found);
  DispatchWaiting(service, now, out);
  return out;
}

void Dispatcher::State::Shed(Service& service,
                             base::MonoTime now,
                             Decisions& out) {
  for (const RequestNumber number : service.queue.Numbers()) {
    const Entry& entry = entries_.at(number);
    const Request& request = entry.request;
    const bool quarantined =
        body_quarantine_.StatusOf(request.body_sha256, now) ==
        QuarantineStatus::kQuarantined;
    const bool servable = service.pool.CanServe(request);
    const bool in_time =
        request.deadline - now > service.run_time.UpperEstimate();
    if (!quarantined && servable && in_time)
      continue;
    service.queue.Remove(number);
    if (RefuseQuarantined(entry, now, out))
      continue;
    base::Error error{Code::kOverloaded, "the deadline cannot be met"};
    if (!servable)
      error = {Code::kNoBackend, "service " + request.service.value()};
    RefuseEntry(entry, std::move(error), RetryAfter(service), out);
  }
}

void Dispatcher::State::ShedAndDispatch(Service& service,
                                        base::MonoTime now,
                                        Decisions& out) {
  Shed(service, now, out);
  DispatchWaiting(service, now, out);
}

void Dispatcher::State::RefuseEntry(const Entry& entry,
                                    base::Error error,
                                    base::Millis retry_after,
                                    Decisions& out) {
  Refuse refuse;
  refuse.number = entry.request.number;
  refuse.error = std::move(error);
  refuse.ran = entry.ran;
  refuse.retry_after = retry_after;
  out.push_back(std::move(refuse));
  entries_.erase(entry.request.number);
}

bool Dispatcher::State::RefuseQuarantined(const Entry& entry,
                                          base::MonoTime now,
                                          Decisions& out) {
  const std::string& body = entry.request.body_sha256;
  if (body_quarantine_.StatusOf(body, now) != QuarantineStatus::kQuarantined)
    return false;
  RefuseEntry(entry, {Code::kQuarantined, "body " + body},
              body_quarantine_.Remaining(body, now), out);
  return true;
}

base::Millis Dispatcher::State::RetryAfter(const Service& service) {
  const auto wait =
      std::chrono::duration_cast<base::Millis>(service.run_time.EstimateWait(
          service.queue.size(), service.pool.CountRunning()));
  return AddJitter(std::clamp(wait, kMinRetryAfter, kMaxRetryAfter));
}

base::Millis Dispatcher::State::AddJitter(base::Millis delay) {
  std::uniform_real_distribution<double> factor(1.0, 1.5);
  return std::chrono::duration_cast<base::Millis>(delay * factor(random_));
}

Dispatcher::State::Service* Dispatcher::State::FindService(
    const base::ServiceId& id) {
  if (config_->FindService(id) == nullptr)
    return nullptr;
  return &services_.at(id);
}

}  // namespace dandelionmill::routing
