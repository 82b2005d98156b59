#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "dandelionmill/prepaid/token_pool.h"
#include "tests/support/fake_table.h"
#include "tests/support/log_capture.h"

using dandelionmill::base::AccountId;
using dandelionmill::base::Tokens;
using dandelionmill::prepaid::ReserveOutcome;
using dandelionmill::prepaid::TokenPool;
using std::chrono::milliseconds;
using tests::FakeTable;

namespace {

const AccountId kAccount("painters");
const AccountId kOther("sculptors");
const dandelionmill::base::AttemptId kRequest("request-1");
constexpr Tokens kPrepaid = 100000;

// A total as another build may write it: this one does not know the type.
constexpr char kUnreadableTotal[] = R"({"drawn":{"since":2,"tokens":60000}})";

struct Fixture {
  boost::asio::io_context loop;
  FakeTable table{loop};

  void Run(int ms = 20) {
    const auto guard = boost::asio::make_work_guard(loop);
    loop.restart();
    loop.run_for(milliseconds(ms));
  }
  std::unique_ptr<TokenPool> Start(const std::string& process) {
    auto pool = std::make_unique<TokenPool>(loop, table, "front-1", process);
    pool->SetAccounts({{kAccount, kPrepaid}, {kOther, kPrepaid}});
    Run();
    return pool;
  }
  void PutTotal(const std::string& value) {
    table.Put("prepaid", "account:painters", "total", value);
  }
  std::string Total() const {
    return table.Value("prepaid", "account:painters", "total");
  }
  ReserveOutcome Reserve(TokenPool& pool,
                         const AccountId& account,
                         Tokens tokens) {
    if (pool.TryReserve(account, tokens))
      return ReserveOutcome::kReserved;
    std::optional<ReserveOutcome> outcome;
    pool.ReserveLater(kRequest, account, tokens, milliseconds(200),
                      [&](ReserveOutcome o) { outcome = o; });
    for (int i = 0; i < 20 && !outcome; ++i) {
      Run();
      if (i % 5 == 4)
        pool.Tick();
    }
    REQUIRE(outcome);
    return *outcome;
  }
};

}  // namespace

// Guards against what a newer build adds to a total and an older one forgets
// when it draws tokens.
TEST_CASE("Fields of a total that this build does not know are written again",
          "[prepaid]") {
  Fixture fixture;
  fixture.PutTotal(
      R"({"drawn":60000,"later":{"a":[1,"x"]},"also_later":null})");
  auto pool = fixture.Start("front-1/a");
  REQUIRE(fixture.Reserve(*pool, kAccount, 1000) == ReserveOutcome::kReserved);
  const auto total = nlohmann::json::parse(fixture.Total());
  CHECK(total.at("drawn") > 60000);
  CHECK(total.value("later", nlohmann::json()) ==
        nlohmann::json::parse(R"({"a":[1,"x"]})"));
  CHECK(total.contains("also_later"));
}

// Guards against tokens that are given out twice since the only row that shows
// that a process drew them is of another build and was taken for none.
TEST_CASE("A holder row that cannot be read is one of an unknown predecessor",
          "[prepaid]") {
  Fixture fixture;
  const tests::LogCapture log;
  fixture.table.Put("prepaid", "instance:front-1", "holder",
                    R"({"process":"front-1/a","shares":[["painters",5]]})");
  SECTION(
      "which nothing needs to be known of while the store has its history") {
    auto pool = fixture.Start("front-1/b");
    CHECK(fixture.Reserve(*pool, kAccount, 1000) == ReserveOutcome::kReserved);
  }
  SECTION("so that an account of a restored store is settled first") {
    fixture.PutTotal(R"({"drawn":10})");
    fixture.table.TakeCopy();
    fixture.table.Restore();
    auto pool = fixture.Start("front-1/b");
    pool->SetFleetSettledEra(1);
    fixture.Run(2600);
    pool->Tick();
    CHECK(fixture.Reserve(*pool, kAccount, 1000) ==
          ReserveOutcome::kUnavailable);
    CHECK(log.Count("event=prepaid_settled account=painters") == 1);
  }
  SECTION("but not one that the fleet has opened since") {
    fixture.PutTotal(R"({"drawn":10,"era":1})");
    fixture.table.TakeCopy();
    fixture.table.Restore();
    auto pool = fixture.Start("front-1/b");
    pool->SetFleetSettledEra(1);
    fixture.Run(2600);
    pool->Tick();
    CHECK(fixture.Reserve(*pool, kAccount, 1000) == ReserveOutcome::kReserved);
    CHECK(log.Count("event=prepaid_settled account=painters") == 0);
  }
  CHECK(log.Count("event=prepaid_row_unreadable instance=front-1") == 1);
}

// Guards against a total that cannot be read and counts as one of which nothing
// was drawn.
TEST_CASE("A total that cannot be read is left as it is until it can be",
          "[prepaid]") {
  Fixture fixture;
  fixture.PutTotal(kUnreadableTotal);
  auto pool = fixture.Start("front-1/a");
  CHECK(fixture.Reserve(*pool, kAccount, 1000) == ReserveOutcome::kUnavailable);
  CHECK(pool->Undrawn(kAccount) == 0);
  CHECK(fixture.Total() == kUnreadableTotal);
  CHECK(fixture.Reserve(*pool, kOther, 1000) == ReserveOutcome::kReserved);
  SECTION("and drawn from once another build has written it anew") {
    fixture.PutTotal(R"({"drawn":60000})");
    fixture.Run(1100);
    pool->Tick();
    fixture.Run();
    CHECK(fixture.Reserve(*pool, kAccount, 1000) == ReserveOutcome::kReserved);
    CHECK(fixture.Reserve(*pool, kAccount, 39001) ==
          ReserveOutcome::kExhausted);
  }
  SECTION("while the tokens of other accounts are returned at shutdown") {
    bool is_returned = false;
    pool->Settle(kOther, 1000, 1000);
    pool->ReturnAll([&] { is_returned = true; });
    fixture.Run(100);
    CHECK(is_returned);
    CHECK(fixture.Total() == kUnreadableTotal);
    const auto other = dandelionmill::prepaid::DecodeAccountRow(
        fixture.table.Value("prepaid", "account:sculptors", "total"));
    REQUIRE(dandelionmill::base::IsOk(other));
    CHECK(dandelionmill::base::ValueOf(other).drawn == 1000);
  }
}

// Guards against reads of the store and log lines at the rate of its answers.
TEST_CASE("A total that cannot be read is read about once a second",
          "[prepaid]") {
  Fixture fixture;
  {
    auto first = fixture.Start("front-1/a");
    REQUIRE(fixture.Reserve(*first, kAccount, 1000) ==
            ReserveOutcome::kReserved);
    first->Tick();
    fixture.Run();
    fixture.table.DropCalls();
  }
  fixture.PutTotal(kUnreadableTotal);
  const tests::LogCapture log;
  const int reads_before = fixture.table.reads();
  auto second = fixture.Start("front-1/b");
  for (int i = 0; i < 10; ++i) {
    second->Tick();
    fixture.Run(50);
  }
  CHECK(fixture.table.reads() - reads_before <= 2);
  CHECK(log.Count("event=prepaid_row_unreadable account=painters") >= 1);
  CHECK(log.Count("event=prepaid_row_unreadable account=painters") <= 3);
}

// Guards against a row of another kind in an account's part of the table that
// is taken for its total, from which nothing was drawn.
TEST_CASE("A row of an unknown kind is not taken for an account's total",
          "[prepaid]") {
  Fixture fixture;
  const tests::LogCapture log;
  fixture.PutTotal(R"({"drawn":99500})");
  fixture.table.Put("prepaid", "account:painters", "totals-by-zone",
                    R"({"drawn":0})");
  auto pool = fixture.Start("front-1/a");
  CHECK(fixture.Reserve(*pool, kAccount, 1000) == ReserveOutcome::kExhausted);
  fixture.Run(500);
  const int conflicts_before = fixture.table.conflicts();
  CHECK(fixture.Reserve(*pool, kAccount, 1000) == ReserveOutcome::kExhausted);
  CHECK(fixture.table.conflicts() == conflicts_before);
  CHECK(pool->Undrawn(kAccount) + pool->ledger().Held(kAccount) <= 500);
  CHECK(log.Count("event=prepaid_row_unknown part=account:painters "
                  "key=totals-by-zone") == 1);
}
