#include "dandelionmill/router/load_poller.h"

#include <httplib.h>

#include <algorithm>
#include <optional>
#include <utility>

#include "dandelionmill/base/digest.h"
#include "dandelionmill/router/load_report.h"

namespace dandelionmill::router {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr int kOk = 200;
constexpr int kMaxCacheEventsPerPage = 1000;
constexpr milliseconds kIdleWait{1000};

// Returns 0 for the router's own zone, 1 for its region and 2 otherwise.
int Distance(const inventory::Snapshot& config,
             const base::ZoneId& zone,
             const inventory::Backend& backend) {
  if (backend.zone == zone)
    return 0;
  return config.RegionOf(backend.zone) == config.RegionOf(zone) ? 1 : 2;
}

httplib::Client MakeClient(const net::Address& address, milliseconds timeout) {
  httplib::Client client(address.host, address.port);
  client.set_tcp_nodelay(true);
  client.set_keep_alive(true);
  client.set_connection_timeout(timeout);
  client.set_read_timeout(timeout);
  client.set_write_timeout(timeout);
  return client;
}

}  // namespace

std::vector<inventory::Backend> SelectPolledBackends(
    const inventory::Snapshot& config,
    const base::ZoneId& zone,
    int limit,
    std::uint64_t seed) {
  struct Candidate {
    int distance;
    std::uint64_t rank;
    const inventory::Backend* backend;
  };
  std::map<base::ServiceId, std::vector<Candidate>> by_service;
  for (const inventory::Backend& backend : config.core().backends) {
    const std::uint64_t rank =
        base::StableHash(std::to_string(seed) + backend.id.value());
    by_service[backend.service].push_back(
        {Distance(config, zone, backend), rank, &backend});
  }
  std::vector<inventory::Backend> selected;
  for (auto& [service, candidates] : by_service) {
    std::sort(candidates.begin(), candidates.end(),
              [](const Candidate& a, const Candidate& b) {
                return std::tie(a.distance, a.rank) <
                       std::tie(b.distance, b.rank);
              });
    const std::size_t count =
        std::min(candidates.size(), static_cast<std::size_t>(limit));
    for (std::size_t i = 0; i < count; ++i)
      selected.push_back(*candidates[i].backend);
  }
  return selected;
}

LoadPoller::LoadPoller(Options options, ReportResult report_result)
    : options_(options), report_result_(std::move(report_result)) {
  for (int i = 0; i < options_.threads; ++i)
    threads_.emplace_back([this] { Run(); });
}

LoadPoller::~LoadPoller() {
  Stop();
}

void LoadPoller::Stop() {
  {
    std::lock_guard<std::mutex> lock(mutex_);
    stopping_ = true;
    changed_.notify_all();
  }
  for (std::thread& thread : threads_) {
    if (thread.joinable())
      thread.join();
  }
}

void LoadPoller::SetBackends(const std::vector<inventory::Backend>& backends,
                             const inventory::Snapshot& config) {
  std::lock_guard<std::mutex> lock(mutex_);
  std::map<base::BackendId, std::shared_ptr<Target>> next;
  for (const inventory::Backend& backend : backends) {
    const auto known = targets_.find(backend.id);
    if (known != targets_.end() &&
        known->second->backend.address == backend.address) {
      next[backend.id] = known->second;
      continue;
    }
    auto target = std::make_shared<Target>();
    target->backend = backend;
    const inventory::Service* service = config.FindService(backend.service);
    target->has_cache_events =
        service != nullptr && service->kind == inventory::ServiceKind::kModel;
    next[backend.id] = std::move(target);
  }
  targets_ = std::move(next);
  changed_.notify_all();
}

std::shared_ptr<LoadPoller::Target> LoadPoller::WaitForDueTarget() {
  std::unique_lock<std::mutex> lock(mutex_);
  while (!stopping_) {
    const base::MonoTime now = steady_clock::now();
    base::MonoTime wake = now + kIdleWait;
    std::shared_ptr<Target> next_due;
    for (const auto& [id, target] : targets_) {
      if (target->polling)
        continue;
      if (!next_due || target->due < next_due->due)
        next_due = target;
    }
    if (next_due && next_due->due <= now) {
      next_due->polling = true;
      next_due->due = now + options_.period;
      return next_due;
    }
    if (next_due)
      wake = std::min(wake, next_due->due);
    changed_.wait_until(lock, wake);
  }
  return nullptr;
}

void LoadPoller::Run() {
  while (const std::shared_ptr<Target> target = WaitForDueTarget()) {
    report_result_(Poll(*target));
    std::lock_guard<std::mutex> lock(mutex_);
    target->polling = false;
    changed_.notify_one();
  }
}

LoadPollResult LoadPoller::Poll(Target& target) const {
  LoadPollResult polled;
  polled.backend = target.backend.id;
  httplib::Client client = MakeClient(target.backend.address, options_.timeout);
  const httplib::Result load = client.Get("/v1/load");
  if (!load || load->status != kOk)
    return polled;
  polled.report = ParseLoad(load->body, std::chrono::system_clock::now(),
                            steady_clock::now());
  if (!target.has_cache_events)
    return polled;
  const httplib::Result events =
      client.Get("/v1/cache-events?after=" + std::to_string(target.last_event) +
                 "&limit=" + std::to_string(kMaxCacheEventsPerPage));
  if (!events || events->status != kOk)
    return polled;
  CacheEventPage page = ParseCacheEvents(events->body);
  target.last_event = std::max(target.last_event, page.next);
  polled.cache_events = std::move(page.events);
  return polled;
}

}  // namespace dandelionmill::router
