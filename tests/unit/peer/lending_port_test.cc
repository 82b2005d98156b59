#include "dandelionmill/peer/lending_port.h"

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <optional>

#include "dandelionmill/peer/borrower.h"

using dandelionmill::base::AccountId;
using dandelionmill::base::InstanceId;
using dandelionmill::base::Tokens;
using dandelionmill::net::Address;
using dandelionmill::peer::Borrower;
using dandelionmill::peer::LendingPort;
using std::chrono::milliseconds;

namespace {

const AccountId kAccount("painters");
const Address kFirst{"127.0.0.1", 27340};
const Address kSecond{"127.0.0.1", 27341};
const Address kUnreachable{"127.0.0.1", 27349};

struct Fixture {
  boost::asio::io_context loop;
  Tokens unclaimed = 0;
  int requests = 0;
  LendingPort::LoanHandler pending_handler;
  bool answers_at_once = true;
  LendingPort first{
      loop,
      [](const LendingPort::LoanRequest&,
         const LendingPort::LoanHandler& done) {
        done({0, false, true});
      },
      [this](const AccountId&, Tokens tokens) { unclaimed += tokens; }};
  LendingPort second{loop,
                     [this](const LendingPort::LoanRequest& request,
                            const LendingPort::LoanHandler& done) {
                       ++requests;
                       if (answers_at_once)
                         done({request.tokens, false, true});
                       else
                         pending_handler = done;
                     },
                     [](const AccountId&, Tokens) {}};

  Fixture() {
    REQUIRE(dandelionmill::base::IsOk(first.Listen(kFirst)));
    REQUIRE(dandelionmill::base::IsOk(second.Listen(kSecond)));
  }
  void Run(int ms) {
    loop.restart();
    loop.run_for(milliseconds(ms));
  }
};

}  // namespace

TEST_CASE("A loan request receives the lender's answer", "[peer]") {
  Fixture fixture;
  std::optional<LendingPort::Answer> answer;
  fixture.first.RequestLoan(kSecond, {kAccount, 500, true},
                            [&](LendingPort::Answer a) { answer = a; });
  fixture.Run(30);
  REQUIRE(answer);
  CHECK(answer->is_received);
  CHECK(answer->given == 500);
}

TEST_CASE("A resent loan request is executed once", "[peer]") {
  Fixture fixture;
  fixture.answers_at_once = false;
  Tokens given = 0;
  fixture.first.RequestLoan(kSecond, {kAccount, 500, true},
                            [&](LendingPort::Answer a) { given += a.given; });
  fixture.Run(400);
  CHECK(fixture.requests == 1);
  REQUIRE(fixture.pending_handler);
  fixture.pending_handler({500, false, true});
  fixture.Run(30);
  CHECK(given == 500);
}

TEST_CASE("Tokens of a late answer are credited", "[peer]") {
  Fixture fixture;
  fixture.answers_at_once = false;
  std::optional<LendingPort::Answer> answer;
  fixture.first.RequestLoan(kSecond, {kAccount, 500, true},
                            [&](LendingPort::Answer a) { answer = a; });
  fixture.Run(1500);
  REQUIRE(answer);
  CHECK_FALSE(answer->is_received);
  fixture.pending_handler({500, false, true});
  fixture.Run(30);
  CHECK(fixture.unclaimed == 500);
}

TEST_CASE("An unreachable owner is skipped", "[peer]") {
  Fixture fixture;
  Borrower borrower(fixture.loop, fixture.first, InstanceId("self"));
  borrower.SetInstances(
      {{InstanceId("gone"), kUnreachable}, {InstanceId("lender"), kSecond}});
  Tokens given = 0;
  for (int i = 0; i < 20; ++i) {
    borrower.Borrow(AccountId("account-" + std::to_string(i)), 10,
                    [&given](LendingPort::Answer a) { given += a.given; });
  }
  fixture.Run(600);
  CHECK(given == 200);
}

TEST_CASE("All instances agree on the owner of an account", "[peer]") {
  Fixture fixture;
  const std::vector<std::string> names = {"front-1", "front-2", "front-3"};
  for (int i = 0; i < 50; ++i) {
    int owners = 0;
    for (const std::string& self : names) {
      Borrower borrower(fixture.loop, fixture.first, InstanceId(self));
      std::vector<dandelionmill::peer::Instance> others;
      for (const std::string& other : names) {
        if (other != self)
          others.push_back({InstanceId(other), kUnreachable});
      }
      borrower.SetInstances(others);
      owners +=
          borrower.IsOwner(AccountId("account-" + std::to_string(i))) ? 1 : 0;
    }
    CHECK(owners == 1);
  }
}

// A borrower that does not learn that the owner is drawing competes with it for
// the account's row.
TEST_CASE("A borrower learns that one of the lenders is drawing", "[peer]") {
  Fixture fixture;
  fixture.answers_at_once = false;
  Borrower borrower(fixture.loop, fixture.first, InstanceId("front-0"));
  borrower.SetInstances(
      {{InstanceId("front-1"), kFirst}, {InstanceId("front-2"), kSecond}});
  const bool is_drawing = GENERATE(true, false);
  std::optional<LendingPort::Answer> answer;
  borrower.Borrow(kAccount, 500, [&](LendingPort::Answer a) { answer = a; });
  fixture.Run(30);
  REQUIRE(fixture.pending_handler);
  fixture.pending_handler({0, false, true, is_drawing});
  fixture.Run(30);
  REQUIRE(answer);
  CHECK(answer->given == 0);
  CHECK(answer->is_drawing == is_drawing);
}

TEST_CASE("An instance owns no account before it knows the fleet",
          "[peer][power_off_all]") {
  Fixture fixture;
  Borrower borrower(fixture.loop, fixture.first, InstanceId("self"));
  CHECK_FALSE(borrower.IsOwner(AccountId("painters")));
  borrower.SetInstances({});
  CHECK(borrower.IsOwner(AccountId("painters")));
}
