#ifndef SRC_DANDELIONMILL_PEER_BORROWER_H_
#define SRC_DANDELIONMILL_PEER_BORROWER_H_

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <vector>

#include "dandelionmill/base/ids.h"
#include "dandelionmill/base/units.h"
#include "dandelionmill/net/address.h"
#include "dandelionmill/peer/lending_port.h"
#include "dandelionmill/peer/owner_ranking.h"

namespace dandelionmill::peer {

// Determines which instance owns an account and borrows prepaid tokens from it.
// The owner is the instance with the highest rank by hash (rendezvous hashing);
// an unresponsive one is skipped for a while. Ownership only saves
// transactions: it is safe for two instances to hold tokens of the same
// account.
class Borrower {
 public:
  // Maximum number of instances contacted for one loan.
  static constexpr std::size_t kMaxInstancesAsked = 3;

  // `loop` and `port` must outlive the borrower.
  Borrower(boost::asio::io_context& loop,
           LendingPort& port,
           base::InstanceId self)
      : loop_(loop), port_(port), ranking_(std::move(self)) {}

  // Commands.
  // Sets the other running instances.
  void SetInstances(std::vector<Instance> others) {
    ranking_.SetInstances(std::move(others));
    knows_instances_ = true;
  }
  // Requests tokens from the owner, then from the next in rank if it does not
  // answer or gives nothing. The handler receives the final answer and never
  // runs from within the call.
  void Borrow(const base::AccountId& account,
              base::Tokens tokens,
              LendingPort::LoanHandler handler);
  // Gives tokens to the other instance with the highest rank for the account.
  // They are lost if there is none or if the datagram is lost.
  void Give(const base::AccountId& account, base::Tokens tokens);

  // Query.
  // Whether this instance owns the account, judging by the responsive instances
  // known to it. It owns none before the instances were set: when a fleet
  // starts together, each would draw for all accounts and hold up the others.
  bool IsOwner(const base::AccountId& account) const;

 private:
  struct BorrowOperation {
    base::AccountId account;
    base::Tokens tokens = 0;
    // Instances still to contact, in reverse order.
    std::vector<Instance> candidates;
    // Whether a request went to the acting owner, the only instance that may
    // draw from the store.
    bool owner_asked = false;
    // Whether any instance reported the account as exhausted.
    bool is_exhausted = false;
    // Whether any instance reported that it is drawing tokens.
    bool is_drawing = false;
    LendingPort::LoanHandler handler;
  };

  // Returns up to `count` other responsive instances by ascending rank, so that
  // the preferred one is last.
  std::vector<Instance> HighestRanked(const base::AccountId& account,
                                      std::size_t count) const;
  bool IsUnresponsive(const base::InstanceId& id) const;
  void RequestNext(std::shared_ptr<BorrowOperation> operation);

  boost::asio::io_context& loop_;
  LendingPort& port_;
  OwnerRanking ranking_;
  bool knows_instances_ = false;
  std::map<base::InstanceId, base::MonoTime> unresponsive_until_;
};

}  // namespace dandelionmill::peer

#endif  // SRC_DANDELIONMILL_PEER_BORROWER_H_
