#include "dandelionmill/router/settlement_outbox.h"

#include <catch2/catch.hpp>

using dandelionmill::base::AttemptId;
using dandelionmill::base::MonoTime;
using dandelionmill::router::SettlementOutbox;
using dandelionmill::wire::Settle;
using std::chrono::milliseconds;

TEST_CASE("A settlement is resent until it is acknowledged", "[router]") {
  SettlementOutbox outbox;
  const MonoTime start{std::chrono::hours(1)};
  Settle settle;
  settle.set_attempt("a1");
  outbox.Add(settle, start);

  SECTION("it is due immediately, then at doubling intervals") {
    CHECK(outbox.TakeDue(start).size() == 1);
    CHECK(outbox.TakeDue(start + milliseconds(499)).empty());
    CHECK(outbox.TakeDue(start + milliseconds(500)).size() == 1);
    CHECK(outbox.TakeDue(start + milliseconds(1499)).empty());
    CHECK(outbox.TakeDue(start + milliseconds(1500)).size() == 1);
  }

  SECTION(
      "an acknowledged settlement is not resent but stays known for a while") {
    outbox.Acknowledge(AttemptId("a1"), start);
    CHECK(outbox.pending() == 0);
    CHECK(outbox.TakeDue(start + std::chrono::minutes(1)).empty());
    CHECK(outbox.Contains(AttemptId("a1")));
    outbox.TakeDue(start + SettlementOutbox::kAcknowledgedRetention +
                   milliseconds(1));
    CHECK_FALSE(outbox.Contains(AttemptId("a1")));
  }

  SECTION("an acknowledgement of an unknown attempt has no effect") {
    outbox.Acknowledge(AttemptId("a2"), start);
    CHECK(outbox.pending() == 1);
    CHECK_FALSE(outbox.Contains(AttemptId("a2")));
  }
}
