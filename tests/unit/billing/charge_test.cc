#include "dandelionmill/billing/charge.h"

#include <catch2/catch.hpp>

#include "dandelionmill/billing/charge_queue.h"

using dandelionmill::base::AccountId;
using dandelionmill::base::AttemptId;
using dandelionmill::base::HolderId;
using dandelionmill::base::IsOk;
using dandelionmill::base::RequestKey;
using dandelionmill::base::ValueOf;
using dandelionmill::base::WallTime;
using namespace dandelionmill::billing;  // NOLINT(google-build-using-namespace)

namespace {

Charge ChargeOf(const std::string& key,
                const std::string& attempt,
                dandelionmill::base::Tokens tokens) {
  Charge charge;
  charge.account = AccountId("pigments");
  charge.budget = "default";
  charge.request_key = RequestKey(key);
  charge.attempt = AttemptId(attempt);
  charge.tokens = tokens;
  charge.outcome = "completed";
  return charge;
}

}  // namespace

TEST_CASE("Charges with the same client account and key are billed once",
          "[billing]") {
  const std::vector<Charge> stored = {ChargeOf("k1", "a1", 10),
                                      ChargeOf("k2", "a2", 20),
                                      ChargeOf("k1", "a3", 99)};
  const std::vector<Charge> unique_charges = DeduplicateCharges(stored);
  REQUIRE(unique_charges.size() == 2);
  CHECK(unique_charges[0].attempt == AttemptId("a1"));
  const auto totals = SumByBudget(unique_charges);
  CHECK(totals.at("pigments/default").requests == 2);
  CHECK(totals.at("pigments/default").tokens == 30);
}

TEST_CASE("A batch keeps its name and content until it is stored",
          "[billing]") {
  ChargeQueue queue(HolderId("a/xyz"));
  REQUIRE(queue.Add(ChargeOf("k1", "a1", 10)));
  const WallTime day{std::chrono::hours(24) * 365};
  const Batch first = *queue.NextBatch(day);
  CHECK(first.name == "charges/1971-01-01/a_xyz-0000000001.jsonl");
  REQUIRE(queue.Add(ChargeOf("k2", "a2", 20)));

  SECTION("a batch whose put is repeated is unchanged") {
    const Batch repeated = *queue.NextBatch(day + std::chrono::hours(24));
    CHECK(repeated.name == first.name);
    CHECK(repeated.content == first.content);
  }
  SECTION("the next batch is created after the first was stored") {
    CHECK(queue.OnStored() == std::vector<AttemptId>{AttemptId("a1")});
    const Batch* second = queue.NextBatch(day);
    REQUIRE(second != nullptr);
    CHECK(second->name == "charges/1971-01-01/a_xyz-0000000002.jsonl");
    const auto parsed = ParseCharges(second->content);
    REQUIRE(IsOk(parsed));
    CHECK(ValueOf(parsed)[0].request_key == RequestKey("k2"));
    queue.OnStored();
    CHECK(queue.NextBatch(day) == nullptr);
  }
}

TEST_CASE("A full queue does not accept charges", "[billing]") {
  ChargeQueue queue(HolderId("a/xyz"));
  for (std::size_t i = 0; i < kMaxQueuedCharges; ++i)
    REQUIRE(queue.Add(ChargeOf("k", "a", 1)));
  CHECK_FALSE(queue.Add(ChargeOf("k", "a", 1)));
}

TEST_CASE("Parsing a malformed charge fails, empty content has no charges",
          "[billing]") {
  CHECK_FALSE(IsOk(ParseCharges("{\"account\":1}\n")));
  CHECK(ValueOf(ParseCharges("")).empty());
}
