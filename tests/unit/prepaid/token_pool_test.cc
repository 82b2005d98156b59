#include "dandelionmill/prepaid/token_pool.h"

#include <algorithm>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <catch2/catch.hpp>
#include <functional>
#include <map>
#include <memory>
#include <vector>

#include "tests/support/fake_table.h"

using dandelionmill::base::AccountId;
using dandelionmill::base::Tokens;
using dandelionmill::prepaid::ReserveOutcome;
using dandelionmill::prepaid::TokenPool;
using dandelionmill::storage::CallOutcome;
using std::chrono::milliseconds;
using tests::FakeTable;

namespace {

const AccountId kAccount("painters");
const dandelionmill::base::AttemptId kRequest("request-1");

// Runs the events of the loop for `time`.
void RunFor(boost::asio::io_context& loop, milliseconds time) {
  loop.restart();
  loop.run_for(time);
}

// The same, and lets the time pass if there are no more events.
void Pass(boost::asio::io_context& loop, milliseconds time) {
  const auto guard = boost::asio::make_work_guard(loop);
  RunFor(loop, time);
}

struct Fixture {
  boost::asio::io_context loop;
  FakeTable table{loop};

  std::unique_ptr<TokenPool> Start(const std::string& process,
                                   Tokens prepaid = 100000) {
    auto pool = std::make_unique<TokenPool>(loop, table, "front-1", process);
    pool->SetAccounts({{kAccount, prepaid}});
    RunFor(loop, milliseconds(20));
    return pool;
  }

  Tokens StoredTotal() {
    const std::string text =
        table.Value("prepaid", "account:painters", "total");
    const auto row = dandelionmill::prepaid::DecodeAccountRow(text);
    return dandelionmill::base::IsOk(row)
               ? dandelionmill::base::ValueOf(row).drawn
               : 0;
  }

  ReserveOutcome Reserve(TokenPool& pool, Tokens tokens) {
    if (pool.TryReserve(kAccount, tokens))
      return ReserveOutcome::kReserved;
    std::optional<ReserveOutcome> outcome;
    pool.ReserveLater(kRequest, kAccount, tokens, milliseconds(200),
                      [&](ReserveOutcome o) { outcome = o; });
    RunFor(loop, milliseconds(260));
    REQUIRE(outcome);
    return *outcome;
  }
};

}  // namespace

TEST_CASE("A reservation waits until its tokens are drawn", "[prepaid]") {
  Fixture fixture;
  auto pool = fixture.Start("p1");
  CHECK(fixture.Reserve(*pool, 90000) == ReserveOutcome::kReserved);
  CHECK(fixture.StoredTotal() >= 90000);
  CHECK(fixture.StoredTotal() <= 100000);
}

TEST_CASE("A reservation from an exhausted account is refused", "[prepaid]") {
  Fixture fixture;
  auto pool = fixture.Start("p1");
  REQUIRE(fixture.Reserve(*pool, 95000) == ReserveOutcome::kReserved);
  CHECK(fixture.Reserve(*pool, 6000) == ReserveOutcome::kExhausted);
  SECTION("until it is topped up") {
    pool->SetAccounts({{kAccount, 200000}});
    RunFor(fixture.loop, milliseconds(20));
    CHECK(fixture.Reserve(*pool, 6000) == ReserveOutcome::kReserved);
  }
}

TEST_CASE("A commit in doubt is settled by the stored row", "[prepaid]") {
  Fixture fixture;
  auto pool = fixture.Start("p1");
  const bool was_performed = GENERATE(true, false);
  fixture.table.LoseNextCommit(was_performed);
  bool refused = false;
  pool->ReserveLater(kRequest, kAccount, 60000, milliseconds(1000),
                     [&](ReserveOutcome outcome) {
                       refused = outcome == ReserveOutcome::kUnavailable;
                     });
  RunFor(fixture.loop, milliseconds(20));
  CHECK(pool->is_in_doubt());
  for (int i = 0; i < 4; ++i) {
    pool->Tick();
    RunFor(fixture.loop, milliseconds(20));
  }
  CHECK_FALSE(pool->is_in_doubt());
  // Whether or not the commit was performed, the held tokens match the store.
  CHECK(refused);
  CHECK(fixture.StoredTotal() <= 100000);
  CHECK(pool->ledger().Held(kAccount) == fixture.StoredTotal());
}

TEST_CASE("A successor recovers the uncommitted tokens of its predecessor",
          "[prepaid]") {
  Fixture fixture;
  {
    auto first = fixture.Start("p1");
    REQUIRE(fixture.Reserve(*first, 20000) == ReserveOutcome::kReserved);
    first->Tick();
    RunFor(fixture.loop, milliseconds(20));
    fixture.table.DropCalls();
  }
  const Tokens drawn = fixture.StoredTotal();
  auto second = fixture.Start("p2");
  second->Tick();
  RunFor(fixture.loop, milliseconds(20));
  // 20 000 tokens were committed and cannot be recovered, nor can those that
  // the row allowed in addition.
  CHECK(second->ledger().Held(kAccount) > 0);
  CHECK(second->ledger().Held(kAccount) + 20000 <= drawn);
  CHECK(fixture.Reserve(*second, 80001) == ReserveOutcome::kExhausted);
}

TEST_CASE("A process returns its unused tokens at shutdown", "[prepaid]") {
  Fixture fixture;
  auto pool = fixture.Start("p1");
  REQUIRE(fixture.Reserve(*pool, 20000) == ReserveOutcome::kReserved);
  pool->Settle(kAccount, 20000, 15000);
  bool done = false;
  SECTION("to the store") {
    pool->ReturnAll([&done] { done = true; });
    RunFor(fixture.loop, milliseconds(20));
    CHECK(done);
    CHECK(fixture.StoredTotal() == 15000);
  }
  SECTION("to the store although another instance changed the account") {
    fixture.table.Put(
        "prepaid", "account:painters", "total",
        R"({"drawn":)" + std::to_string(fixture.StoredTotal() + 7) + "}");
    pool->ReturnAll([&done] { done = true; });
    RunFor(fixture.loop, milliseconds(20));
    CHECK(done);
    CHECK(fixture.StoredTotal() == 15007);
  }
  SECTION("to another instance while the store is unreachable") {
    Tokens given = 0;
    pool->SetPeers(
        {nullptr, nullptr, [&](const AccountId&, Tokens n) { given += n; }});
    fixture.table.FailAll(CallOutcome::kNotPerformed);
    pool->Tick();
    RunFor(fixture.loop, milliseconds(1200));
    pool->ReturnAll([&done] { done = true; });
    RunFor(fixture.loop, milliseconds(20));
    CHECK(done);
    CHECK(given > 0);
    CHECK(given + 15000 <= fixture.StoredTotal());
  }
}

TEST_CASE("An instance borrows tokens of accounts that it does not own",
          "[prepaid]") {
  Fixture fixture;
  auto pool = fixture.Start("p1");
  bool requested = false;
  pool->SetPeers({[](const AccountId&) { return false; },
                  [&](const AccountId&, Tokens tokens,
                      std::function<void(TokenPool::Loan)> done) {
                    requested = true;
                    boost::asio::post(fixture.loop, [done, tokens] {
                      done({tokens, false});
                    });
                  },
                  nullptr});
  // Returns the tokens that it drew while it was the owner.
  pool->Tick();
  RunFor(fixture.loop, milliseconds(20));
  CHECK(fixture.Reserve(*pool, 50000) == ReserveOutcome::kReserved);
  CHECK(requested);
}

TEST_CASE("A loan gives all requested tokens or none", "[prepaid]") {
  Fixture fixture;
  auto pool = fixture.Start("p1");
  std::optional<Tokens> given;
  const auto take = [&given](TokenPool::Loan loan) { given = loan.given; };
  SECTION("drawn from the store if drawing is allowed") {
    pool->Lend(kAccount, 90000, true, take);
    RunFor(fixture.loop, milliseconds(50));
    CHECK(given == Tokens{90000});
    CHECK(fixture.StoredTotal() >= 90000);
  }
  SECTION("none if drawing is not allowed and too few are held") {
    pool->Lend(kAccount, 90000, false, take);
    CHECK(given == Tokens{0});
  }
}

TEST_CASE("An account exhausted before a store outage is refused during it",
          "[prepaid][hot_tenant][platform_down]") {
  Fixture fixture;
  auto pool = fixture.Start("p1");
  REQUIRE(fixture.Reserve(*pool, 95000) == ReserveOutcome::kReserved);
  REQUIRE(fixture.Reserve(*pool, 6000) == ReserveOutcome::kExhausted);
  fixture.table.FailAll(CallOutcome::kNotPerformed);
  pool->Tick();
  RunFor(fixture.loop, milliseconds(20));
  CHECK(fixture.Reserve(*pool, 6000) == ReserveOutcome::kExhausted);
}

TEST_CASE("A borrower uses the owner's exhaustion report during a store outage",
          "[prepaid][hot_tenant][platform_down]") {
  Fixture fixture;
  auto pool =
      std::make_unique<TokenPool>(fixture.loop, fixture.table, "front-2", "p9");
  const bool is_exhausted = GENERATE(true, false);
  pool->SetPeers({[](const AccountId&) { return false; },
                  [&](const AccountId&, Tokens,
                      std::function<void(TokenPool::Loan)> done) {
                    boost::asio::post(fixture.loop, [done, is_exhausted] {
                      done({0, is_exhausted});
                    });
                  },
                  nullptr});
  fixture.table.FailAll(CallOutcome::kNotPerformed);
  pool->SetAccounts({{kAccount, 100000}});
  RunFor(fixture.loop, milliseconds(20));
  CHECK(fixture.Reserve(*pool, 5000) == (is_exhausted
                                             ? ReserveOutcome::kExhausted
                                             : ReserveOutcome::kUnavailable));
}

// Instances that draw for themselves while the owner meets conflicts keep its
// transactions from being stored, so that all requests are refused.
TEST_CASE("An instance draws nothing while the lender reports that it draws",
          "[prepaid][herd_kill]") {
  Fixture fixture;
  TokenPool pool(fixture.loop, fixture.table, "front-2", "process-1");
  const bool is_drawing = GENERATE(true, false);
  pool.SetPeers({[](const AccountId&) { return false; },
                 [&](const AccountId&, Tokens,
                     std::function<void(TokenPool::Loan)> done) {
                   boost::asio::post(fixture.loop, [done, is_drawing] {
                     done({0, false, is_drawing});
                   });
                 },
                 nullptr});
  pool.SetAccounts({{kAccount, 100000}});
  RunFor(fixture.loop, milliseconds(20));
  CHECK(
      fixture.Reserve(pool, 5000) ==
      (is_drawing ? ReserveOutcome::kUnavailable : ReserveOutcome::kReserved));
  CHECK(fixture.StoredTotal() == (is_drawing ? 0 : 5000));
}

// A reservation whose loan served an earlier one must not draw from the store:
// the loan of the next one then serves it, and so on, so that each instance
// draws without end.
TEST_CASE("A reservation whose loan served an earlier one borrows again",
          "[prepaid][herd_kill]") {
  Fixture fixture;
  TokenPool pool(fixture.loop, fixture.table, "front-2", "process-1");
  int loans = 0;
  pool.SetPeers({[](const AccountId&) { return false; },
                 [&](const AccountId&, Tokens tokens,
                     std::function<void(TokenPool::Loan)> done) {
                   const bool is_first = ++loans == 1;
                   boost::asio::post(fixture.loop, [done, tokens, is_first] {
                     done({is_first ? 0 : tokens, false, is_first});
                   });
                 },
                 nullptr});
  pool.SetAccounts({{kAccount, 100000}});
  RunFor(fixture.loop, milliseconds(20));
  std::vector<ReserveOutcome> outcomes;
  for (int i = 0; i < 2; ++i) {
    pool.ReserveLater(kRequest, kAccount, 5000, milliseconds(1000),
                      [&](ReserveOutcome o) { outcomes.push_back(o); });
    RunFor(fixture.loop, milliseconds(50));
  }
  pool.Tick();
  RunFor(fixture.loop, milliseconds(50));
  CHECK(outcomes == std::vector<ReserveOutcome>(2, ReserveOutcome::kReserved));
  CHECK(loans == 3);
  CHECK(fixture.StoredTotal() == 0);
}

// Without this report, borrowers compete with a lender that meets conflicts;
// with it during a store outage, nobody draws although the lender cannot.
TEST_CASE("A lender reports that it draws only if the store answers it",
          "[prepaid][herd_kill][platform_down]") {
  Fixture fixture;
  auto pool = fixture.Start("p1");
  const bool store_answers = GENERATE(true, false);
  if (store_answers)
    fixture.table.SetLatency(milliseconds(10));
  else
    fixture.table.FailAll(CallOutcome::kNotPerformed);
  std::optional<TokenPool::Loan> answer;
  pool->Lend(kAccount, 60000, true,
             [&answer](TokenPool::Loan loan) { answer = loan; });
  // Another instance changes the account every 5 ms.
  for (int ms = 0; ms < 3000 && !answer; ms += 5) {
    if (store_answers)
      fixture.table.Put("prepaid", "account:painters", "total",
                        R"({"drawn":30000})");
    if (ms % 250 == 0)
      pool->Tick();
    RunFor(fixture.loop, milliseconds(5));
  }
  REQUIRE(answer);
  CHECK(answer->given == 0);
  CHECK(answer->is_drawing == store_answers);
}

TEST_CASE("Tokens being returned to the store do not count as exhausted",
          "[prepaid]") {
  Fixture fixture;
  {
    auto first = fixture.Start("process-1");
    REQUIRE(fixture.Reserve(*first, 20000) == ReserveOutcome::kReserved);
    first->Settle(kAccount, 20000, 100);
    first->Tick();
    RunFor(fixture.loop, milliseconds(20));
  }
  fixture.table.SetLatency(milliseconds(80));
  // Recovers its predecessor's tokens and returns most of them.
  auto second = std::make_unique<TokenPool>(fixture.loop, fixture.table,
                                            "front-1", "process-2");
  second->SetAccounts({{kAccount, 100000}});
  std::vector<ReserveOutcome> outcomes;
  for (int i = 0; i < 20; ++i) {
    second->ReserveLater(kRequest, kAccount, 1000, milliseconds(2000),
                         [&](ReserveOutcome o) { outcomes.push_back(o); });
    RunFor(fixture.loop, milliseconds(20));
  }
  RunFor(fixture.loop, milliseconds(2000));
  REQUIRE(outcomes.size() == 20);
  CHECK(std::count(outcomes.begin(), outcomes.end(),
                   ReserveOutcome::kReserved) == 20);
}

// After a power failure all instances first draw tokens for themselves, since
// the owners hold none yet. Their conflicting transactions must not keep the
// owners from drawing.
TEST_CASE("Owners get ahead of many instances that draw for themselves",
          "[prepaid][herd_kill]") {
  constexpr int kInstances = 80;
  constexpr int kAccounts = 12;
  boost::asio::io_context loop;
  const auto work = boost::asio::make_work_guard(loop);
  FakeTable table(loop);
  table.SetLatency(milliseconds(8), milliseconds(8));
  std::map<AccountId, Tokens> prepaid;
  for (int i = 0; i < kAccounts; ++i)
    prepaid[AccountId("account-" + std::to_string(i))] = 10000000;
  bool owners_can_lend = false;
  std::vector<std::unique_ptr<TokenPool>> pools;
  for (int i = 0; i < kInstances; ++i) {
    pools.push_back(
        std::make_unique<TokenPool>(loop, table, "front-" + std::to_string(i),
                                    "front-" + std::to_string(i) + "/process"));
    TokenPool::Peers peers;
    // Instance 0 owns the accounts whose names sort before "account-3", and
    // instance 1 owns the others.
    const auto owner_of = [](const AccountId& account) {
      return account.value() < "account-3" ? 0 : 1;
    };
    peers.is_owner = [=](const AccountId& account) {
      return owner_of(account) == i;
    };
    peers.borrow = [&, owner_of](const AccountId& account, Tokens tokens,
                                 std::function<void(TokenPool::Loan)> handler) {
      if (owners_can_lend)
        pools[owner_of(account)]->Lend(account, tokens, true,
                                       std::move(handler));
      else
        boost::asio::post(loop,
                          [handler = std::move(handler)] { handler({}); });
    };
    pools.back()->SetPeers(std::move(peers));
  }
  for (int i = 2; i < kInstances; ++i)
    pools[i]->SetAccounts(prepaid);
  int refused_late = 0;
  int reserved_late = 0;
  for (int step = 0; step < 40; ++step) {
    owners_can_lend = step >= 6;
    if (owners_can_lend) {
      pools[0]->SetAccounts(prepaid);
      pools[1]->SetAccounts(prepaid);
    }
    const bool is_late = step >= 16;
    for (int i = 2 * kAccounts; i < kAccounts * kInstances; ++i) {
      const AccountId account("account-" +
                              std::to_string((i + step) % kAccounts));
      TokenPool& pool = *pools[i / kAccounts];
      if (pool.TryReserve(account, 1000)) {
        reserved_late += is_late ? 1 : 0;
      } else {
        pool.ReserveLater(kRequest, account, 1000, milliseconds(1300),
                          [&, is_late](ReserveOutcome outcome) {
                            int& count = outcome == ReserveOutcome::kReserved
                                             ? reserved_late
                                             : refused_late;
                            count += is_late ? 1 : 0;
                          });
      }
      pool.Tick();
    }
    pools[0]->Tick();
    pools[1]->Tick();
    RunFor(loop, milliseconds(250));
  }
  for (int step = 0; step < 6; ++step) {
    for (auto& pool : pools)
      pool->Tick();
    RunFor(loop, milliseconds(250));
  }
  CHECK(refused_late == 0);
  CHECK(reserved_late == 24 * kAccounts * (kInstances - 2));
}

TEST_CASE("Owners retry after conflicts while other instances pause",
          "[prepaid][herd_kill]") {
  boost::asio::io_context loop;
  const auto work = boost::asio::make_work_guard(loop);
  FakeTable table(loop);
  const bool is_owner = GENERATE(true, false);
  TokenPool pool(loop, table, "front-1", "process-1");
  TokenPool::Peers peers;
  peers.is_owner = [=](const AccountId&) { return is_owner; };
  peers.borrow = [&](const AccountId&, Tokens,
                     std::function<void(TokenPool::Loan)> handler) {
    boost::asio::post(loop, [handler = std::move(handler)] { handler({}); });
  };
  pool.SetPeers(std::move(peers));
  pool.SetAccounts({{kAccount, 100000}});
  RunFor(loop, milliseconds(20));
  table.SetLatency(milliseconds(10));
  std::optional<ReserveOutcome> outcome;
  pool.ReserveLater(kRequest, kAccount, 40000, milliseconds(9000),
                    [&](ReserveOutcome o) { outcome = o; });
  const int before = table.conflicts();
  // Another instance changes the account every 5 ms.
  for (int ms = 0; ms < 3000; ms += 5) {
    table.Put("prepaid", "account:painters", "total", R"({"drawn":100})");
    if (ms % 250 == 0)
      pool.Tick();
    RunFor(loop, milliseconds(5));
  }
  const int conflicts = table.conflicts() - before;
  // There are twelve ticks. An owner tries several times in each.
  if (is_owner)
    CHECK(conflicts > 24);
  else
    CHECK(conflicts <= 24);
  for (int i = 0; i < 20 && !outcome; ++i) {
    pool.Tick();
    RunFor(loop, milliseconds(250));
  }
  CHECK(outcome == ReserveOutcome::kReserved);
}

TEST_CASE("A process without tokens seldom writes its row", "[prepaid]") {
  Fixture fixture;
  TokenPool pool(fixture.loop, fixture.table, "front-2", "p1");
  pool.SetPeers(
      {[](const AccountId&) { return false; },
       [](const AccountId&, Tokens, std::function<void(TokenPool::Loan)>) {},
       nullptr});
  pool.SetAccounts({{kAccount, 100000}});
  RunFor(fixture.loop, milliseconds(20));
  const auto first = fixture.table.version();
  REQUIRE(first > 0);
  const auto tick_for = [&](milliseconds time) {
    for (milliseconds at{0}; at < time; at += milliseconds(50)) {
      pool.Tick();
      Pass(fixture.loop, milliseconds(50));
    }
  };
  tick_for(milliseconds(500));
  CHECK(fixture.table.version() == first);
  SECTION("but often enough to see whether the store answers") {
    tick_for(TokenPool::kIdleRowInterval);
    CHECK(fixture.table.version() == first + 1);
  }
  SECTION("and at once when the store may have been restored") {
    pool.CheckStore();
    RunFor(fixture.loop, milliseconds(20));
    CHECK(fixture.table.version() == first + 1);
  }
}

TEST_CASE("A process with tokens renews its row with each tick", "[prepaid]") {
  Fixture fixture;
  auto pool = fixture.Start("p1");
  REQUIRE(fixture.Reserve(*pool, 20000) == ReserveOutcome::kReserved);
  REQUIRE(pool->ledger().Held(kAccount) > 0);
  for (int i = 0; i < 3; ++i) {
    const auto before = fixture.table.version();
    pool->Tick();
    RunFor(fixture.loop, milliseconds(20));
    CHECK(fixture.table.version() == before + 1);
  }
}

TEST_CASE("Tokens used after the last row are not recovered", "[prepaid]") {
  Fixture fixture;
  auto pool = fixture.Start("p1", 20000);
  REQUIRE(fixture.Reserve(*pool, 15000) == ReserveOutcome::kReserved);
  pool->Tick();
  RunFor(fixture.loop, milliseconds(20));
  // The row expires, so that more may be used than it says.
  fixture.table.FailAll(CallOutcome::kNotPerformed);
  pool->Tick();
  Pass(fixture.loop, milliseconds(1500));
  Tokens used = 15000;
  while (pool->TryReserve(kAccount, 10))
    used += 10;
  REQUIRE(used > 15000);
  fixture.table.FailAll(std::nullopt);
  for (int i = 0; i < 3; ++i) {
    pool->Tick();
    RunFor(fixture.loop, milliseconds(20));
  }
  fixture.table.DropCalls();
  auto second = fixture.Start("p2", 20000);
  second->Tick();
  RunFor(fixture.loop, milliseconds(20));
  CHECK(second->ledger().Held(kAccount) + used <= 20000);
}

TEST_CASE("Borrowed tokens that no request uses are given back",
          "[prepaid][large_fleet]") {
  Fixture fixture;
  TokenPool pool(fixture.loop, fixture.table, "front-2", "p1");
  bool is_owner = false;
  Tokens given_back = 0;
  pool.SetPeers({[&](const AccountId&) { return is_owner; },
                 [&](const AccountId&, Tokens tokens,
                     std::function<void(TokenPool::Loan)> done) {
                   boost::asio::post(fixture.loop, [done, tokens] {
                     done({tokens, false});
                   });
                 },
                 [&](const AccountId& account, Tokens tokens) {
                   CHECK(account == kAccount);
                   given_back += tokens;
                 }});
  pool.SetAccounts({{kAccount, 100000}});
  REQUIRE(fixture.Reserve(pool, 12000) == ReserveOutcome::kReserved);
  const auto tick_after = [&](milliseconds time) {
    Pass(fixture.loop, time);
    pool.Tick();
    RunFor(fixture.loop, milliseconds(20));
  };
  SECTION("but for those that are reserved") {
    tick_after(milliseconds(1200));
    CHECK(given_back == 0);
  }
  SECTION("once") {
    pool.Settle(kAccount, 12000, 4000);
    tick_after(milliseconds(1200));
    tick_after(milliseconds(20));
    CHECK(given_back == 8000);
    CHECK(pool.ledger().Held(kAccount) == 0);
  }
  SECTION("unless the next request comes soon") {
    pool.Settle(kAccount, 12000, 0);
    tick_after(milliseconds(20));
    CHECK(given_back == 0);
    CHECK(pool.TryReserve(kAccount, 12000));
  }
  SECTION("and kept by an instance that has become the owner") {
    pool.Settle(kAccount, 12000, 0);
    is_owner = true;
    tick_after(milliseconds(1200));
    CHECK(given_back == 0);
  }
}
