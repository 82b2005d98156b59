#include "dandelionmill/router/caller_request.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "dandelionmill/base/digest.h"
#include "tests/unit/router/example_config.h"

using dandelionmill::base::Code;
using dandelionmill::base::ErrorOf;
using dandelionmill::base::IsOk;
using dandelionmill::base::Result;
using dandelionmill::base::ValueOf;
using dandelionmill::router::CallerHeaders;
using dandelionmill::router::ExampleConfig;
using dandelionmill::router::IsNonIdempotentPath;
using dandelionmill::router::ModelRequest;
using dandelionmill::router::PrefixBlocks;
using dandelionmill::router::ReadHeaderParameters;
using dandelionmill::router::ReadModelRequest;
using dandelionmill::router::RequestParameters;

namespace {

const char* const kKey = "Bearer pigments.secret";

Code CodeOfHeaders(const CallerHeaders& headers) {
  const auto parameters = ReadHeaderParameters(headers, *ExampleConfig());
  return IsOk(parameters) ? Code::kInternal : ErrorOf(parameters).code;
}

Code CodeOfBody(const std::string& body, bool chat = true) {
  const auto request = ReadModelRequest(body, chat, *ExampleConfig());
  return IsOk(request) ? Code::kInternal : ErrorOf(request).code;
}

}  // namespace

TEST_CASE("ReadHeaderParameters validates request headers", "[router]") {
  CallerHeaders headers;
  headers.authorization = kKey;

  SECTION("a valid key identifies the account") {
    const auto parameters = ReadHeaderParameters(headers, *ExampleConfig());
    REQUIRE(IsOk(parameters));
    CHECK(ValueOf(parameters).account.value() == "pigments");
    CHECK(ValueOf(parameters).budget == "default");
    CHECK(ValueOf(parameters).key.value().size() == 24);
    CHECK_FALSE(ValueOf(parameters).key_from_caller);
    CHECK(ValueOf(parameters).idempotent);
  }

  SECTION("wrong, foreign and missing keys are unauthorized") {
    for (const char* wrong :
         {"", "Bearer ", "Bearer pigments", "Bearer pigments.wrong",
          "Bearer assay.Secret", "Bearer nobody.secret", "pigments.secret"}) {
      headers.authorization = wrong;
      CHECK(CodeOfHeaders(headers) == Code::kUnauthorized);
    }
  }

  SECTION("a budget must belong to the account") {
    headers.budget = "night";
    CHECK(CodeOfHeaders(headers) == Code::kBudgetUnknown);
  }

  SECTION("an invalid deadline is refused") {
    for (const char* wrong :
         {"0", "-5", "3600001", "soon", "10s", "99999999999999999999"}) {
      headers.deadline_ms = wrong;
      CHECK(CodeOfHeaders(headers) == Code::kBadDeadline);
    }
  }

  SECTION("an idempotency key must have at most 128 visible characters") {
    headers.idempotency_key = std::string(129, 'k');
    CHECK(CodeOfHeaders(headers) == Code::kMalformedRequest);
    headers.idempotency_key = "with space";
    CHECK(CodeOfHeaders(headers) == Code::kMalformedRequest);
    headers.idempotency_key = "order-17";
    const auto parameters = ReadHeaderParameters(headers, *ExampleConfig());
    REQUIRE(IsOk(parameters));
    CHECK(ValueOf(parameters).key.value() == "order-17");
    CHECK(ValueOf(parameters).key_from_caller);
  }

  SECTION("priority and idempotence must have allowed values") {
    headers.priority = "10";
    CHECK(CodeOfHeaders(headers) == Code::kMalformedRequest);
    headers.priority = "0";
    headers.idempotent = "maybe";
    CHECK(CodeOfHeaders(headers) == Code::kMalformedRequest);
    headers.idempotent = "no";
    CHECK_FALSE(
        ValueOf(ReadHeaderParameters(headers, *ExampleConfig())).idempotent);
  }
}

TEST_CASE("ReadModelRequest validates request bodies", "[router]") {
  SECTION("a valid body is forwarded as a stream with an output cap") {
    const auto result = ReadModelRequest(
        R"({"model":"ochre-8b","messages":[{"role":"user","content":"shade?"}],
            "max_completion_tokens":40,"temperature":0.5})",
        true, *ExampleConfig());
    REQUIRE(IsOk(result));
    const ModelRequest& request = ValueOf(result);
    CHECK(request.service->id.value() == "assay-llm");
    CHECK_FALSE(request.stream);
    CHECK(request.output_cap == 40);
    CHECK(request.prompt_bound == 6 + 16);
    const auto sent = nlohmann::json::parse(request.body);
    CHECK(sent["stream"] == true);
    CHECK(sent["max_tokens"] == 40);
    CHECK(sent["temperature"] == 0.5);
    CHECK_FALSE(sent.contains("max_completion_tokens"));
  }

  SECTION("a larger output cap is reduced to that of the inventory") {
    const auto more = ReadModelRequest(
        R"({"model":"ochre-8b","prompt":"x","max_tokens":100000})", false,
        *ExampleConfig());
    REQUIRE(IsOk(more));
    CHECK(ValueOf(more).output_cap == 512);
  }

  SECTION("fields that may become prompt tokens count towards the bound") {
    const auto tools = ReadModelRequest(
        R"({"model":"ochre-8b","prompt":"x","tools":["abcdefgh"]})", false,
        *ExampleConfig());
    REQUIRE(IsOk(tools));
    CHECK(ValueOf(tools).prompt_bound == 1 + 12 + 16);
  }

  SECTION("malformed bodies are refused") {
    for (
        const char* wrong :
        {"", "[]", "{", "{\"model\":\"ochre-8b\"}",
         R"({"model":"ochre-8b","messages":[]})",
         R"({"model":"ochre-8b","messages":[{"role":"user"}]})",
         R"({"model":"ochre-8b","messages":[7]})",
         R"({"model":7,"messages":[{"content":"x"}]})",
         R"({"model":"ochre-8b","messages":[{"content":"x"}],"stream":"yes"})",
         R"({"model":"ochre-8b","messages":[{"content":"x"}],"n":2})",
         R"({"model":"ochre-8b","messages":[{"content":"x"}],"max_tokens":0})",
         R"({"model":"ochre-8b","messages":[{"content":"x"}],"max_tokens":1.5})"}) {
      INFO(wrong);
      CHECK(CodeOfBody(wrong) == Code::kMalformedRequest);
    }
    CHECK(CodeOfBody(std::string(100000, '[')) == Code::kMalformedRequest);
  }

  SECTION("a model that no service offers is refused") {
    CHECK(CodeOfBody(R"({"model":"umber","messages":[{"content":"x"}]})") ==
          Code::kUnknownModel);
  }
}

TEST_CASE("PrefixBlocks chains the hashes of complete blocks only",
          "[router]") {
  const std::string block(256, 'a');
  CHECK(PrefixBlocks(std::string(255, 'a')).empty());
  const auto one = PrefixBlocks(block + "tail");
  const auto two = PrefixBlocks(block + block);
  REQUIRE(one.size() == 1);
  REQUIRE(two.size() == 2);
  CHECK(one[0] == dandelionmill::base::Sha256Hex(block).substr(0, 16));
  CHECK(two[0] == one[0]);
  CHECK(two[1] == dandelionmill::base::Sha256Hex(one[0] + block).substr(0, 16));
}

TEST_CASE("IsNonIdempotentPath matches the path prefixes of the inventory",
          "[router]") {
  const auto config = ExampleConfig();
  const auto* ledger =
      config->FindService(dandelionmill::base::ServiceId("ledger"));
  REQUIRE(ledger != nullptr);
  CHECK(IsNonIdempotentPath(*ledger, "/payouts"));
  CHECK(IsNonIdempotentPath(*ledger, "/payouts/7"));
  CHECK_FALSE(IsNonIdempotentPath(*ledger, "/deliveries"));
}
