#ifndef SRC_DANDELIONMILL_ROUTER_GRANT_LEDGER_H_
#define SRC_DANDELIONMILL_ROUTER_GRANT_LEDGER_H_

#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "dandelionmill/base/ids.h"
#include "dandelionmill/base/units.h"

namespace dandelionmill::router {

// An attempt of this router and the tokens granted to it from a holder's lease.
struct HeldGrant {
  base::AttemptId attempt;
  base::HolderId holder;
  base::AccountId account;
  // Name of the budget within the client account.
  std::string budget;
  base::RequestKey key;
  base::BackendId backend;
  base::Tokens tokens = 0;
  bool idempotent = true;
  std::string body_sha256;
};

// Identifies a budget by its client account and its name within the account.
using BudgetName = std::pair<base::AccountId, std::string>;

// The grants of one holder at a router when the holder is closed.
struct CloseStatement {
  // Tokens settled since the router process started.
  std::map<BudgetName, base::Tokens> settled;
  std::vector<HeldGrant> running;
};

// Records the grants that this router has accepted, by the holder whose lease
// covers them. Grants of a closed holder are no longer accepted, so a holder
// that resumes late cannot spend tokens and the closing statement stays exact.
// Does no I/O and is not thread-safe; accepting a grant and closing its holder
// must be serialized with sending the request.
class GrantLedger {
 public:
  // Accepts a grant. Returns false and records nothing if its holder is closed:
  // the request must not be sent.
  bool Accept(const HeldGrant& grant);

  // Takes over an attempt that is already running. Its holder may be closed, as
  // the tokens were counted when they were granted.
  void Adopt(const HeldGrant& grant);

  // Records the backend server to which an accepted attempt is sent. Returns
  // false if closing the holder has dropped the attempt in the meantime.
  bool Dispatch(const base::AttemptId& attempt, const base::BackendId& backend);

  // Reduces the attempt's grant to `tokens`; has no effect if it is not larger.
  void Shrink(const base::AttemptId& attempt, base::Tokens tokens);

  // Removes an attempt that has ended and counts the `tokens` that it used. Has
  // no effect if the attempt is unknown.
  void Settle(const base::AttemptId& attempt, base::Tokens tokens);

  // Removes an attempt that another router has taken over.
  void HandOver(const base::AttemptId& attempt);

  // Closes a holder permanently and returns its settled and running tokens at
  // this router. Attempts that were accepted but not yet sent are dropped and
  // appended to `dropped`.
  CloseStatement Close(const base::HolderId& holder,
                       std::vector<base::AttemptId>& dropped);

  // Queries.
  bool IsClosed(const base::HolderId& holder) const;
  const HeldGrant* Find(const base::AttemptId& attempt) const;
  std::size_t running() const { return running_.size(); }
  const std::set<base::HolderId>& closed() const { return closed_; }

 private:
  std::map<base::AttemptId, HeldGrant> running_;
  std::map<base::HolderId, std::map<BudgetName, base::Tokens>> settled_;
  std::set<base::HolderId> closed_;
};

// Returns "account/name", the key by which the owner of a budget is selected.
std::string BudgetKey(const base::AccountId& account, const std::string& name);

}  // namespace dandelionmill::router

#endif  // SRC_DANDELIONMILL_ROUTER_GRANT_LEDGER_H_
