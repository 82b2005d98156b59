#include "dandelionmill/peer/borrower.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <utility>

namespace dandelionmill::peer {
namespace {

// The time a lender may wait for its own row, and the way there and back
// between regions.
constexpr std::chrono::milliseconds kAskTimeout{190};

}  // namespace

std::vector<Instance> Borrower::InOrder() {
  std::vector<Instance> order = instances_;
  std::shuffle(order.begin(), order.end(), random_);
  std::stable_partition(
      order.begin(), order.end(),
      [this](const Instance& instance) { return instance.zone != zone_; });
  return order;
}

void Borrower::Give(const base::AccountId& account, base::Tokens tokens) {
  const std::vector<Instance> order = InOrder();
  if (!order.empty())
    port_.Give(order.back().address, account, tokens);
}

void Borrower::Borrow(const base::AccountId& account,
                      base::Tokens tokens,
                      std::function<void(base::Tokens)> handler) {
  auto round = std::make_shared<Round>();
  round->account = account;
  round->missing = tokens;
  round->handler = std::move(handler);
  round->left = InOrder();
  if (round->left.size() > kMaxAsked)
    round->left.erase(round->left.begin(), round->left.end() - kMaxAsked);
  if (round->left.empty()) {
    boost::asio::post(loop_, [round] { round->handler(0); });
    return;
  }
  AskNext(std::move(round));
}

void Borrower::AskNext(std::shared_ptr<Round> round) {
  const Instance instance = round->left.back();
  round->left.pop_back();
  port_.Ask(instance.address, round->account, round->missing, kAskTimeout,
            [this, round](base::Tokens given) {
              round->given += given;
              round->missing -= given;
              if (round->missing > 0 && !round->left.empty())
                AskNext(round);
              else
                round->handler(round->given);
            });
}

}  // namespace dandelionmill::peer
