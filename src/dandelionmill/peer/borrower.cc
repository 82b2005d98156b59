#include "dandelionmill/peer/borrower.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <utility>

#include "dandelionmill/log/event.h"

namespace dandelionmill::peer {
namespace {

// How long an instance that did not answer is skipped.
constexpr std::chrono::milliseconds kUnresponsivePeriod{1500};

}  // namespace

bool Borrower::IsUnresponsive(const base::InstanceId& id) const {
  const auto found = unresponsive_until_.find(id);
  return found != unresponsive_until_.end() &&
         std::chrono::steady_clock::now() < found->second;
}

bool Borrower::IsOwner(const base::AccountId& account) const {
  if (!knows_instances_)
    return false;
  const OwnerRanking::Order& order = ranking_.OrderOf(account);
  for (std::size_t i = 0; i < order.above_self; ++i) {
    if (!IsUnresponsive(ranking_.instance(order.others[i]).id))
      return false;
  }
  return true;
}

std::vector<Instance> Borrower::HighestRanked(const base::AccountId& account,
                                              std::size_t count) const {
  std::vector<Instance> highest;
  for (const std::size_t index : ranking_.OrderOf(account).others) {
    if (highest.size() == count)
      break;
    if (!IsUnresponsive(ranking_.instance(index).id))
      highest.push_back(ranking_.instance(index));
  }
  std::reverse(highest.begin(), highest.end());
  return highest;
}

void Borrower::Give(const base::AccountId& account, base::Tokens tokens) {
  const std::vector<Instance> owner = HighestRanked(account, 1);
  if (!owner.empty())
    port_.Give(owner.front().address, account, tokens);
}

void Borrower::Borrow(const base::AccountId& account,
                      base::Tokens tokens,
                      LendingPort::LoanHandler handler) {
  auto operation = std::make_shared<BorrowOperation>();
  operation->account = account;
  operation->tokens = tokens;
  operation->handler = std::move(handler);
  operation->candidates = HighestRanked(account, kMaxInstancesAsked);
  if (operation->candidates.empty()) {
    boost::asio::post(loop_, [operation] { operation->handler({}); });
    return;
  }
  RequestNext(std::move(operation));
}

void Borrower::RequestNext(std::shared_ptr<BorrowOperation> operation) {
  const Instance instance = operation->candidates.back();
  operation->candidates.pop_back();
  const bool may_draw = !std::exchange(operation->owner_asked, true);
  port_.RequestLoan(
      instance.address, {operation->account, operation->tokens, may_draw},
      [this, operation, id = instance.id](LendingPort::Answer answer) {
        if (!answer.is_received) {
          log::Event(log::Level::kInfo, "peer_silent")
              .With("instance", id)
              .With("account", operation->account);
          unresponsive_until_[id] =
              std::chrono::steady_clock::now() + kUnresponsivePeriod;
          // The next instance in rank acts as the owner and may draw.
          operation->owner_asked = false;
        }
        operation->is_exhausted |= answer.is_exhausted;
        answer.is_exhausted = operation->is_exhausted;
        operation->is_drawing |= answer.is_drawing;
        answer.is_drawing = operation->is_drawing;
        if (answer.given > 0 || operation->candidates.empty())
          operation->handler(answer);
        else
          RequestNext(operation);
      });
}

}  // namespace dandelionmill::peer
