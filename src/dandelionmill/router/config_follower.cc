#include "dandelionmill/router/config_follower.h"

#include <utility>

#include "dandelionmill/base/digest.h"
#include "dandelionmill/inventory/parts.h"

namespace dandelionmill::router {

std::optional<inventory::SnapshotPtr> ConfigFollower::Update(
    const wire::ConfigHead& head) {
  // A head without parts only announces a version.
  if (!IsNewer(head) || head.parts().empty())
    return std::nullopt;
  std::map<std::string, Part> next;
  for (const wire::ConfigPart& part : head.parts()) {
    const auto known = parts_.find(part.name());
    if (known != parts_.end() && known->second.sha256 == part.sha256())
      next[part.name()] = known->second;
    else if (base::Sha256Hex(part.content()) == part.sha256())
      next[part.name()] = {part.sha256(), part.content()};
    else
      return std::nullopt;
  }
  std::map<std::string, std::string> contents;
  for (const auto& [name, part] : next)
    contents[name] = part.content;
  auto parsed = inventory::ParseParts(head.version(), contents, snapshot_);
  if (!base::IsOk(parsed)) {
    problem_ = base::ToString(base::ErrorOf(parsed));
    return std::nullopt;
  }
  problem_.clear();
  parts_ = std::move(next);
  version_ = head.version();
  snapshot_ = base::ValueOf(parsed);
  return base::ValueOf(std::move(parsed));
}

wire::ConfigFetch ConfigFollower::MakeFetch() const {
  wire::ConfigFetch fetch;
  fetch.set_have_version(version_);
  for (const auto& [name, part] : parts_) {
    wire::ConfigPart& have = *fetch.add_have();
    have.set_name(name);
    have.set_sha256(part.sha256);
  }
  return fetch;
}

}  // namespace dandelionmill::router
