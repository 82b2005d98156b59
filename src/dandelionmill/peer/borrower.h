#ifndef SRC_DANDELIONMILL_PEER_BORROWER_H_
#define SRC_DANDELIONMILL_PEER_BORROWER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <random>
#include <vector>

#include "dandelionmill/base/ids.h"
#include "dandelionmill/base/units.h"
#include "dandelionmill/net/address.h"
#include "dandelionmill/peer/lending_port.h"

namespace dandelionmill::peer {

// Another instance of the fleet that lends.
struct Instance {
  base::ZoneId zone;
  net::Address address;
};

// Asks other instances for prepaid tokens, one after the other: those of the
// own availability zone first, each group in random order.
class Borrower {
 public:
  // Instances asked for one request, at most.
  static constexpr std::size_t kMaxAsked = 4;

  // `loop` and `port` must outlive the borrower.
  Borrower(boost::asio::io_context& loop,
           LendingPort& port,
           base::ZoneId zone,
           std::uint64_t seed)
      : loop_(loop), port_(port), zone_(std::move(zone)), random_(seed) {}

  void SetInstances(std::vector<Instance> instances) {
    instances_ = std::move(instances);
  }
  // The handler gets the sum of what was given, later.
  void Borrow(const base::AccountId& account,
              base::Tokens tokens,
              std::function<void(base::Tokens)> handler);
  // Gives tokens to some instance, of the own availability zone if there is one.
  void Give(const base::AccountId& account, base::Tokens tokens);

 private:
  // Returns all instances in the order in which they are asked, last first.
  std::vector<Instance> InOrder();

  struct Round {
    base::AccountId account;
    base::Tokens missing = 0;
    base::Tokens given = 0;
    std::vector<Instance> left;
    std::function<void(base::Tokens)> handler;
  };

  void AskNext(std::shared_ptr<Round> round);

  boost::asio::io_context& loop_;
  LendingPort& port_;
  const base::ZoneId zone_;
  std::mt19937_64 random_;
  std::vector<Instance> instances_;
};

}  // namespace dandelionmill::peer

#endif  // SRC_DANDELIONMILL_PEER_BORROWER_H_
