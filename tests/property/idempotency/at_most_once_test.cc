#include <rapidcheck.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "dandelionmill/base/overloaded.h"
#include "dandelionmill/billing/charge.h"
#include "dandelionmill/idempotency/attempt_table.h"
#include "dandelionmill/idempotency/claim.h"
#include "tests/property/rapidcheck_cases.h"

using dandelionmill::base::AccountId;
using dandelionmill::base::AttemptId;
using dandelionmill::base::MonoTime;
using dandelionmill::base::Ran;
using dandelionmill::base::RequestKey;
using dandelionmill::base::RouterId;
namespace billing = dandelionmill::billing;
using namespace dandelionmill::idempotency;  // NOLINT

namespace {

const DefaultCases kCases(10000);
constexpr int kControls = 3;
constexpr int kKeys = 2;
constexpr int kSteps = 120;

struct Step {
  int kind = 0;
  int selector = 0;
  int key = 0;
};

std::ostream& operator<<(std::ostream& out, const Step& step) {
  return out << "{" << step.kind << "," << step.selector << "," << step.key
             << "}";
}

rc::Gen<std::vector<Step>> GenSteps() {
  const auto step = rc::gen::resize(
      rc::kNominalSize,
      rc::gen::build<Step>(
          rc::gen::set(&Step::kind, rc::gen::inRange(0, 9)),
          rc::gen::set(&Step::selector, rc::gen::inRange(0, 64)),
          rc::gen::set(&Step::key, rc::gen::inRange(0, kKeys))));
  return rc::gen::container<std::vector<Step>>(kSteps, step);
}

// Simulates controls that claim requests in one table over a network that
// delays and loses messages, and routers that send each granted request once. A
// control loses its state when it crashes.
class Simulation {
 public:
  explicit Simulation(bool idempotent) : idempotent_(idempotent) {
    controls_.resize(kControls);
  }

  void Apply(const Step& step) {
    switch (step.kind) {
      case 0:
      case 1:
        return RequestGrant(step.selector % kControls, step.key, step.selector);
      case 2:
        if (!network_.empty())
          network_.erase(network_.begin() + MessageIndex(step.selector));
        return;
      case 3:
        controls_[static_cast<std::size_t>(step.selector % kControls)] = {};
        ++generations_[step.selector % kControls];
        return;
      case 4:
        now_ += kAnswerRetention / 4;
        return;
      default:
        if (network_.empty())
          return;
        const auto message = network_[MessageIndex(step.selector)];
        network_.erase(network_.begin() + MessageIndex(step.selector));
        message();
    }
  }
  void DeliverAll() {
    while (!network_.empty()) {
      const auto message = network_.front();
      network_.erase(network_.begin());
      message();
    }
  }

  int RunCount(int key) const {
    const auto found = runs_.find(key);
    return found == runs_.end() ? 0 : found->second;
  }
  // Whether a request was refused with Ran::kNo although its key had run.
  bool refused_after_run() const { return refused_after_run_; }
  const std::vector<billing::Charge>& charges() const { return charges_; }

 private:
  struct Row {
    std::uint64_t version = 0;
    Claim claim;
  };

  std::size_t MessageIndex(int selector) const {
    return static_cast<std::size_t>(selector) % network_.size();
  }
  RequestIdentity NameOf(int key) const {
    return {AccountId("a"), RequestKey("k" + std::to_string(key))};
  }
  void Send(std::function<void()> message) {
    network_.push_back(std::move(message));
  }

  void RequestGrant(int control, int key, int router) {
    AttemptTable& table = controls_[static_cast<std::size_t>(control)];
    const RouterId requester("r" + std::to_string(router % 3));
    const Admission admission =
        table.Admit({NameOf(key), "body", idempotent_, requester, false}, now_);
    if (!std::holds_alternative<NewAttempt>(admission))
      return CheckRefusal(admission, key);
    const AttemptId id("t" + std::to_string(next_attempt_++));
    if (idempotent_)
      return Grant(control, generations_[control], key, id, requester);
    Claim claim;
    claim.attempt = id;
    claim.body_sha256 = "body";
    WriteClaim(control, generations_[control], key, claim, requester, 0, 0);
  }
  // Writes the claim if the row still has `version`, then reads the row back,
  // because the reply to the write may have been lost.
  void WriteClaim(int control,
                  int generation,
                  int key,
                  const Claim& claim,
                  const RouterId& router,
                  std::uint64_t version,
                  int tries) {
    if (tries > 3)
      return;
    Send([=] {
      Row& row = table_[key];
      if (row.version == version)
        row = {version + 1, claim};
      // The row decides, whether or not the reply to the write arrived.
      Send([=] {
        if (generations_[control] != generation)
          return;
        const Row read = table_[key];
        if (read.version == 0)
          return WriteClaim(control, generation, key, claim, router, 0,
                            tries + 1);
        std::visit(
            dandelionmill::base::Overloaded{
                [&](const ClaimAlreadyHeld&) {
                  Grant(control, generation, key, claim.attempt, router);
                },
                [&](const ClaimAvailable&) {
                  WriteClaim(control, generation, key, claim, router,
                             read.version, tries + 1);
                },
                [&](const Rejected& rejected) { CheckRefusal(rejected, key); }},
            EvaluateClaim(read.claim, claim));
      });
    });
  }
  void Grant(int control,
             int generation,
             int key,
             const AttemptId& id,
             const RouterId& router) {
    Attempt attempt;
    attempt.id = id;
    attempt.name = NameOf(key);
    attempt.body_sha256 = "body";
    attempt.idempotent = idempotent_;
    attempt.router = router;
    controls_[static_cast<std::size_t>(control)].Add(attempt);
    Send([=] { RunAttempt(control, generation, key, id); });
  }
  // The router sends the request and reports its end to the control twice, as
  // it does when the acknowledgement is late.
  void RunAttempt(int control, int generation, int key, const AttemptId& id) {
    ++runs_[key];
    for (int copy = 0; copy < 2; ++copy)
      Send([=] { OnEnded(control, generation, key, id); });
  }
  void OnEnded(int control, int generation, int key, const AttemptId& id) {
    AttemptTable& table = controls_[static_cast<std::size_t>(control)];
    const bool known = generations_[control] == generation;
    if (known && !table.End(id, true, now_))
      return;
    billing::Charge charge;
    charge.account = AccountId("a");
    charge.request_key = NameOf(key).key;
    charge.attempt = id;
    charges_.push_back(charge);
    if (idempotent_)
      return;
    Send([=] {
      Row& row = table_[key];
      if (row.claim.attempt == id && row.claim.state == ClaimState::kClaimed) {
        row.claim.state = ClaimState::kDone;
        ++row.version;
      }
    });
  }
  void CheckRefusal(const Admission& admission, int key) {
    const auto* rejected = std::get_if<Rejected>(&admission);
    if (rejected != nullptr && !idempotent_ && rejected->ran == Ran::kNo &&
        RunCount(key) > 0)
      refused_after_run_ = true;
  }

  const bool idempotent_;
  std::vector<AttemptTable> controls_;
  std::map<int, int> generations_;
  std::map<int, Row> table_;
  std::vector<std::function<void()>> network_;
  std::map<int, int> runs_;
  std::vector<billing::Charge> charges_;
  int next_attempt_ = 1;
  MonoTime now_ = MonoTime() + std::chrono::hours(1);
  bool refused_after_run_ = false;
};

}  // namespace

TEST_CASE("A non-idempotent request runs at most once",
          "[property][idempotency]") {
  const bool holds =
      rc::check("for any choice of controls, crashes and lost messages", [] {
        Simulation simulation(false);
        for (const Step& step : *GenSteps()) {
          simulation.Apply(step);
          for (int key = 0; key < kKeys; ++key)
            RC_ASSERT(simulation.RunCount(key) <= 1);
        }
        simulation.DeliverAll();
        RC_CLASSIFY(simulation.RunCount(0) + simulation.RunCount(1) > 0, "ran");
        RC_ASSERT(simulation.RunCount(0) <= 1);
        RC_ASSERT(!simulation.refused_after_run());
      });
  CHECK(holds);
}

TEST_CASE("A request key is billed once regardless of the number of runs",
          "[property][billing]") {
  const bool holds = rc::check(
      "retries, repeated runs and repeated settlements give one charge", [] {
        Simulation simulation(true);
        for (const Step& step : *GenSteps())
          simulation.Apply(step);
        simulation.DeliverAll();
        const auto unique_charges =
            billing::DeduplicateCharges(simulation.charges());
        std::set<RequestKey> keys;
        for (const billing::Charge& charge : unique_charges)
          RC_ASSERT(keys.insert(charge.request_key).second);
        RC_CLASSIFY(simulation.charges().size() > unique_charges.size(),
                    "joined");
        for (int key = 0; key < kKeys; ++key) {
          const bool billed =
              keys.count(RequestKey("k" + std::to_string(key))) != 0;
          // A key that ran may be unbilled: its settlement message may have
          // been lost, and the router still has it. A key that did not run is
          // never billed.
          RC_ASSERT(!billed || simulation.RunCount(key) > 0);
        }
      });
  CHECK(holds);
}
