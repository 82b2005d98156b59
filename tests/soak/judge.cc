#include "tests/soak/judge.h"

#include <algorithm>
#include <map>
#include <set>
#include <sstream>
#include <string>
#include <utility>

namespace soak {
namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

constexpr int kOk = 200;
constexpr int kUnauthorized = 401;
// Time for which a disturbance is felt after its end.
constexpr milliseconds kAftermath{4000};
// Longest time past its limit that an answer may take.
constexpr milliseconds kLateSlack{1000};
// Time that messages need on a busy machine.
constexpr milliseconds kTransit{500};

// Statuses that promise that the request has not run and will not.
const std::set<int> kNotRun = {408, 421, 429, 503};
// Refusals of a proper request by right, key or form.
const std::set<int> kDenials = {400, 401, 403, 404, 413, 431};

using On = Disturbance::On;
const std::set<On> kEverything = {On::kGateway, On::kCallerLink, On::kStore,
                                  On::kBackend};
// What may delay an answer past the caller's time limit.
const std::set<On> kCallersSide = {On::kGateway, On::kCallerLink};
// What may keep a gateway from learning something.
const std::set<On> kKnowledge = {On::kGateway, On::kStore};

class Judgement {
 public:
  Judgement(const Records& records, const Bounds& bounds)
      : records_(records), bounds_(bounds) {
    for (const Run& run : records.runs)
      runs_[run.id].push_back(&run);
  }

  std::vector<Breach> Find() {
    std::set<std::string> asked;
    for (const Exchanged& exchanged : records_.exchanges) {
      asked.insert(exchanged.ask.id);
      CheckAnswer(exchanged);
      CheckRuns(exchanged);
      CheckTime(exchanged);
    }
    for (const Run& run : records_.runs) {
      if (asked.count(run.id) == 0)
        Add("unasked", "backend server ran " + run.id + ", which nobody asked");
    }
    CheckSpending();
    CheckLeavings();
    CheckVersions();
    return std::move(breaches_);
  }

 private:
  void Add(const char* promise, const std::string& detail) {
    breaches_.push_back({promise, detail});
  }

  static std::string Describe(const Exchanged& exchanged) {
    std::ostringstream text;
    text << exchanged.ask.id << " at gateway " << exchanged.ask.gateway
         << " boot " << exchanged.ask.boot << " status "
         << exchanged.outcome.status << " events " << exchanged.outcome.events
         << " after "
         << duration_cast<milliseconds>(exchanged.outcome.ended -
                                        exchanged.ask.sent)
                .count()
         << " ms";
    return text.str();
  }

  std::vector<const Run*> RunsOf(const std::string& id) const {
    const auto found = runs_.find(id);
    return found == runs_.end() ? std::vector<const Run*>() : found->second;
  }

  // Whether something other than planned work was done in that time, or shortly
  // before, to one of `things` that an exchange with the gateway needs; -1
  // stands for any gateway.
  bool IsDisturbed(const std::set<Disturbance::On>& things,
                   int gateway,
                   Time from,
                   Time until) const {
    return std::any_of(
        records_.disturbances.begin(), records_.disturbances.end(),
        [&](const Disturbance& disturbance) {
          return disturbance.sort == Disturbance::Sort::kUnplanned &&
                 things.count(disturbance.on) > 0 &&
                 (gateway < 0 || disturbance.target < 0 ||
                  disturbance.target == gateway) &&
                 disturbance.from <= until &&
                 disturbance.until + kAftermath >= from;
        });
  }

  void CheckAnswer(const Exchanged& exchanged) {
    const Outcome& outcome = exchanged.outcome;
    const bool is_success = outcome.status >= kOk && outcome.status < 300;
    if (is_success && !outcome.has_receipt)
      Add("whole answers", "no receipt: " + Describe(exchanged));
    if (is_success && outcome.is_complete && !outcome.is_own_answer)
      Add("whole answers", "not its own answer: " + Describe(exchanged));
    if (exchanged.ask.key_version == 0 && kDenials.count(outcome.status) > 0)
      Add("denied", "a proper request: " + Describe(exchanged));
  }

  void CheckRuns(const Exchanged& exchanged) {
    const auto runs = RunsOf(exchanged.ask.id);
    if (runs.size() > 1 && !MayRunAgain(exchanged.ask.kind))
      Add("once",
          std::to_string(runs.size()) + " runs: " + Describe(exchanged));
    if (!runs.empty() && !MayRunAgain(exchanged.ask.kind) &&
        kNotRun.count(exchanged.outcome.status) > 0)
      Add("not run", "it has run: " + Describe(exchanged));
    for (const Run* run : runs) {
      if (run->account != exchanged.ask.account)
        Add("unasked",
            "run for account " + run->account + ": " + Describe(exchanged));
    }
    const bool broke_off =
        std::any_of(runs.begin(), runs.end(),
                    [](const Run* run) { return run->broke_off; });
    const bool is_cut = !exchanged.outcome.is_complete;
    const bool in_time =
        exchanged.outcome.ended < exchanged.ask.sent + exchanged.ask.time_limit;
    if (is_cut && in_time && !runs.empty() && !broke_off &&
        !IsDisturbed(kEverything, exchanged.ask.gateway, exchanged.ask.sent,
                     exchanged.outcome.ended))
      Add("nothing cut", Describe(exchanged));
  }

  void CheckTime(const Exchanged& exchanged) {
    const Ask& ask = exchanged.ask;
    if (exchanged.outcome.ended <= ask.sent + ask.time_limit + kLateSlack)
      return;
    if (!IsDisturbed(kCallersSide, ask.gateway, ask.sent,
                     exchanged.outcome.ended))
      Add("time limit", Describe(exchanged));
  }

  void CheckSpending() {
    std::map<std::string, std::int64_t> used;
    for (const Exchanged& exchanged : records_.exchanges) {
      if (RunsOf(exchanged.ask.id).empty())
        continue;
      used[exchanged.ask.account] +=
          exchanged.ask.prompt_tokens +
          (exchanged.ask.prompt_tokens > 0
               ? exchanged.outcome.events * bounds_.tokens_per_event
               : 0);
    }
    for (const auto& [account, prepaid] : records_.prepaid) {
      if (used[account] > prepaid)
        Add("budget", account + " used " + std::to_string(used[account]) +
                          " of " + std::to_string(prepaid));
    }
  }

  void CheckLeavings() {
    for (const Leaving& leaving : records_.leavings) {
      const Time bound = leaving.announced + bounds_.drain + kTransit;
      for (const Run& run : records_.runs) {
        if (run.backend == leaving.backend && run.at > bound &&
            !IsDisturbed(kKnowledge, -1, leaving.announced, run.at))
          Add("leaving", run.backend + " got " + run.id + " " +
                             std::to_string(duration_cast<milliseconds>(
                                                run.at - leaving.announced)
                                                .count()) +
                             " ms after it announced that it leaves");
      }
    }
  }

  // Each configuration accepts one key and no other.
  void CheckVersions() {
    std::map<std::pair<int, int>, std::pair<std::uint64_t, Time>> newest;
    for (const Exchanged& exchanged : records_.exchanges) {
      const Ask& ask = exchanged.ask;
      if (ask.key_version == 0)
        continue;
      const bool accepted = exchanged.outcome.status == kOk;
      const bool refused = exchanged.outcome.status == kUnauthorized;
      auto& [seen, since] = newest[{ask.gateway, ask.boot}];
      if (accepted && ask.key_version < seen &&
          ask.sent > since + bounds_.rollback_slack)
        Add("configuration", "went back from " + std::to_string(seen) + " to " +
                                 std::to_string(ask.key_version) + ": " +
                                 Describe(exchanged));
      if (accepted && ask.key_version > seen) {
        seen = ask.key_version;
        since = exchanged.outcome.ended;
      }
      CheckPropagation(exchanged, accepted, refused);
    }
  }

  void CheckPropagation(const Exchanged& exchanged,
                        bool accepted,
                        bool refused) {
    const Ask& ask = exchanged.ask;
    const Time settled = ask.sent - bounds_.propagation - kTransit;
    std::uint64_t in_force = 0;
    std::uint64_t newest = 0;
    for (const Version& version : records_.versions) {
      if (version.stored <= settled)
        in_force = std::max(in_force, version.number);
      if (version.stored <= exchanged.outcome.ended)
        newest = std::max(newest, version.number);
    }
    if (in_force == 0 ||
        IsDisturbed(kKnowledge, ask.gateway, settled, exchanged.outcome.ended))
      return;
    if (accepted && ask.key_version < in_force)
      Add("configuration", "version " + std::to_string(in_force) +
                               " not in force: " + Describe(exchanged));
    if (refused && ask.key_version == in_force && newest == in_force)
      Add("configuration", "its key is refused: " + Describe(exchanged));
  }

  const Records& records_;
  const Bounds bounds_;
  std::map<std::string, std::vector<const Run*>> runs_;
  std::vector<Breach> breaches_;
};

}  // namespace

std::vector<Breach> Judge(const Records& records, const Bounds& bounds) {
  return Judgement(records, bounds).Find();
}

}  // namespace soak
