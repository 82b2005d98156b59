#include <algorithm>
#include <charconv>
#include <optional>

#include "dandelionmill/base/digest.h"
#include "dandelionmill/router/caller_request.h"

namespace dandelionmill::router {
namespace {

using base::Code;
using base::Error;

constexpr std::string_view kBearer = "Bearer ";
constexpr std::size_t kMaxKeyLength = 128;
constexpr int kGeneratedKeyLength = 24;
constexpr int kMaxDeadlineMs = 3600000;
constexpr int kLowestPriority = 9;
// Compared with for every key, also for unknown accounts, so that the response
// time does not reveal whether an account exists.
constexpr std::string_view kDummyDigest =
    "0000000000000000000000000000000000000000000000000000000000000000";

std::optional<int> ParseInteger(const std::string& text) {
  int value = 0;
  const char* end = text.data() + text.size();
  const auto [parsed_end, problem] = std::from_chars(text.data(), end, value);
  if (problem != std::errc() || parsed_end != end)
    return std::nullopt;
  return value;
}

bool IsVisibleAscii(const std::string& text) {
  return std::all_of(text.begin(), text.end(),
                     [](char c) { return c > ' ' && c <= '~'; });
}

// Returns the account whose key is in `authorization`, or nullptr.
const inventory::Account* Authenticate(const std::string& authorization,
                                       const inventory::Snapshot& config) {
  if (authorization.compare(0, kBearer.size(), kBearer) != 0)
    return nullptr;
  const std::string key = authorization.substr(kBearer.size());
  const std::string digest = base::Sha256Hex(key);
  const inventory::Account* account =
      config.FindAccount(base::AccountId(key.substr(0, key.find('.'))));
  bool matches = base::ConstantTimeEquals(digest, kDummyDigest);
  if (account != nullptr) {
    for (const std::string& known : account->key_sha256)
      matches = base::ConstantTimeEquals(digest, known) || matches;
  }
  return matches ? account : nullptr;
}

base::Status ParseIdempotencyKey(const std::string& text,
                                 RequestParameters& parameters) {
  if (text.empty()) {
    parameters.key = base::RequestKey(base::RandomToken(kGeneratedKeyLength));
    return base::Unit{};
  }
  if (text.size() > kMaxKeyLength || !IsVisibleAscii(text))
    return Error{Code::kMalformedRequest,
                 "Idempotency-Key must have 1 to 128 visible ASCII characters"};
  parameters.key = base::RequestKey(text);
  parameters.key_from_caller = true;
  return base::Unit{};
}

base::Status ParseDeadline(const std::string& text,
                           RequestParameters& parameters) {
  if (text.empty())
    return base::Unit{};
  const std::optional<int> value = ParseInteger(text);
  if (!value || *value < 1 || *value > kMaxDeadlineMs)
    return Error{Code::kBadDeadline, "X-Deadline-Ms must be 1 to 3600000"};
  parameters.deadline = std::chrono::milliseconds(*value);
  return base::Unit{};
}

base::Status ParsePriority(const std::string& text,
                           RequestParameters& parameters) {
  if (text.empty())
    return base::Unit{};
  const std::optional<int> value = ParseInteger(text);
  if (!value || *value < 0 || *value > kLowestPriority)
    return Error{Code::kMalformedRequest, "X-Priority must be 0 to 9"};
  parameters.priority = *value;
  return base::Unit{};
}

base::Status ParseIdempotent(const std::string& text,
                             RequestParameters& parameters) {
  if (!text.empty() && text != "no" && text != "yes")
    return Error{Code::kMalformedRequest, "X-Idempotent must be yes or no"};
  parameters.idempotent = text != "no";
  return base::Unit{};
}

base::Status ParseBudget(const std::string& text,
                         const inventory::Account& account,
                         RequestParameters& parameters) {
  if (!text.empty())
    parameters.budget = text;
  const bool known = std::any_of(
      account.budgets.begin(), account.budgets.end(),
      [&](const auto& budget) { return budget.name == parameters.budget; });
  if (!known)
    return Error{Code::kBudgetUnknown, "account \"" + account.id.value() +
                                           "\" has no budget of this name"};
  return base::Unit{};
}

}  // namespace

base::Result<RequestParameters> ReadHeaderParameters(
    const CallerHeaders& headers,
    const inventory::Snapshot& config) {
  const inventory::Account* account =
      Authenticate(headers.authorization, config);
  if (account == nullptr)
    return Error{Code::kUnauthorized,
                 "Authorization must be \"Bearer ACCOUNT.SECRET\" with a key "
                 "in use"};
  RequestParameters parameters;
  parameters.account = account->id;
  parameters.weight = account->weight;
  parameters.limits = account->limits;
  for (const base::Status& status :
       {ParseIdempotencyKey(headers.idempotency_key, parameters),
        ParseDeadline(headers.deadline_ms, parameters),
        ParsePriority(headers.priority, parameters),
        ParseIdempotent(headers.idempotent, parameters),
        ParseBudget(headers.budget, *account, parameters)}) {
    if (!base::IsOk(status))
      return base::ErrorOf(status);
  }
  return parameters;
}

}  // namespace dandelionmill::router
