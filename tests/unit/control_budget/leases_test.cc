#include "dandelionmill/control/internal/budget_leases.h"

#include <catch2/catch.hpp>
#include <optional>

#include "tests/unit/control_budget/fake_platform.h"

using dandelionmill::base::AccountId;
using dandelionmill::base::Code;
using dandelionmill::base::HolderId;
using dandelionmill::base::InstanceId;
using dandelionmill::base::MonoTime;
using dandelionmill::base::RouterId;
using dandelionmill::base::Tokens;
using dandelionmill::base::ValueOf;
using dandelionmill::base::ZoneId;
using dandelionmill::idempotency::Rejected;
using std::chrono::milliseconds;
using std::chrono::seconds;
namespace budget = dandelionmill::budget;
using namespace dandelionmill::control;  // NOLINT(google-build-using-namespace)

namespace {

const budget::BudgetKey kKey{AccountId("pigments"), "default"};
const RouterId kRouter("r/1");

// A holder with its own platform connection and clock.
struct Holder {
  Holder(const std::shared_ptr<FakeTable>& table, const std::string& id)
      : platform(table),
        row(platform.io,
            HolderId(id),
            ZoneId("z"),
            InstanceId(id),
            [this] { leases.OnHolderRow(); }),
        leases(platform.io, row, MakeHooks()) {}

  BudgetLeases::Hooks MakeHooks() {
    BudgetLeases::Hooks hooks;
    hooks.budget_config = [this](const budget::BudgetKey&) {
      return BudgetConfig{granted, policy};
    };
    hooks.live_routers = [this]() -> const std::set<RouterId>& {
      return routers;
    };
    hooks.on_other_lease =
        [this](const budget::BudgetKey&, const HolderId& other,
               const std::set<HolderId>&) { others.insert(other); };
    hooks.on_shortage = [this](const budget::BudgetKey&, const HolderId& other,
                               Tokens) { recalled.insert(other); };
    hooks.on_closed = [this] { closed = true; };
    return hooks;
  }

  // Requests tokens; the outcome is appended to `answers`.
  void Reserve(Tokens tokens, milliseconds max_wait = seconds(30)) {
    leases.Reserve({kKey, kRouter, tokens, now + max_wait,
                    [this](std::optional<Rejected> rejected) {
                      answers.push_back(std::move(rejected));
                    }},
                   now);
  }
  void Tick(milliseconds step = milliseconds(50)) {
    now += step;
    row.OnTick(now);
    leases.OnTick(now);
  }
  // Ticks and runs completions until `count` requests have been answered.
  // Returns false if that takes more than 2000 ticks.
  bool AwaitAnswers(std::size_t count) {
    for (int i = 0; i < 2000 && answers.size() < count; ++i) {
      Tick();
      while (answers.size() < count && RunNextCompletion())
        ;
    }
    return answers.size() >= count;
  }
  // Runs the completion of the next platform call. Returns false if there is
  // none.
  bool RunNextCompletion() { return platform.RunNextCompletion(); }

  Tokens granted = 1000;
  budget::LeasePolicy policy = budget::DemandPolicy{seconds(120), 1};
  std::set<RouterId> routers{kRouter};
  std::set<HolderId> others;
  std::set<HolderId> recalled;
  bool closed = false;
  MonoTime now = MonoTime() + std::chrono::hours(1);
  std::vector<std::optional<Rejected>> answers;
  FakePlatform platform;
  HolderRow row;
  BudgetLeases leases;
};

budget::Row RowIn(FakeTable& table) {
  const auto row = table.Read(budget::RowKey(kKey));
  return ValueOf(budget::ParseRow(ValueOf(row).value));
}

}  // namespace

TEST_CASE("A request gets tokens from a lease drawn on demand",
          "[control][budget]") {
  auto table = std::make_shared<FakeTable>();
  Holder holder(table, "a/1");
  holder.Reserve(100);
  REQUIRE(holder.AwaitAnswers(1));
  CHECK_FALSE(holder.answers[0]);
  CHECK(RowIn(*table).granted == 1000);
  CHECK(holder.leases.counters().draws == 1);

  SECTION("the next request needs no write") {
    const int commits = table->commits();
    holder.Reserve(100);
    REQUIRE(holder.AwaitAnswers(2));
    CHECK_FALSE(holder.answers[1]);
    CHECK(table->commits() == commits);
  }
  SECTION("a request larger than the budget is refused at once") {
    holder.Reserve(1001);
    REQUIRE(holder.AwaitAnswers(2));
    REQUIRE(holder.answers[1]);
    CHECK(holder.answers[1]->error.code == Code::kBudgetExhausted);
  }
  SECTION("a request waits for tokens that a settlement will free") {
    holder.Reserve(950);
    for (int i = 0; i < 10; ++i) {
      holder.Tick();
      holder.RunNextCompletion();
    }
    CHECK(holder.answers.size() == 1);
    holder.leases.Settle(kKey, kRouter, 100, 20);
    REQUIRE(holder.AwaitAnswers(2));
    CHECK_FALSE(holder.answers[1]);
  }
  SECTION("during an outage requests beyond the lease are refused as busy") {
    table->SetDown(true);
    holder.Reserve(100);
    CHECK(holder.answers.size() == 2);
    holder.Reserve(900);
    REQUIRE(holder.AwaitAnswers(3));
    REQUIRE(holder.answers[2]);
    CHECK(holder.answers[2]->error.code == Code::kBudgetBusy);
    CHECK(holder.answers[2]->retry_after > milliseconds(0));
  }
  SECTION("leaving returns the tokens that are not reserved") {
    holder.leases.Settle(kKey, kRouter, 100, 30);
    holder.leases.OnLeave();
    for (int i = 0; i < 100 && !holder.leases.IsDrained(); ++i) {
      holder.Tick();
      holder.RunNextCompletion();
    }
    CHECK(holder.leases.IsDrained());
    CHECK(budget::Free(RowIn(*table)) == 970);
    CHECK(RowIn(*table).settled == 30);
  }
}

TEST_CASE("A write with a lost reply is resolved by reading the row again",
          "[control][budget]") {
  auto table = std::make_shared<FakeTable>();
  Holder holder(table, "a/1");
  table->LoseReplies(2);
  holder.Reserve(100);
  REQUIRE(holder.AwaitAnswers(1));
  CHECK_FALSE(holder.answers[0]);
  CHECK(budget::Outstanding(RowIn(*table)) ==
        holder.leases.Find(kKey)->Outstanding());
}

TEST_CASE("A holder recalls tokens from others only when too few are free",
          "[control][budget]") {
  auto table = std::make_shared<FakeTable>();
  Holder first(table, "a/1");
  Holder second(table, "b/1");
  first.Reserve(100);
  REQUIRE(first.AwaitAnswers(1));
  second.Reserve(100);
  REQUIRE(second.AwaitAnswers(1));
  CHECK_FALSE(second.answers[0]);
  CHECK(second.recalled.empty());
}

TEST_CASE("Two holders of one budget never draw more than its grant",
          "[control][budget]") {
  auto table = std::make_shared<FakeTable>();
  Holder first(table, "a/1");
  Holder second(table, "b/1");
  first.Reserve(600);
  REQUIRE(first.AwaitAnswers(1));
  second.Reserve(600);
  for (int i = 0; i < 40; ++i) {
    second.Tick();
    second.RunNextCompletion();
  }
  CHECK(second.answers.empty());
  CHECK(second.recalled.count(HolderId("a/1")) == 1);
  first.leases.Settle(kKey, kRouter, 600, 100);
  first.leases.Recall(kKey, first.now);
  while (first.RunNextCompletion())
    ;
  CHECK(first.leases.Find(kKey)->Outstanding() < 200);
  REQUIRE(second.AwaitAnswers(1));
  CHECK_FALSE(second.answers[0]);
  CHECK(budget::Free(RowIn(*table)) >= 0);
}

TEST_CASE("The next owner merges a lost holder's lease into the row",
          "[control][budget]") {
  auto table = std::make_shared<FakeTable>();
  Holder lost(table, "a/1");
  lost.Reserve(300);
  REQUIRE(lost.AwaitAnswers(1));
  Holder next(table, "b/1");
  next.Reserve(100);
  REQUIRE(next.AwaitAnswers(1));
  CHECK(next.others.count(HolderId("a/1")) == 1);

  budget::HolderReports reports;
  reports[HolderId("a/1")][kRouter] = {
      0, {{dandelionmill::base::AttemptId("x"), 300}}};
  std::optional<budget::RecoveryResult> recovered;
  next.leases.Recover(
      kKey, HolderId("a/1"), reports,
      [&](const budget::RecoveryResult& result) { recovered = result; });
  for (int i = 0; i < 40 && !recovered; ++i) {
    next.Tick();
    next.RunNextCompletion();
  }
  REQUIRE(recovered);
  CHECK(recovered->written_off == 0);
  CHECK(RowIn(*table).leases.count(HolderId("a/1")) == 0);
  CHECK(next.leases.Find(kKey)->reserved() == 400);

  SECTION("the lost holder detects that it was closed when it resumes") {
    lost.Reserve(2000);
    for (int i = 0; i < 40 && !lost.leases.Find(kKey)->IsClosed(); ++i) {
      lost.Tick();
      lost.RunNextCompletion();
    }
    CHECK(lost.leases.Find(kKey)->IsClosed());
  }
}
