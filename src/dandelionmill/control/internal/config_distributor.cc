#include "dandelionmill/control/internal/config_distributor.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "dandelionmill/base/digest.h"
#include "dandelionmill/inventory/head.h"
#include "dandelionmill/inventory/parts.h"

namespace dandelionmill::control::internal {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kZonePollerPeriod{500};
constexpr milliseconds kPollPeriod{10000};
constexpr milliseconds kPeerReplyTimeout{1000};
constexpr milliseconds kFetchRetry{250};
constexpr std::size_t kMaxConcurrentGets = 2;

}  // namespace

std::size_t ConfigDistributor::missing_parts() const {
  return MissingDigests().size();
}

PartText ConfigDistributor::TextOf(const std::string& name) const {
  const auto digest = in_force_.parts.find(name);
  if (digest == in_force_.parts.end())
    return nullptr;
  const auto text = texts_.find(digest->second);
  return text == texts_.end() ? nullptr : text->second;
}

DistributorActions ConfigDistributor::OnTick(bool is_zone_poller,
                                             base::MonoTime now) {
  DistributorActions actions;
  const milliseconds period = is_zone_poller ? kZonePollerPeriod : kPollPeriod;
  // A control that becomes a zone poller polls without waiting out the longer
  // period.
  next_poll_ = std::min(next_poll_, now + period);
  if (!row_requested_ && now >= next_poll_) {
    row_requested_ = true;
    next_poll_ = now + period;
    actions.emplace_back(ReadRow{
        in_force_.version == 0 ? std::string(inventory::kHeadKey)
                               : inventory::HistoryKey(in_force_.version + 1)});
  }
  Fetch(now, actions);
  return actions;
}

DistributorActions ConfigDistributor::OnRow(
    const std::string& key,
    const base::Result<std::string>& value,
    base::MonoTime now) {
  DistributorActions actions;
  row_requested_ = false;
  if (!base::IsOk(value) || base::ValueOf(value).empty())
    return actions;
  if (key != inventory::kHeadKey) {
    // A newer version exists: read the head for the newest one.
    row_requested_ = true;
    actions.emplace_back(ReadRow{inventory::kHeadKey});
    return actions;
  }
  const base::Result<inventory::Head> head =
      inventory::ParseHead(base::ValueOf(value));
  if (!base::IsOk(head)) {
    actions.emplace_back(RejectVersion{0, base::ErrorOf(head)});
    return actions;
  }
  SetWanted({base::ValueOf(head).version, base::ValueOf(head).parts},
            Source::kObjects);
  PutInForceIfComplete(actions);
  Fetch(now, actions);
  return actions;
}

DistributorActions ConfigDistributor::OnPart(
    const std::string& sha256,
    const base::Result<std::string>& text,
    base::MonoTime now) {
  DistributorActions actions;
  parts_requested_.erase(sha256);
  if (base::IsOk(text) && base::Sha256Hex(base::ValueOf(text)) == sha256) {
    const std::vector<std::string> missing = MissingDigests();
    if (std::find(missing.begin(), missing.end(), sha256) != missing.end())
      texts_[sha256] = std::make_shared<const std::string>(base::ValueOf(text));
  } else {
    source_ = Source::kPeer;
    next_fetch_ = now + kFetchRetry;
  }
  PutInForceIfComplete(actions);
  Fetch(now, actions);
  return actions;
}

DistributorActions ConfigDistributor::OnAnnounced(const base::HolderId& peer,
                                                  base::ConfigVersion version,
                                                  base::MonoTime now) {
  DistributorActions actions;
  if (version <= in_force_.version || version <= rejected_version_ ||
      version < announced_version_)
    return actions;
  announcing_peer_ = peer;
  announced_version_ = version;
  Fetch(now, actions);
  return actions;
}

DistributorActions ConfigDistributor::OnPeerContent(
    const VersionDigests& digests,
    const std::map<std::string, std::string>& texts,
    base::MonoTime now) {
  DistributorActions actions;
  peer_deadline_.reset();
  if (digests.version <= std::max(in_force_.version, wanted_.version)) {
    // The peer has nothing newer: drop its announcement and back off.
    announced_version_ = 0;
    next_fetch_ = now + kFetchRetry;
  }
  SetWanted(digests, Source::kObjects);
  if (wanted_.version == digests.version) {
    const std::vector<std::string> missing = MissingDigests();
    for (const auto& [name, text] : texts) {
      const std::string sha256 = base::Sha256Hex(text);
      if (std::find(missing.begin(), missing.end(), sha256) != missing.end())
        texts_[sha256] = std::make_shared<const std::string>(text);
    }
  }
  PutInForceIfComplete(actions);
  Fetch(now, actions);
  return actions;
}

void ConfigDistributor::SetWanted(VersionDigests digests, Source source) {
  if (digests.version <= in_force_.version ||
      digests.version <= wanted_.version ||
      digests.version <= rejected_version_)
    return;
  wanted_ = std::move(digests);
  source_ = source;
}

std::vector<std::string> ConfigDistributor::MissingDigests() const {
  std::vector<std::string> missing;
  for (const auto& [name, sha256] : wanted_.parts) {
    if (texts_.count(sha256) == 0)
      missing.push_back(sha256);
  }
  return missing;
}

std::map<std::string, std::string> ConfigDistributor::HeldDigests() const {
  std::map<std::string, std::string> held = in_force_.parts;
  for (const auto& [name, sha256] : wanted_.parts) {
    if (texts_.count(sha256) != 0)
      held[name] = sha256;
  }
  return held;
}

void ConfigDistributor::Fetch(base::MonoTime now, DistributorActions& actions) {
  if (now < next_fetch_)
    return;
  if (peer_deadline_ && now >= *peer_deadline_) {
    // The peer did not reply: drop its announcement and use the object store.
    peer_deadline_.reset();
    announced_version_ = 0;
    source_ = Source::kObjects;
  }
  const bool behind_peers =
      announced_version_ > std::max(in_force_.version, wanted_.version) ||
      in_force_.version == 0;
  if (wanted_.version != 0 && source_ == Source::kObjects)
    RequestParts(actions);
  else if (!peer_deadline_ && (wanted_.version != 0 || behind_peers)) {
    peer_deadline_ = now + kPeerReplyTimeout;
    actions.emplace_back(FetchFromPeer{
        announced_version_ != 0 ? announcing_peer_ : base::HolderId(),
        HeldDigests()});
  }
}

void ConfigDistributor::RequestParts(DistributorActions& actions) {
  for (const std::string& sha256 : MissingDigests()) {
    if (parts_requested_.size() >= kMaxConcurrentGets)
      return;
    if (parts_requested_.insert(sha256).second)
      actions.emplace_back(GetPart{sha256});
  }
}

void ConfigDistributor::PutInForceIfComplete(DistributorActions& actions) {
  if (wanted_.version == 0 || !MissingDigests().empty())
    return;
  inventory::Parts parts;
  for (const auto& [name, sha256] : wanted_.parts)
    parts[name] = *texts_.at(sha256);
  base::Result<inventory::SnapshotPtr> parsed =
      inventory::ParseParts(wanted_.version, parts, snapshot_);
  if (base::IsOk(parsed)) {
    in_force_ = std::move(wanted_);
    snapshot_ = base::ValueOf(parsed);
    actions.emplace_back(PutInForce{base::ValueOf(std::move(parsed))});
  } else {
    rejected_version_ = wanted_.version;
    actions.emplace_back(RejectVersion{wanted_.version, base::ErrorOf(parsed)});
  }
  wanted_ = VersionDigests();
  source_ = Source::kObjects;
  DropUnusedTexts();
}

void ConfigDistributor::DropUnusedTexts() {
  std::map<std::string, PartText> used;
  for (const auto& [name, sha256] : in_force_.parts)
    used[sha256] = texts_.at(sha256);
  texts_ = std::move(used);
}

}  // namespace dandelionmill::control::internal
