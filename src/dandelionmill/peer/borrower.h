#ifndef SRC_DANDELIONMILL_PEER_BORROWER_H_
#define SRC_DANDELIONMILL_PEER_BORROWER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <vector>

#include "dandelionmill/base/ids.h"
#include "dandelionmill/base/units.h"
#include "dandelionmill/net/address.h"
#include "dandelionmill/peer/lending_port.h"

namespace dandelionmill::peer {

// An instance of the fleet.
struct Instance {
  base::InstanceId id;
  net::Address address;
};

// Decides which instance owns an account, and asks it for prepaid tokens. The
// owner is the instance that ranks first by hash; one that does not answer is
// passed over for a while. Ownership only saves transactions: two instances
// that both hold tokens of an account do no harm.
class Borrower {
 public:
  // Instances asked for one request, at most.
  static constexpr std::size_t kMaxAsked = 3;

  // `loop` and `port` must outlive the borrower.
  Borrower(boost::asio::io_context& loop,
           LendingPort& port,
           base::InstanceId self)
      : loop_(loop), port_(port), self_(std::move(self)) {}

  // Commands.
  // Sets the other live instances.
  void SetInstances(std::vector<Instance> others) {
    others_ = std::move(others);
  }
  // Asks the owner, and the next in rank if it does not answer or has nothing.
  // The handler gets what was given, later.
  void Borrow(const base::AccountId& account,
              base::Tokens tokens,
              LendingPort::Reply handler);
  // Gives tokens to the instance that owns the account without this one.
  void Give(const base::AccountId& account, base::Tokens tokens);

  // Query.
  // Whether this instance owns the account as far as it knows.
  bool IsOwner(const base::AccountId& account) const;

 private:
  struct Round {
    base::AccountId account;
    base::Tokens tokens = 0;
    // Instances to ask, the last one first.
    std::vector<Instance> left;
    // Whether the first has been asked, which alone draws from the store.
    bool owner_asked = false;
    // Some instance said that the account has too little left.
    bool is_exhausted = false;
    LendingPort::Reply handler;
  };

  // Returns the other instances in the order of their rank, the first one last,
  // without those that lately did not answer.
  std::vector<Instance> InRankOrder(const base::AccountId& account) const;
  bool IsSilent(const base::InstanceId& id) const;
  void AskNext(std::shared_ptr<Round> round);

  boost::asio::io_context& loop_;
  LendingPort& port_;
  const base::InstanceId self_;
  std::vector<Instance> others_;
  std::map<base::InstanceId, base::MonoTime> silent_until_;
};

}  // namespace dandelionmill::peer

#endif  // SRC_DANDELIONMILL_PEER_BORROWER_H_
