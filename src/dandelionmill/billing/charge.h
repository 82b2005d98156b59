#ifndef SRC_DANDELIONMILL_BILLING_CHARGE_H_
#define SRC_DANDELIONMILL_BILLING_CHARGE_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "dandelionmill/base/ids.h"
#include "dandelionmill/base/result.h"
#include "dandelionmill/base/units.h"

namespace dandelionmill::billing {

// The tokens billed for one request, as stored.
struct Charge {
  base::AccountId account;
  std::string budget;
  base::RequestKey request_key;
  base::AttemptId attempt;
  std::string service;
  std::string model;
  base::BackendId backend;
  base::Tokens prompt_tokens = 0;
  base::Tokens completion_tokens = 0;
  // The number of tokens that are billed.
  base::Tokens tokens = 0;
  // "completed", "cancelled", "failed" or "unknown".
  std::string outcome;
  // Unix time in milliseconds. Informational: it does not affect billing.
  std::int64_t ended_at_unix_ms = 0;
};

// Returns the charge as one line of JSON, without the line end.
std::string ToJsonLine(const Charge& charge);

// Parses the lines of one stored object. Fails with kMalformedMessage naming
// the line.
base::Result<std::vector<Charge>> ParseCharges(const std::string& content);

// Removes repeated charges, so that each request is billed once: of several
// charges with the same account and key only the first is returned. `charges`
// are in the order in which they were stored.
std::vector<Charge> DeduplicateCharges(const std::vector<Charge>& charges);

// The sum of the charges of one client account for one budget.
struct Total {
  std::int64_t requests = 0;
  base::Tokens tokens = 0;
};
// Sums the result of DeduplicateCharges per account and budget. The keys of the
// map have the form "account/budget".
std::map<std::string, Total> SumByBudget(const std::vector<Charge>& charges);

}  // namespace dandelionmill::billing

#endif  // SRC_DANDELIONMILL_BILLING_CHARGE_H_
