#include <algorithm>
#include <cmath>
#include <utility>

#include "dandelionmill/gateway/exchange.h"

// The choice of a backend server for the next attempt of an exchange.
namespace dandelionmill::gateway {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

// Share of a backend server's connection limit that the fleet uses. The rest is
// for connections that the backend server has not closed yet.
constexpr double kConnectionShare = 0.9;

// Longest Retry-After while the backend servers limit their requests: the
// limits change with their load.
constexpr milliseconds kMaxRetryAfterLimit{2000};

// Estimated bytes of the header fields of a request and its response, and of
// each output token including its share of an event.
constexpr std::size_t kHeaderBytes = 1000;
constexpr std::size_t kBytesPerOutputToken = 16;

}  // namespace

void Exchange::StartAttempt() {
  if (const std::optional<Refusal> refusal = RefuseQuarantinedPart()) {
    Refuse(*refusal);
    return;
  }
  const base::MonoTime now = steady_clock::now();
  auto usable = context_.directory.Usable(service_->id, now);
  if (const std::optional<Refusal> refusal = RemoveIneligible(usable)) {
    Refuse(*refusal);
    return;
  }
  PlacementRequest request = MakePlacementRequest();
  if (context_.brittle_services.IsBrittle(service_->id, now) &&
      !context_.brittle_services.AdmitsMore(
          service_->id, context_.placement.InFlightAt(service_->id), now)) {
    // Another try at this moment would end here as well.
    Refuse(may_have_run_ ? FailMaybeRun(base::Code::kBackendFailed, 502,
                                        "the backend servers bear no further "
                                        "requests")
                         : RefuseNotRun(base::Code::kOverloaded,
                                        "the backend servers bear no more "
                                        "requests now",
                                        kRetryAfterOverload));
    return;
  }
  ExcludeUnavailable(usable, request, now);
  const auto choice = context_.placement.Choose(usable, request, now);
  if (!choice) {
    if (may_have_run_)
      no_retry_reason_ = "backend";
    Refuse(RefuseForWantOfBackend(usable));
    return;
  }
  BeginAttempt(*choice, request, now);
  Connect();
}

PlacementRequest Exchange::MakePlacementRequest() const {
  PlacementRequest request;
  request.zone = context_.zone;
  request.model = request_metadata_.model ? &*request_metadata_.model : nullptr;
  request.excluded = tried_backends_;
  request.max_in_flight = std::max(
      2, static_cast<int>(kConnectionShare * service_->max_connections /
                          std::max(1, context_.instance_count)));
  request.latency_objective = route_->latency_objective;
  request.bytes = request_.body().size() + kHeaderBytes;
  if (request_metadata_.model) {
    request.bytes +=
        kBytesPerOutputToken *
        static_cast<std::size_t>(request_metadata_.model->max_output_tokens);
  }
  return request;
}

std::optional<Refusal> Exchange::RemoveIneligible(
    std::vector<const BackendEntry*>& backends) {
  if (const std::optional<Refusal> refusal = RemoveOtherVersions(backends))
    return refusal;
  return RemoveForbiddenZones(backends);
}

std::optional<Refusal> Exchange::RemoveOtherVersions(
    std::vector<const BackendEntry*>& backends) const {
  if (route_->kind != RequestKind::kResumableStream)
    return std::nullopt;
  if (IsResume()) {
    const std::optional<std::string> version = BegunVersion();
    if (!version) {
      return FailMaybeRun(base::Code::kStreamNotResumable, 502,
                          "the version that began the stream is unknown");
    }
    backends.erase(std::remove_if(backends.begin(), backends.end(),
                                  [&version](const BackendEntry* backend) {
                                    return backend->software_version !=
                                           *version;
                                  }),
                   backends.end());
    return std::nullopt;
  }
  if (backends.empty())
    return std::nullopt;
  RemoveUnrecorded(backends);
  if (!backends.empty())
    return std::nullopt;
  return may_have_run_ ? FailMaybeRun(base::Code::kBackendFailed, 502,
                                      "no other backend server can be used")
                       : RefuseNotRun(base::Code::kNoBackend,
                                      "the versions of the backend servers are "
                                      "not recorded in the store yet",
                                      kRetryAfterNoBackend);
}

void Exchange::ExcludeUnavailable(
    const std::vector<const BackendEntry*>& backends,
    PlacementRequest& request,
    base::MonoTime now) const {
  const bool is_brittle =
      context_.brittle_services.IsBrittle(service_->id, now);
  if (context_.request_limits.empty() && context_.backoff.empty() &&
      !is_brittle && context_.cold_allowance.empty())
    return;
  const base::BootTime boot_now = base::BootClock::now();
  for (const BackendEntry* backend : backends) {
    if (!context_.request_limits.Admits(*backend, now) ||
        !context_.backoff.Admits(*backend, now) ||
        !context_.cold_allowance.Admits(*backend, boot_now) ||
        (is_brittle && !IsAdmittedIfBrittle(*backend, now)))
      request.excluded.insert(backend->id);
  }
}

void Exchange::BeginAttempt(const PlacementChoice& choice,
                            const PlacementRequest& request,
                            base::MonoTime now) {
  backend_ = *choice.backend;
  choice_ = choice;
  choice_.backend = nullptr;
  tried_backends_.insert(backend_->id);
  context_.placement.OnSent(*backend_, request.model, choice_.uncached_tokens,
                            now);
  if (choice_.load) {
    context_.metrics.OnChosenByEstimate(
        std::lround(100 * choice_.load->others /
                    std::max(1.0, choice_.load->slots)),
        std::lround(100 * choice_.load->work_time));
  }
  context_.request_limits.OnSent(backend_->id, now);
  context_.backoff.OnSent(backend_->id, now);
  if (!context_.cold_allowance.empty())
    context_.cold_allowance.Reserve(*backend_, base::BootClock::now());
  is_warm_up_checked_ = false;
  chosen_at_ = now;
  relay_.reset();
  is_attempt_open_ = true;
  is_prompt_pending_ = true;
  is_sent_ = false;
  response_status_ = 0;
  response_metadata_ = ResponseMetadata();
  response_fields_.clear();
  response_body_.clear();
  attempt_first_event_at_ = base::MonoTime();
  is_answering_ = false;
  is_confirming_end_ = false;
  is_body_old_ = false;
  paused_at_.reset();
  long_pause_ended_at_ = base::BootTime();
  is_event_stream_ = false;
  framer_ = EventFramer();
}

void Exchange::RemoveUnrecorded(
    std::vector<const BackendEntry*>& backends) const {
  const auto is_unrecorded = [this](const BackendEntry* backend) {
    return !context_.service_versions.IsRecorded(service_->id,
                                                 backend->software_version);
  };
  backends.erase(
      std::remove_if(backends.begin(), backends.end(), is_unrecorded),
      backends.end());
}

bool Exchange::IsAdmittedIfBrittle(const BackendEntry& backend,
                                   base::MonoTime now) const {
  return context_.brittle_services.Admits(
      backend, context_.placement.LoadOf(backend.id, now), now);
}

std::optional<milliseconds> Exchange::TimeUntilAdmitted(
    const std::vector<const BackendEntry*>& usable,
    base::MonoTime now) const {
  std::optional<milliseconds> soonest;
  const base::BootTime boot_now = base::BootClock::now();
  for (const BackendEntry* backend : usable) {
    const auto until_limit =
        context_.request_limits.TimeUntilAdmitted(*backend, now);
    if (!until_limit)
      continue;
    const milliseconds wait =
        std::max({std::min(*until_limit, kMaxRetryAfterLimit),
                  context_.backoff.TimeUntilAdmitted(*backend, now),
                  context_.cold_allowance.TimeUntilAdmitted(*backend, boot_now),
                  IsAdmittedIfBrittle(*backend, now) ? milliseconds(0)
                                                     : kRetryAfterOverload});
    if (wait.count() == 0 && tried_backends_.count(backend->id) != 0)
      continue;
    soonest = std::min(soonest.value_or(wait), wait);
  }
  return soonest;
}

Refusal Exchange::RefuseForWantOfBackend(
    const std::vector<const BackendEntry*>& usable) const {
  if (may_have_run_) {
    return FailMaybeRun(base::Code::kBackendFailed, 502,
                        "no other backend server can be used");
  }
  if (resumed_version_ && usable.empty()) {
    return RefuseNotRun(base::Code::kStreamNotResumable,
                        "no backend server of version " + *resumed_version_ +
                            ", which began the stream, can be used",
                        std::nullopt);
  }
  const auto until_admitted = TimeUntilAdmitted(usable, steady_clock::now());
  if (!until_admitted || until_admitted->count() == 0) {
    return RefuseNotRun(base::Code::kNoBackend, "no backend server can be used",
                        kRetryAfterNoBackend);
  }
  // Another instance may have a share of the limit before.
  return RefuseNotRun(base::Code::kOverloaded,
                      "the backend servers accept no more requests now",
                      std::max(*until_admitted, kRetryAfterOverload));
}

}  // namespace dandelionmill::gateway
