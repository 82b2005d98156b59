#include "bench/judge.h"

#include <algorithm>
#include <limits>

#include "bench/spend.h"

namespace bench {
namespace {

using dandelionmill::billing::Charge;
using standins::backend::RunRecord;

constexpr int kBudgetExhausted = 301;
constexpr int kBudgetBusy = 303;

template <class T>
void KeepLeast(std::optional<T>& least, T value) {
  least = least ? std::min(*least, value) : value;
}

// Judges one run; the parts fill in the verdict.
class Judgement {
 public:
  Judgement(const Run& run, const Records& records)
      : run_(run), records_(records), spend_(run.plan, run.requests, records) {}

  Verdict Reach() {
    for (std::size_t i = 0; i < run_.requests.size(); ++i)
      JudgeOutcome(run_.requests[i], run_.outcomes[i]);
    JudgeRuns();
    JudgeCharges();
    JudgeBudgets();
    JudgeBackends();
    return verdict_;
  }

 private:
  const RequestClass& ClassOf(const PlannedRequest& request) const {
    return run_.plan.classes[request.request_class];
  }

  const PaidBudget& BudgetOf(const PlannedRequest& request) const {
    return run_.plan.budgets[request.budget];
  }

  void JudgeOutcome(const PlannedRequest& request, const Outcome& outcome) {
    ++verdict_.sent;
    ++verdict_.sent_by_class[ClassOf(request).name];
    verdict_.streams_cut += outcome.broken;
    switch (outcome.ending) {
      case Ending::kComplete:
        ++verdict_.complete;
        break;
      case Ending::kWrong:
        ++verdict_.wrong_answers;
        break;
      case Ending::kNoAnswer:
        ++verdict_.no_answer;
        break;
      case Ending::kRefused:
        JudgeRefusal(request, outcome);
        break;
    }
  }

  void JudgeRefusal(const PlannedRequest& request, const Outcome& outcome) {
    const bool said_not_run = outcome.ran == "no";
    (said_not_run ? verdict_.refused_not_run : verdict_.refused_maybe_run) += 1;
    ++verdict_.refusals_by_code[outcome.code];
    const bool ran =
        spend_.Find(BudgetOf(request).account, request.key) != nullptr;
    if (said_not_run && ran && outcome.broken == 0)
      ++verdict_.ran_though_refused;
    if (outcome.code == kBudgetExhausted)
      NoteSpentShare(request, outcome);
    if (IsAllowed(request, outcome))
      return;
    const bool for_budget = IsForBudget(outcome);
    const std::int64_t room = for_budget ? RoomAt(request, outcome) : 0;
    if (for_budget && room < request.tokens)
      return;
    ++verdict_.false_refusals;
    ++verdict_.false_refusals_by_code[outcome.code];
    ++verdict_.false_refusals_by_budget[NameOf(BudgetOf(request)) + " at " +
                                        run_.plan.targets[request.target].zone];
    if (for_budget && room >= request.bound)
      ++verdict_.false_refusals_beyond_bound;
  }

  bool IsAllowed(const PlannedRequest& request, const Outcome& outcome) const {
    const RequestClass& item = ClassOf(request);
    for (const auto* honest :
         {&run_.plan.judge.honest_codes, &item.honest_codes}) {
      if (std::count(honest->begin(), honest->end(), outcome.code) != 0)
        return true;
    }
    // Nobody can say whether a call ran whose connection died, and it must not
    // run again.
    return !item.idempotent && outcome.broken > 0 && outcome.ran != "no";
  }

  static bool IsForBudget(const Outcome& outcome) {
    return outcome.code == kBudgetExhausted || outcome.code == kBudgetBusy;
  }

  // Tokens of the budget that nothing had used when the refusal came.
  std::int64_t RoomAt(const PlannedRequest& request,
                      const Outcome& outcome) const {
    const std::string budget = NameOf(BudgetOf(request));
    return GrantedAt(run_.plan, budget,
                     outcome.ended_unix_us - run_.start_unix_us) -
           spend_.Before(budget, outcome.ended_unix_us);
  }

  void NoteSpentShare(const PlannedRequest& request, const Outcome& outcome) {
    const std::string budget = NameOf(BudgetOf(request));
    const std::int64_t granted = GrantedAt(
        run_.plan, budget, outcome.ended_unix_us - run_.start_unix_us);
    if (granted <= 0)
      return;
    const auto share = [granted](std::int64_t tokens) {
      return static_cast<double>(tokens) / static_cast<double>(granted);
    };
    KeepLeast(verdict_.spent_share_at_first_refusal,
              share(spend_.Before(budget, outcome.ended_unix_us)));
    KeepLeast(verdict_.spent_share_at_end, share(spend_.Total(budget)));
  }

  void JudgeRuns() {
    for (const PlannedRequest& request : run_.requests) {
      const KeyRuns* key = spend_.Find(BudgetOf(request).account, request.key);
      if (key == nullptr || key->runs.size() < 2)
        continue;
      (ClassOf(request).idempotent ? verdict_.rerun : verdict_.ran_twice) += 1;
    }
  }

  void JudgeCharges() {
    // The first charge of each attempt, by request.
    std::map<std::string, std::map<std::string, const Charge*>> charges;
    for (const Charge& charge : records_.charges) {
      charges[charge.account.value() + "/" + charge.request_key.value()]
          .emplace(charge.attempt.value(), &charge);
    }
    for (const auto& [name, attempts] : charges) {
      const auto charged = std::count_if(
          attempts.begin(), attempts.end(),
          [](const auto& item) { return item.second->tokens > 0; });
      verdict_.billed_twice += charged > 1 ? 1 : 0;
      CheckTokens(name, attempts);
    }
    for (const auto& [name, key] : spend_.keys()) {
      if (key.HasCompleted() && charges.count(name) == 0)
        ++verdict_.unbilled;
    }
  }

  void CheckTokens(const std::string& name,
                   const std::map<std::string, const Charge*>& attempts) {
    const auto key = spend_.keys().find(name);
    if (key == spend_.keys().end())
      return;
    for (const RunRecord* run : key->second.runs) {
      const auto charge = attempts.find(run->attempt);
      if (charge == attempts.end() || run->state != "completed")
        continue;
      const std::int64_t used = run->prompt_tokens + run->completion_tokens;
      if (used > 0 && charge->second->tokens != used)
        ++verdict_.wrong_charges;
    }
  }

  void JudgeBudgets() {
    std::map<std::string, std::int64_t> billed;
    for (const Charge& charge :
         dandelionmill::billing::DeduplicateCharges(records_.charges))
      billed[charge.account.value() + "/" + charge.budget] += charge.tokens;
    if (run_.live_holders)
      verdict_.stranded_tokens = 0;
    for (const auto& [name, row] : records_.budgets) {
      verdict_.settled_minus_billed += row.settled - billed[name];
      if (!run_.live_holders)
        continue;
      *verdict_.stranded_tokens += row.written_off;
      for (const auto& [holder, tokens] : row.outstanding) {
        if (run_.live_holders->count(holder) == 0)
          *verdict_.stranded_tokens += tokens;
      }
    }
    std::set<std::string> names;
    for (const PaidBudget& budget : run_.plan.budgets)
      names.insert(NameOf(budget));
    for (const std::string& name : names) {
      const std::int64_t granted =
          GrantedAt(run_.plan, name, std::numeric_limits<std::int64_t>::max());
      verdict_.overspent_tokens +=
          std::max<std::int64_t>(0, spend_.Total(name) - granted);
    }
  }

  void JudgeBackends() {
    for (const BackendRecords& backend : records_.backends) {
      verdict_.backends_crashed += backend.crashes;
      for (std::int64_t after : backend.after_leaving_mark_ms) {
        verdict_.last_new_request_ms =
            std::max(verdict_.last_new_request_ms.value_or(0), after);
      }
    }
  }

  const Run& run_;
  const Records& records_;
  const Spend spend_;
  Verdict verdict_;
};

}  // namespace

Verdict Judge(const Run& run, const Records& records) {
  return Judgement(run, records).Reach();
}

}  // namespace bench
