#include "dandelionmill/router/grant_ledger.h"

#include <algorithm>

namespace dandelionmill::router {

std::string BudgetKey(const base::AccountId& account, const std::string& name) {
  return account.value() + "/" + name;
}

bool GrantLedger::Accept(const HeldGrant& grant) {
  if (IsClosed(grant.holder))
    return false;
  running_[grant.attempt] = grant;
  return true;
}

void GrantLedger::Adopt(const HeldGrant& grant) {
  running_[grant.attempt] = grant;
}

bool GrantLedger::Dispatch(const base::AttemptId& attempt,
                           const base::BackendId& backend) {
  const auto found = running_.find(attempt);
  if (found == running_.end())
    return false;
  found->second.backend = backend;
  return true;
}

void GrantLedger::Shrink(const base::AttemptId& attempt, base::Tokens tokens) {
  const auto found = running_.find(attempt);
  if (found != running_.end())
    found->second.tokens = std::min(found->second.tokens, tokens);
}

void GrantLedger::Settle(const base::AttemptId& attempt, base::Tokens tokens) {
  const auto found = running_.find(attempt);
  if (found == running_.end())
    return;
  const HeldGrant& grant = found->second;
  settled_[grant.holder][{grant.account, grant.budget}] += tokens;
  running_.erase(found);
}

void GrantLedger::HandOver(const base::AttemptId& attempt) {
  running_.erase(attempt);
}

CloseStatement GrantLedger::Close(const base::HolderId& holder,
                                  std::vector<base::AttemptId>& dropped) {
  closed_.insert(holder);
  CloseStatement statement;
  const auto settled = settled_.find(holder);
  if (settled != settled_.end())
    statement.settled = settled->second;
  for (auto grant = running_.begin(); grant != running_.end();) {
    if (grant->second.holder != holder) {
      ++grant;
    } else if (grant->second.backend.empty()) {
      dropped.push_back(grant->first);
      grant = running_.erase(grant);
    } else {
      statement.running.push_back(grant->second);
      ++grant;
    }
  }
  return statement;
}

bool GrantLedger::IsClosed(const base::HolderId& holder) const {
  return closed_.count(holder) > 0;
}

const HeldGrant* GrantLedger::Find(const base::AttemptId& attempt) const {
  const auto found = running_.find(attempt);
  return found == running_.end() ? nullptr : &found->second;
}

}  // namespace dandelionmill::router
