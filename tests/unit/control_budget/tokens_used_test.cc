#include "dandelionmill/control/internal/tokens_used.h"

#include <catch2/catch.hpp>

using dandelionmill::control::TokensUsed;
namespace wire = dandelionmill::wire;

namespace {

wire::Settle SettleOf(wire::Outcome outcome, const char* model) {
  wire::Settle settle;
  settle.set_outcome(outcome);
  settle.set_model(model);
  settle.set_prompt_tokens(30);
  settle.set_completion_tokens(12);
  return settle;
}

}  // namespace

TEST_CASE("An attempt is charged the tokens it used", "[control][budget]") {
  CHECK(TokensUsed(SettleOf(wire::OUTCOME_COMPLETED, "m"), 100) == 42);
  CHECK(TokensUsed(SettleOf(wire::OUTCOME_CANCELLED, "m"), 100) == 42);
  CHECK(TokensUsed(SettleOf(wire::OUTCOME_FAILED, "m"), 100) == 42);
}

TEST_CASE("An attempt of unknown outcome is charged its whole reservation",
          "[control][budget]") {
  CHECK(TokensUsed(SettleOf(wire::OUTCOME_UNKNOWN, "m"), 100) == 100);
}

TEST_CASE("A call of a plain service is charged its whole reservation",
          "[control][budget]") {
  CHECK(TokensUsed(SettleOf(wire::OUTCOME_COMPLETED, ""), 100) == 100);
}

TEST_CASE("An attempt is never charged more than its reservation",
          "[control][budget]") {
  CHECK(TokensUsed(SettleOf(wire::OUTCOME_COMPLETED, "m"), 40) == 40);
}
