#include "dandelionmill/control/internal/budget_leases.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "dandelionmill/control/internal/budget_entry.h"
#include "dandelionmill/control/platform_io.h"
#include "dandelionmill/log/event.h"

namespace dandelionmill::control {
namespace {

using idempotency::Rejected;

// Period of the check of budgets that are not active.
constexpr std::chrono::milliseconds kSweepPeriod{1000};
// Duration of an outage of the table after which requests that need the table
// are refused without waiting.
constexpr std::chrono::milliseconds kOutageTolerance{3000};
// Retry-After of refused requests.
constexpr std::chrono::milliseconds kBusyRetryAfter{1000};
constexpr std::chrono::milliseconds kOutageRetryAfter{2000};
// How long draws ahead of demand stay limited after another zone recalled
// tokens.
constexpr std::chrono::milliseconds kScarcePeriod{5000};
// Weight of one request in the moving average of Entry::use_ratio.
constexpr double kUseRatioWeight = 0.05;

Rejected Refuse(base::Code code,
                std::string detail,
                std::chrono::milliseconds retry_after = {}) {
  return {{code, std::move(detail)}, base::Ran::kNo, retry_after};
}

}  // namespace

BudgetLeases::BudgetLeases(PlatformIo& platform, HolderRow& holder, Hooks hooks)
    : platform_(platform), holder_(holder), hooks_(std::move(hooks)) {}

BudgetLeases::~BudgetLeases() = default;

BudgetLeases::Entry& BudgetLeases::EntryOf(const budget::BudgetKey& key) {
  std::unique_ptr<Entry>& entry = entries_[key];
  if (!entry)
    entry = std::make_unique<Entry>(key, holder_.holder());
  return *entry;
}

const budget::HolderLease* BudgetLeases::Find(
    const budget::BudgetKey& key) const {
  const auto found = entries_.find(key);
  return found == entries_.end() ? nullptr : &found->second->lease;
}

void BudgetLeases::Reserve(TokenRequest request, base::MonoTime now) {
  now_ = std::max(now_, now);
  Entry& entry = EntryOf(request.key);
  entry.demand.Add(request.tokens, now_);
  holder_.AddRouter(request.router);
  entry.waiting.push_back(std::move(request));
  Advance(entry);
}

void BudgetLeases::Release(const budget::BudgetKey& key,
                           const base::RouterId& router,
                           base::Tokens tokens) {
  Entry& entry = EntryOf(key);
  entry.lease.Release(router, tokens);
  entry.demand.SubtractUnused(tokens);
  Advance(entry);
}

void BudgetLeases::Settle(const budget::BudgetKey& key,
                          const base::RouterId& router,
                          base::Tokens reserved,
                          base::Tokens used) {
  Entry& entry = EntryOf(key);
  entry.lease.Settle(router, reserved, used);
  entry.demand.SubtractUnused(reserved - used);
  if (reserved > 0) {
    const double ratio =
        static_cast<double>(used) / static_cast<double>(reserved);
    entry.use_ratio += kUseRatioWeight * (ratio - entry.use_ratio);
  }
  Advance(entry);
}

bool BudgetLeases::ReserveNow(const budget::BudgetKey& key,
                              const base::RouterId& router,
                              base::Tokens tokens) {
  return EntryOf(key).lease.Reserve(router, tokens);
}

void BudgetLeases::Recover(const budget::BudgetKey& key,
                           const base::HolderId& lost,
                           budget::HolderReports reports,
                           RecoveryDone done) {
  Entry& entry = EntryOf(key);
  entry.recoveries[lost] = {std::move(reports), std::move(done)};
  Advance(entry);
}

void BudgetLeases::Recall(const budget::BudgetKey& key, base::MonoTime now) {
  const auto found = entries_.find(key);
  if (found == entries_.end())
    return;
  now_ = std::max(now_, now);
  Entry& entry = *found->second;
  entry.scarce_until = now_ + kScarcePeriod;
  entry.recalled = entry.lease.Available() > 0;
  Advance(entry);
}

void BudgetLeases::OnTick(base::MonoTime now) {
  now_ = std::max(now_, now);
  if (now_ < next_sweep_)
    return AdvanceActive();
  next_sweep_ = now_ + kSweepPeriod;
  for (const auto& [key, entry] : entries_)
    Advance(*entry);
}

void BudgetLeases::AdvanceActive() {
  const std::set<Entry*> active = active_;
  for (Entry* entry : active)
    Advance(*entry);
}

void BudgetLeases::OnHolderRow() {
  if (holder_.IsClosed())
    return hooks_.on_closed();
  AdvanceActive();
}

void BudgetLeases::OnLeave() {
  leaving_ = true;
  for (const auto& [key, entry] : entries_)
    Advance(*entry);
}

std::vector<BudgetLeases::TokenRequest> BudgetLeases::TakeWaiting() {
  std::vector<TokenRequest> taken;
  for (const auto& [key, entry] : entries_) {
    std::move(entry->waiting.begin(), entry->waiting.end(),
              std::back_inserter(taken));
    entry->waiting.clear();
  }
  active_.clear();
  return taken;
}

bool BudgetLeases::IsDrained() const {
  return std::all_of(entries_.begin(), entries_.end(), [](const auto& keyed) {
    const Entry& entry = *keyed.second;
    return entry.waiting.empty() && entry.lease.Outstanding() == 0 &&
           !entry.lease.HasWriteInFlight();
  });
}

std::size_t BudgetLeases::waiting() const {
  std::size_t total = 0;
  for (const Entry* entry : active_)
    total += entry->waiting.size();
  return total;
}

void BudgetLeases::Advance(Entry& entry) {
  ServeWaiting(entry);
  RefuseExpired(entry);
  RefuseDuringOutage(entry);
  StartIo(entry);
  if (entry.waiting.empty() && entry.recoveries.empty() && !entry.busy &&
      !entry.lease.HasWriteInFlight())
    active_.erase(&entry);
  else
    active_.insert(&entry);
}

// A request that exceeds its router's ceiling does not block requests of other
// routers. A request that exceeds the whole lease keeps its place in the queue.
void BudgetLeases::ServeWaiting(Entry& entry) {
  std::vector<TokenRequest> served;
  for (auto request = entry.waiting.begin(); request != entry.waiting.end();) {
    if (entry.lease.Available() < request->tokens)
      break;
    if (!entry.lease.Reserve(request->router, request->tokens)) {
      ++request;
      continue;
    }
    served.push_back(std::move(*request));
    request = entry.waiting.erase(request);
  }
  for (const TokenRequest& request : served)
    request.done(std::nullopt);
}

void BudgetLeases::RefuseExpired(Entry& entry) {
  std::vector<TokenRequest> expired;
  for (auto request = entry.waiting.begin(); request != entry.waiting.end();) {
    if (request->wait_until > now_) {
      ++request;
      continue;
    }
    expired.push_back(std::move(*request));
    request = entry.waiting.erase(request);
  }
  for (const TokenRequest& request : expired) {
    request.done(Refuse(base::Code::kBudgetBusy,
                        "no tokens became free in budget " + entry.key.name,
                        kBusyRetryAfter));
  }
}

// Refuses requests that could not be served even if all outstanding tokens were
// returned.
void BudgetLeases::RefuseUnsatisfiable(Entry& entry) {
  if (!entry.row)
    return;
  const budget::Row& row = *entry.row;
  base::Tokens others = budget::Outstanding(row);
  const auto own = row.leases.find(holder_.holder());
  if (own != row.leases.end())
    others -= own->second.outstanding();
  base::Tokens obtainable = entry.lease.Available() + entry.ExpectedReturn();
  if (!std::holds_alternative<budget::FixedSplitPolicy>(PolicyOf(entry)))
    obtainable += budget::Free(row) + others;
  std::vector<TokenRequest> refused;
  for (auto request = entry.waiting.begin(); request != entry.waiting.end();) {
    if (request->tokens <= obtainable) {
      obtainable -= static_cast<base::Tokens>(
          entry.use_ratio * static_cast<double>(request->tokens));
      ++request;
      continue;
    }
    refused.push_back(std::move(*request));
    request = entry.waiting.erase(request);
  }
  for (const TokenRequest& request : refused) {
    request.done(
        Refuse(base::Code::kBudgetExhausted,
               "budget " + entry.key.name + " has " +
                   std::to_string(std::max<base::Tokens>(0, obtainable)) +
                   " tokens left, the request may need " +
                   std::to_string(request.tokens)));
  }
}

void BudgetLeases::RefuseDuringOutage(Entry& entry) {
  if (!outage_since_ || now_ - *outage_since_ < kOutageTolerance)
    return;
  const base::Tokens obtainable =
      entry.lease.Available() + entry.ExpectedReturn();
  std::vector<TokenRequest> refused;
  for (auto request = entry.waiting.begin(); request != entry.waiting.end();) {
    if (request->tokens <= obtainable &&
        request->tokens <=
            entry.lease.AvailableTo(request->router) + entry.ExpectedReturn()) {
      ++request;
      continue;
    }
    refused.push_back(std::move(*request));
    request = entry.waiting.erase(request);
  }
  for (const TokenRequest& request : refused) {
    request.done(Refuse(base::Code::kBudgetBusy,
                        "the platform's table is out and the lease on budget " +
                            entry.key.name + " is used up",
                        kOutageRetryAfter));
  }
}

void BudgetLeases::Dump(nlohmann::json& dump) const {
  nlohmann::json& budgets = dump["budgets"];
  budgets = nlohmann::json::object();
  for (const auto& [key, entry] : entries_) {
    budgets[key.account.value() + "/" + key.name] = {
        {"outstanding", entry->lease.Outstanding()},
        {"available", entry->lease.Available()},
        {"reserved", entry->lease.reserved()},
        {"unfolded", entry->lease.UnrecordedSettled()},
        {"waiting", entry->waiting.size()},
        {"tokens_per_s", entry->demand.PerSecond(now_)},
        {"row_version", entry->version},
        {"free_when_read", entry->row ? budget::Free(*entry->row) : 0}};
  }
}

}  // namespace dandelionmill::control
