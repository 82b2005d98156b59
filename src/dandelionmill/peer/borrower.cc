#include "dandelionmill/peer/borrower.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <utility>

#include "dandelionmill/base/digest.h"
#include "dandelionmill/log/event.h"

namespace dandelionmill::peer {
namespace {

// How long an instance that did not answer is passed over.
constexpr std::chrono::milliseconds kSilent{1500};

std::uint64_t RankOf(const base::AccountId& account,
                     const base::InstanceId& instance) {
  return base::StableHash(account.value() + "/" + instance.value());
}

}  // namespace

bool Borrower::IsSilent(const base::InstanceId& id) const {
  const auto found = silent_until_.find(id);
  return found != silent_until_.end() &&
         std::chrono::steady_clock::now() < found->second;
}

bool Borrower::IsOwner(const base::AccountId& account) const {
  const std::uint64_t own = RankOf(account, self_);
  return std::none_of(
      others_.begin(), others_.end(), [&](const Instance& other) {
        return RankOf(account, other.id) > own && !IsSilent(other.id);
      });
}

std::vector<Instance> Borrower::InRankOrder(
    const base::AccountId& account) const {
  std::vector<Instance> order;
  std::copy_if(others_.begin(), others_.end(), std::back_inserter(order),
               [this](const Instance& other) { return !IsSilent(other.id); });
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
                      LendingPort::Reply handler) {
  auto round = std::make_shared<Round>();
  round->account = account;
  round->tokens = tokens;
  round->handler = std::move(handler);
  round->left = InRankOrder(account);
  if (round->left.size() > kMaxAsked)
    round->left.erase(round->left.begin(), round->left.end() - kMaxAsked);
  if (round->left.empty()) {
    boost::asio::post(loop_, [round] { round->handler({}); });
    return;
  }
  AskNext(std::move(round));
}

void Borrower::AskNext(std::shared_ptr<Round> round) {
  const Instance instance = round->left.back();
  round->left.pop_back();
  const bool may_draw = !std::exchange(round->owner_asked, true);
  port_.Ask(instance.address, {round->account, round->tokens, may_draw},
            [this, round, id = instance.id](LendingPort::Answer answer) {
              if (!answer.has_come) {
                log::Event(log::Level::kInfo, "peer_silent")
                    .With("instance", id)
                    .With("account", round->account);
                silent_until_[id] = std::chrono::steady_clock::now() + kSilent;
                // The next in rank takes the place of the owner.
                round->owner_asked = false;
              }
              round->is_exhausted |= answer.is_exhausted;
              answer.is_exhausted = round->is_exhausted;
              if (answer.given > 0 || round->left.empty())
                round->handler(answer);
              else
                AskNext(round);
            });
}

}  // namespace dandelionmill::peer
