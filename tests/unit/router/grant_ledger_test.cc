#include "dandelionmill/router/grant_ledger.h"

#include <catch2/catch.hpp>

using dandelionmill::base::AccountId;
using dandelionmill::base::AttemptId;
using dandelionmill::base::BackendId;
using dandelionmill::base::HolderId;
using dandelionmill::router::CloseStatement;
using dandelionmill::router::GrantLedger;
using dandelionmill::router::HeldGrant;

namespace {

const dandelionmill::router::BudgetName kDefault{AccountId("pigments"),
                                                 "default"};

HeldGrant Grant(const std::string& attempt, const std::string& holder) {
  HeldGrant grant;
  grant.attempt = AttemptId(attempt);
  grant.holder = HolderId(holder);
  grant.account = AccountId("pigments");
  grant.budget = "default";
  grant.tokens = 100;
  return grant;
}

}  // namespace

TEST_CASE("GrantLedger fences closed holders", "[router]") {
  GrantLedger ledger;
  std::vector<AttemptId> dropped;
  REQUIRE(ledger.Accept(Grant("a1", "h/1")));
  REQUIRE(ledger.Accept(Grant("a2", "h/1")));
  REQUIRE(ledger.Accept(Grant("b1", "h/2")));
  REQUIRE(ledger.Dispatch(AttemptId("a1"), BackendId("gw-a-1")));

  SECTION("a grant that arrives after its holder was closed is not accepted") {
    ledger.Close(HolderId("h/1"), dropped);
    CHECK_FALSE(ledger.Accept(Grant("a3", "h/1")));
    CHECK(ledger.Find(AttemptId("a3")) == nullptr);
    CHECK(ledger.Accept(Grant("b2", "h/2")));
  }

  SECTION("an attempt that was not sent yet is dropped and cannot be sent") {
    const CloseStatement statement = ledger.Close(HolderId("h/1"), dropped);
    REQUIRE(statement.running.size() == 1);
    CHECK(statement.running[0].attempt == AttemptId("a1"));
    CHECK(dropped == std::vector<AttemptId>{AttemptId("a2")});
    CHECK_FALSE(ledger.Dispatch(AttemptId("a2"), BackendId("gw-a-1")));
    CHECK(ledger.Dispatch(AttemptId("b1"), BackendId("gw-a-1")));
  }

  SECTION("the statement contains the settled tokens of each budget") {
    ledger.Settle(AttemptId("a1"), 30);
    HeldGrant night = Grant("a4", "h/1");
    night.budget = "night";
    ledger.Accept(night);
    ledger.Settle(AttemptId("a4"), 5);
    ledger.Settle(AttemptId("b1"), 7);
    const CloseStatement statement = ledger.Close(HolderId("h/1"), dropped);
    CHECK(statement.settled.at(kDefault) == 30);
    CHECK(statement.settled.at({AccountId("pigments"), "night"}) == 5);
    CHECK(statement.running.empty());
  }

  SECTION(
      "an attempt that ends after the closing appears in a later statement") {
    ledger.Close(HolderId("h/1"), dropped);
    ledger.Settle(AttemptId("a1"), 40);
    const CloseStatement again = ledger.Close(HolderId("h/1"), dropped);
    CHECK(again.settled.at(kDefault) == 40);
    CHECK(again.running.empty());
  }

  SECTION("an attempt that is settled twice is counted once") {
    ledger.Settle(AttemptId("a1"), 40);
    ledger.Settle(AttemptId("a1"), 40);
    CHECK(ledger.Close(HolderId("h/1"), dropped).settled.at(kDefault) == 40);
  }

  SECTION("Shrink reduces the stated tokens and never increases them") {
    ledger.Shrink(AttemptId("a1"), 60);
    ledger.Shrink(AttemptId("a1"), 80);
    CHECK(ledger.Close(HolderId("h/1"), dropped).running[0].tokens == 60);
  }

  SECTION("an attempt taken over by another router is not in the statement") {
    ledger.HandOver(AttemptId("a1"));
    CHECK(ledger.Close(HolderId("h/1"), dropped).running.empty());
  }
}
