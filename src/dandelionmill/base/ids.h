#ifndef SRC_DANDELIONMILL_BASE_IDS_H_
#define SRC_DANDELIONMILL_BASE_IDS_H_

#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace dandelionmill::base {

// A string identifier, typed so that two kinds of ids cannot be mixed up.
template <class Tag>
class Id {
 public:
  Id() = default;
  explicit Id(std::string value) : value_(std::move(value)) {}

  const std::string& value() const { return value_; }
  bool empty() const { return value_.empty(); }

  friend bool operator==(const Id& a, const Id& b) {
    return a.value_ == b.value_;
  }
  friend bool operator!=(const Id& a, const Id& b) { return !(a == b); }
  friend bool operator<(const Id& a, const Id& b) {
    return a.value_ < b.value_;
  }
  friend std::ostream& operator<<(std::ostream& out, const Id& id) {
    return out << id.value_;
  }

 private:
  std::string value_;
};

using RegionId = Id<struct RegionTag>;
// An availability zone.
using ZoneId = Id<struct ZoneTag>;
// An instance of the fleet that accepts client requests.
using InstanceId = Id<struct InstanceTag>;
// Incarnation of a router process: instance id, "/" and a never reused number.
using RouterId = Id<struct RouterTag>;
// Incarnation of a control process that holds leases; format as for RouterId.
using HolderId = Id<struct HolderTag>;
using ServiceId = Id<struct ServiceTag>;
using BackendId = Id<struct BackendTag>;
using ModelId = Id<struct ModelTag>;
// A client account.
using AccountId = Id<struct AccountTag>;
using BudgetId = Id<struct BudgetTag>;
// The idempotency key of a request; unique within a client account.
using RequestKey = Id<struct RequestKeyTag>;
// One execution of a request on a backend server; unique in the fleet.
using AttemptId = Id<struct AttemptTag>;

}  // namespace dandelionmill::base

namespace std {
template <class Tag>
struct hash<dandelionmill::base::Id<Tag>> {
  size_t operator()(const dandelionmill::base::Id<Tag>& id) const {
    return hash<string>()(id.value());
  }
};
}  // namespace std

#endif  // SRC_DANDELIONMILL_BASE_IDS_H_
