#ifndef SRC_DANDELIONMILL_CONTROL_INTERNAL_CONFIG_DISTRIBUTOR_H_
#define SRC_DANDELIONMILL_CONTROL_INTERNAL_CONFIG_DISTRIBUTOR_H_

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "dandelionmill/base/ids.h"
#include "dandelionmill/base/result.h"
#include "dandelionmill/base/units.h"
#include "dandelionmill/inventory/inventory.h"

namespace dandelionmill::control::internal {

// The text of a part, shared between the versions that contain it.
using PartText = std::shared_ptr<const std::string>;

// A configuration version and the SHA-256 digests of its parts, by name.
struct VersionDigests {
  base::ConfigVersion version = 0;
  std::map<std::string, std::string> parts;
};

// Read this table row; report the result to OnRow().
struct ReadRow {
  std::string key;
};
// Get the part with this digest from the object store; report the result to
// OnPart().
struct GetPart {
  std::string sha256;
};
// Request the configuration from this control, or from any when `peer` is
// empty.
struct FetchFromPeer {
  base::HolderId peer;
  // Digests of the parts held here, by name; the peer leaves these out.
  std::map<std::string, std::string> have;
};
// Put this configuration in force.
struct PutInForce {
  inventory::SnapshotPtr config;
};
// A configuration is invalid and was not put in force.
struct RejectVersion {
  base::ConfigVersion version = 0;
  base::Error error;
};
using DistributorAction =
    std::variant<ReadRow, GetPart, FetchFromPeer, PutInForce, RejectVersion>;
using DistributorActions = std::vector<DistributorAction>;

// Decides how a control obtains configurations and which one is in force. Polls
// the table, accepts versions from peers, and replaces the configuration in
// force only by a strictly higher version. Performs no I/O: each call returns
// the actions to execute.
class ConfigDistributor {
 public:
  // Commands. `is_zone_poller` sets the polling period of the table; see
  // config_spread.h.
  DistributorActions OnTick(bool is_zone_poller, base::MonoTime now);
  // Result of ReadRow: the value of the row, empty when the row does not exist.
  DistributorActions OnRow(const std::string& key,
                           const base::Result<std::string>& value,
                           base::MonoTime now);
  DistributorActions OnPart(const std::string& sha256,
                            const base::Result<std::string>& text,
                            base::MonoTime now);
  // A peer announced that this version is in force there.
  DistributorActions OnAnnounced(const base::HolderId& peer,
                                 base::ConfigVersion version,
                                 base::MonoTime now);
  // A peer's reply: the digests of all parts, and the texts of those that were
  // not held here, by name.
  DistributorActions OnPeerContent(
      const VersionDigests& digests,
      const std::map<std::string, std::string>& texts,
      base::MonoTime now);

  // Queries.
  const VersionDigests& in_force() const { return in_force_; }
  base::ConfigVersion wanted_version() const { return wanted_.version; }
  std::size_t missing_parts() const;
  // Returns the text of a part in force, or null when the part does not exist.
  PartText TextOf(const std::string& name) const;

 private:
  // Source from which missing parts are fetched next.
  enum class Source { kPeer, kObjects };

  void SetWanted(VersionDigests digests, Source source);
  void Fetch(base::MonoTime now, DistributorActions& actions);
  void RequestParts(DistributorActions& actions);
  void PutInForceIfComplete(DistributorActions& actions);
  void DropUnusedTexts();
  std::vector<std::string> MissingDigests() const;
  std::map<std::string, std::string> HeldDigests() const;

  VersionDigests in_force_;
  inventory::SnapshotPtr snapshot_;
  // The version being fetched, higher than in_force_; version 0 when none is.
  VersionDigests wanted_;
  base::ConfigVersion rejected_version_ = 0;
  // Texts by digest, of the parts in force and of those fetched so far.
  std::map<std::string, PartText> texts_;

  bool row_requested_ = false;
  base::MonoTime next_poll_;
  Source source_ = Source::kObjects;
  std::set<std::string> parts_requested_;
  // The peer that announced the highest version above ours.
  base::HolderId announcing_peer_;
  base::ConfigVersion announced_version_ = 0;
  // Time limit for the pending reply of a peer.
  std::optional<base::MonoTime> peer_deadline_;
  base::MonoTime next_fetch_;
};

}  // namespace dandelionmill::control::internal

#endif  // SRC_DANDELIONMILL_CONTROL_INTERNAL_CONFIG_DISTRIBUTOR_H_
