#include "dandelionmill/gateway/stream_versions.h"

#include <utility>

namespace dandelionmill::gateway {

void StreamVersions::OnBegun(const base::AttemptId& attempt,
                             Beginning beginning,
                             base::MonoTime now) {
  if (streams_.try_emplace(attempt, Stream{std::move(beginning), now, false})
          .second)
    order_.push_back(attempt);
}

void StreamVersions::OnVersionReplaced(const base::BackendId& backend,
                                       base::BootTime read_at) {
  for (auto& [attempt, stream] : streams_) {
    Beginning& beginning = stream.beginning;
    if (beginning.backend != backend || beginning.is_reported ||
        beginning.connected_at + kMaxListingDelay < read_at)
      continue;
    beginning.version.reset();
    stream.is_shared = false;
  }
}

std::vector<StreamVersions::Begun> StreamVersions::TakeUnshared(
    std::size_t max,
    const ServiceVersions& services) {
  std::vector<Begun> unshared;
  for (auto it = order_.rbegin(); it != order_.rend() && unshared.size() < max;
       ++it) {
    Stream& stream = streams_.at(*it);
    if (stream.is_shared || !services.NeedsStreamRows(stream.beginning.service))
      continue;
    stream.is_shared = true;
    unshared.push_back({*it, stream.beginning.version});
  }
  return unshared;
}

void StreamVersions::Expire(base::MonoTime now) {
  while (!order_.empty() &&
         streams_.at(order_.front()).begun_at + kMemory < now) {
    streams_.erase(order_.front());
    order_.pop_front();
  }
}

std::optional<std::string> StreamVersions::VersionOf(
    const base::AttemptId& attempt,
    base::BootTime now) const {
  const auto found = streams_.find(attempt);
  if (found == streams_.end())
    return std::nullopt;
  const Beginning& beginning = found->second.beginning;
  const bool is_proven = beginning.is_reported || !IsRegistryOutdated(now) ||
                         IsListedSince(beginning.connected_at);
  return is_proven ? beginning.version : std::nullopt;
}

}  // namespace dandelionmill::gateway
