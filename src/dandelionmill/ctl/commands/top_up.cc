#include <algorithm>
#include <charconv>

#include "dandelionmill/ctl/change_output.h"
#include "dandelionmill/ctl/commands/commands.h"
#include "dandelionmill/ctl/commit.h"

namespace dandelionmill::ctl::commands {
namespace {

constexpr int kMaxAttempts = 50;  // commits, each on a newer version
constexpr base::Tokens kMaxTokens = 1'000'000'000'000'000;

base::Result<base::Tokens> ParseTokens(const std::string& text) {
  base::Tokens tokens = 0;
  const char* end = text.data() + text.size();
  const auto [parsed_end, error] = std::from_chars(text.data(), end, tokens);
  if (error != std::errc() || parsed_end != end || tokens > kMaxTokens ||
      tokens < -kMaxTokens)
    return base::Error{base::Code::kBadCommandLine,
                       "\"" + text + "\" is not a number of tokens"};
  return tokens;
}

// Returns the document with the budget's grant raised by `tokens`, which may be
// negative. Fails with kBadInventory when the budget does not exist or the new
// grant is out of range.
base::Result<inventory::Document> RaiseGrant(inventory::Document document,
                                             const std::string& account_id,
                                             const std::string& budget_name,
                                             base::Tokens tokens) {
  for (inventory::Account& account : document.accounts) {
    if (account.id.value() != account_id)
      continue;
    for (inventory::Budget& budget : account.budgets) {
      if (budget.name != budget_name)
        continue;
      const base::Tokens granted = budget.granted + tokens;
      if (granted < 0 || granted > kMaxTokens)
        return base::Error{base::Code::kBadInventory,
                           "granted would be " + std::to_string(granted) +
                               "; allowed: 0 to " + std::to_string(kMaxTokens)};
      budget.granted = granted;
      return document;
    }
  }
  return base::Error{base::Code::kBadInventory,
                     "there is no budget " + account_id + "/" + budget_name};
}

// Tries once to commit the top-up on the newest accepted version.
base::Result<CommitOutcome> CommitOnce(const Invocation& invocation,
                                       base::Tokens tokens,
                                       Environment& environment) {
  const auto accepted = ReadAccepted(environment.stores.table);
  if (!base::IsOk(accepted))
    return base::ErrorOf(accepted);
  auto current =
      ReadDocument(environment.stores.objects, base::ValueOf(accepted).head);
  if (!base::IsOk(current))
    return base::ErrorOf(current);
  const std::string& account = invocation.arguments[0];
  const std::string& budget = invocation.arguments[1];
  auto desired =
      RaiseGrant(base::ValueOf(std::move(current)), account, budget, tokens);
  if (!base::IsOk(desired))
    return base::ErrorOf(desired);
  ChangeRequest request;
  request.desired = base::ValueOf(std::move(desired));
  request.base = base::ValueOf(accepted).head.version;
  request.author = environment.author;
  request.summary =
      invocation.Value("summary", "top up " + account + "/" + budget + " by " +
                                      std::to_string(tokens));
  request.at = environment.now;
  return CommitChange(environment.stores, request);
}

Exit Run(const Invocation& invocation, Environment& environment) {
  const auto tokens = ParseTokens(invocation.arguments[2]);
  if (!base::IsOk(tokens))
    return ReportError(base::ErrorOf(tokens), invocation, environment);
  base::Result<CommitOutcome> outcome =
      CommitOnce(invocation, base::ValueOf(tokens), environment);
  // A top-up is relative to the current grant, so after a conflict it is
  // retried on the newest version.
  for (int attempt = 1;
       attempt < kMaxAttempts && base::IsOk(outcome) &&
       std::holds_alternative<Conflict>(base::ValueOf(outcome));
       ++attempt)
    outcome = CommitOnce(invocation, base::ValueOf(tokens), environment);
  return ReportOutcome(outcome, invocation, environment);
}

}  // namespace

Command TopUp() {
  return {"top-up",
          "ACCOUNT BUDGET TOKENS",
          "Raises the grant of a budget by TOKENS; write a negative number "
          "after -- to lower it.",
          3,
          3,
          {{"summary", "TEXT", "What it is for, kept in the history"}},
          Run};
}

}  // namespace dandelionmill::ctl::commands
