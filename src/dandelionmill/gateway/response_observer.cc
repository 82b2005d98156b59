#include "dandelionmill/gateway/response_observer.h"

#include "dandelionmill/gateway/gateway_context.h"

namespace dandelionmill::gateway {
namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

// Adds what is known of the process, and the age of the registry.
log::Event& AddProcessFields(const GatewayContext& context,
                             const BackendProcess& process,
                             log::Event& event) {
  const base::BootTime now = base::BootClock::now();
  return event.With("incarnation", process.listed)
      .With("reported", process.reported.value_or(0))
      .With("connection_age_ms",
            duration_cast<milliseconds>(now - process.connected_at))
      .With("registry_age_ms",
            duration_cast<milliseconds>(now - context.directory.as_of()));
}

}  // namespace

void ObserveResponse(GatewayContext& context,
                     const ObservedResponse& response,
                     const std::function<void(log::Event&)>& add_fields,
                     base::MonoTime now) {
  const BackendEntry& backend = response.backend;
  const ResponseMetadata& metadata = response.metadata;
  context.placement.OnBytesReceived(backend.id, now);
  if (metadata.load)
    context.placement.OnLoad(backend, *metadata.load, now);
  if (!metadata.malformed_load.empty() &&
      context.placement.OnMalformedLoad(backend, now)) {
    log::Event event(log::Level::kWarning, "backend_load_malformed");
    add_fields(event);
    event.With("server_load", metadata.malformed_load);
  }
  if (context.request_limits.OnResponse(
          {backend.id, response.process, metadata.requests_per_s},
          response.sent_at, now)) {
    log::Event event(log::Level::kInfo, "backend_limit_changed");
    add_fields(event);
    event.With("requests_per_s", metadata.requests_per_s.value_or(0));
  }
  // The process that answers 421 has another id.
  if (!context.cold_allowance.empty() && !metadata.is_other_backend) {
    const base::BootTime boot_now = base::BootClock::now();
    context.cold_allowance.OnResponse(
        backend, metadata.remaining_warm_up, response.process.connected_at,
        boot_now - (now - response.sent_at), boot_now);
  }
  if (metadata.max_rejections_per_s &&
      context.brittle_services.OnBrittle(backend.service, now)) {
    log::Event event(log::Level::kWarning, "service_brittle");
    add_fields(event);
    event.With("service", backend.service)
        .With("max_rejections_per_s", *metadata.max_rejections_per_s);
  }
  if (metadata.not_executed && !metadata.is_other_backend)
    context.brittle_services.OnRejected(
        backend, context.placement.InFlightAt(backend.service), now);
  if (metadata.pause) {
    context.backoff.OnPauseRequested(backend.id, response.process,
                                     *metadata.pause, now);
    log::Event event(log::Level::kInfo, "backend_paused");
    add_fields(event);
    AddProcessFields(context, response.process, event)
        .With("pause_ms", *metadata.pause);
  } else if (context.backoff.OnAnswered(backend.id, response.chosen_at)) {
    log::Event event(log::Level::kInfo, "backend_pause_ended");
    add_fields(event);
  }
  if (!metadata.malformed_pause.empty()) {
    log::Event event(log::Level::kWarning, "backend_pause_malformed");
    add_fields(event);
    event.With("retry_after", metadata.malformed_pause);
  }
  if (metadata.is_leaving &&
      context.directory.OnLeaving(backend.id, response.process, now)) {
    context.pool.CloseIdle(backend.id);
    log::Event event(log::Level::kInfo, "backend_leaving");
    add_fields(event);
    AddProcessFields(context, response.process, event);
  }
}

void NoteWarmUpCheck(GatewayContext& context,
                     const BackendEntry& backend,
                     const IncarnationReport& report) {
  // A server that fails to report its health has not shown that it is warm.
  const bool is_answered =
      report.is_answered && (report.status < 500 || report.remaining_warm_up);
  context.cold_allowance.OnChecked(
      backend, {is_answered, report.remaining_warm_up, report.sent_at},
      base::BootClock::now());
}

}  // namespace dandelionmill::gateway
