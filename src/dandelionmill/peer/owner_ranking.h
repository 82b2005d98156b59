#ifndef SRC_DANDELIONMILL_PEER_OWNER_RANKING_H_
#define SRC_DANDELIONMILL_PEER_OWNER_RANKING_H_

#include <cstddef>
#include <unordered_map>
#include <vector>

#include "dandelionmill/base/ids.h"
#include "dandelionmill/net/address.h"

namespace dandelionmill::peer {

// An instance of the fleet and the address at which it serves the others: it
// lends prepaid tokens over UDP and relays connections over TCP.
struct Instance {
  base::InstanceId id;
  net::Address address;
  // Empty if not reported.
  base::ZoneId zone;

  friend bool operator==(const Instance& a, const Instance& b) {
    return a.id == b.id && a.address == b.address && a.zone == b.zone;
  }
};

// Ranks the instances of the fleet for each account by hash (rendezvous
// hashing), so that all agree on the order without communication. The order of
// an account is computed once until the instances change: to rank hundreds of
// instances takes longer than to relay a request. Pure.
class OwnerRanking {
 public:
  struct Order {
    // Indexes of the other instances, highest rank first.
    std::vector<std::size_t> others;
    // How many of them rank above this instance.
    std::size_t above_self = 0;
  };

  explicit OwnerRanking(base::InstanceId self) : self_(std::move(self)) {}

  // Command. Sets the other running instances.
  void SetInstances(std::vector<Instance> others);

  // Queries.
  const Order& OrderOf(const base::AccountId& account) const;
  // `index` as in Order::others.
  const Instance& instance(std::size_t index) const { return others_[index]; }

 private:
  Order Rank(const base::AccountId& account) const;

  const base::InstanceId self_;
  std::vector<Instance> others_;
  mutable std::unordered_map<base::AccountId, Order> orders_;
};

}  // namespace dandelionmill::peer

#endif  // SRC_DANDELIONMILL_PEER_OWNER_RANKING_H_
