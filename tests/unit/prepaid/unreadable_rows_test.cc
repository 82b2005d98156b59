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
