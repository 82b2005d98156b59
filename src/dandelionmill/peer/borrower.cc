#include "dandelionmill/peer/borrower.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <utility>

#include "dandelionmill/base/digest.h"
#include "dandelionmill/log/event.h"

namespace dandelionmill::peer {
namespace {

// How long an instance that did not answer is skipped.
constexpr std::chrono::milliseconds kUnresponsivePeriod{1500};

std::uint64_t RankOf(const base::AccountId& account,
                     const base::InstanceId& instance) {
  return base::StableHash(account.value() + "/" + instance.value());
}

}  // namespace

bool Borrower::IsUnresponsive(const base::InstanceId& id) const {
  const auto found = unresponsive_until_.find(id);
  return found != unresponsive_until_.end() &&
         std::chrono::steady_clock::now() < found->second;
}

bool Borrower::IsOwner(const base::AccountId& account) const {
  const std::uint64_t own = RankOf(account, self_);
  return std::none_of(
      others_.begin(), others_.end(), [&](const Instance& other) {
        return RankOf(account, other.id) > own && !IsUnresponsive(other.id);
      });
}

std::vector<Instance> Borrower::InRankOrder(
    const base::AccountId& account) const {
  std::vector<Instance> order;
  std::copy_if(
      others_.begin(), others_.end(), std::back_inserter(order),
      [this](const Instance& other) { return !IsUnresponsive(other.id); });
  std::sort(order.begin(), order.end(),
            [&account](const Instance& a, const Instance& b) {
              return RankOf(account, a.id) < RankOf(account, b.id);
            });
  return order;
}

void Borrower::Give(const base::AccountId& account, base::Tokens tokens) {
  const std::vector<Instance> order = InRankOrder(account);
  if (!order.empty())
    port_.Give(order.back().address, account, tokens);
}

void Borrower::Borrow(const base::AccountId& account,
                      base::Tokens tokens,
                      LendingPort::LoanHandler handler) {
  auto operation = std::make_shared<BorrowOperation>();
  operation->account = account;
  operation->tokens = tokens;
  operation->handler = std::move(handler);
  operation->candidates = InRankOrder(account);
  if (operation->candidates.size() > kMaxInstancesAsked)
    operation->candidates.erase(
        operation->candidates.begin(),
        operation->candidates.end() - kMaxInstancesAsked);
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
