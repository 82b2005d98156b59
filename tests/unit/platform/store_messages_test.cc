#include "dandelionmill/platform/store_messages.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

namespace platform = dandelionmill::platform;
using dandelionmill::storage::CallOutcome;
using dandelionmill::storage::RowChange;
using nlohmann::json;

TEST_CASE("A change is encoded with expected versions and new values",
          "[platform]") {
  RowChange change;
  change.expected.push_back({{"t", "p", "k"}, 5});
  change.puts.push_back({{"t", "p", "k"}, "node-1"});
  json body = json::parse(platform::EncodeChange(change));
  CHECK(body["expectedRevision"][0]["rowVersion"] == 5);
  CHECK(body["put"][0]["value"] == "bm9kZS0x");
  CHECK_FALSE(body.contains("across"));
  SECTION("and marked when it spans several parts") {
    change.puts.push_back({{"t", "other", "k"}, ""});
    body = json::parse(platform::EncodeChange(change));
    CHECK(body["across"] == true);
  }
}

TEST_CASE("Row values survive encoding and decoding", "[platform]") {
  for (const std::string& value :
       {std::string(), std::string("a"), std::string("ab"), std::string("abc"),
        std::string("\0\xff", 2)}) {
    RowChange change;
    change.puts.push_back({{"t", "", "k"}, value});
    const json put = json::parse(platform::EncodeChange(change))["put"][0];
    const json answer = {{"rows",
                          {{{"table", "t"},
                            {"part", ""},
                            {"key", "k"},
                            {"value", put["value"]},
                            {"rowVersion", 412}}}},
                         {"morePages", true},
                         {"rowVersion", 530},
                         {"nowMs", 51230}};
    const auto decoded = platform::DecodeStoreResponse(200, answer.dump());
    REQUIRE(decoded.rows.size() == 1);
    CHECK(decoded.rows[0].value == value);
    CHECK(decoded.rows[0].version == 412);
    CHECK(decoded.version == 530);
    CHECK(decoded.has_more);
    CHECK(decoded.store_time == std::chrono::milliseconds(51230));
  }
}

TEST_CASE("HTTP statuses are mapped to call outcomes", "[platform]") {
  const auto decode_outcome = [](int status) {
    return platform::DecodeStoreResponse(status, "{}").outcome;
  };
  CHECK(decode_outcome(200) == CallOutcome::kDone);
  CHECK(decode_outcome(412) == CallOutcome::kConflict);
  CHECK(decode_outcome(410) == CallOutcome::kHistoryGone);
  CHECK(decode_outcome(429) == CallOutcome::kNotPerformed);
  CHECK(decode_outcome(503) == CallOutcome::kNotPerformed);
  CHECK(decode_outcome(500) == CallOutcome::kUnknown);
  SECTION("and a body that is not JSON gives an unknown outcome") {
    CHECK(platform::DecodeStoreResponse(200, "oops").outcome ==
          CallOutcome::kUnknown);
  }
}

TEST_CASE("The era of the store is a decimal number", "[platform]") {
  CHECK(platform::DecodeStoreEra("0") == 0u);
  CHECK(platform::DecodeStoreEra("17") == 17u);
  for (const char* malformed : {"", " 1", "1 ", "-1", "1.5", "x"})
    CHECK_FALSE(platform::DecodeStoreEra(malformed));
}

TEST_CASE("Names in request targets are percent-encoded", "[platform]") {
  CHECK(platform::ReadTarget("t", "a b&c", "") ==
        "/api/rows-get?table=t&part=a%20b%26c");
}

// Guards against a caller's attempt id that ends the writing of all later rows
// of streams: the change that held it threw.
TEST_CASE("A key that is not UTF-8 is written and read under the same name",
          "[platform]") {
  const dandelionmill::storage::RowKey key{"streams", "", "stream a\xff\x80"};
  dandelionmill::storage::RowChange change;
  change.puts.push_back({key, "v"});
  const auto body = nlohmann::json::parse(
      dandelionmill::platform::EncodeChange(change), nullptr, false);
  REQUIRE(body.is_object());
  CHECK(body["put"][0]["key"] == "stream a%FF%80");
  CHECK(dandelionmill::platform::ReadRowTarget(key) ==
        dandelionmill::platform::ReadRowTarget(
            {"streams", "", "stream a%FF%80"}));
}
