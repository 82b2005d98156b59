#include "dandelionmill/settings/schema.h"

#include <catch2/catch.hpp>

using dandelionmill::base::ErrorOf;
using dandelionmill::base::IsOk;
using dandelionmill::base::ValueOf;
using dandelionmill::settings::AddressKey;
using dandelionmill::settings::Check;
using dandelionmill::settings::IntegerKey;
using dandelionmill::settings::Schema;
using dandelionmill::settings::TextKey;

namespace {

Schema ExampleSchema() {
  return {{"zone", TextKey{"", true, {}, false}, "The availability zone."},
          {"poll_ms", IntegerKey{500, 50, 10000, "ms"}, "Poll period."},
          {"mode", TextKey{"fast", false, {"fast", "safe"}, false}, "Mode."},
          {"key", TextKey{"", false, {"a"}, true}, "A secret."},
          {"listen", AddressKey{false}, "Where to listen."}};
}

std::string DetailOf(const std::string& json) {
  return ErrorOf(Check(ExampleSchema(), json)).detail;
}

}  // namespace

TEST_CASE("Settings are validated against a schema", "[settings]") {
  SECTION("missing optional keys get their defaults") {
    const auto checked = Check(ExampleSchema(), R"({"zone":"a"})");
    REQUIRE(IsOk(checked));
    CHECK(ValueOf(checked).Integer("poll_ms") == 500);
    CHECK(ValueOf(checked).Text("mode") == "fast");
    CHECK(ValueOf(checked).AddressOf("listen").port == 0);
  }
  SECTION("the error for a missing required key names it") {
    CHECK(DetailOf("{}") == "key \"zone\" is missing; allowed: a string");
  }
  SECTION("the error for an unknown key lists the allowed keys") {
    CHECK(DetailOf(R"({"zone":"a","zoen":1})") ==
          "key \"zoen\" is unknown (its value is 1); allowed: zone, poll_ms, "
          "mode, key, listen");
  }
  SECTION("the error for a number out of range shows range and unit") {
    CHECK(DetailOf(R"({"zone":"a","poll_ms":5})") ==
          "key \"poll_ms\" is 5; allowed: 50 to 10000 ms");
    CHECK(DetailOf(R"({"zone":"a","poll_ms":18446744073709551615})") ==
          "key \"poll_ms\" is 18446744073709551615; allowed: 50 to 10000 ms");
  }
  SECTION("the error for a secret does not show its value") {
    CHECK(DetailOf(R"({"zone":"a","key":"hunter2"})") ==
          "key \"key\" is (secret); allowed: a");
  }
  SECTION("an address with a host name is rejected") {
    CHECK(DetailOf(R"({"zone":"a","listen":"localhost:80"})") ==
          "key \"listen\" is \"localhost:80\"; allowed: an address like "
          "127.0.0.1:8080");
  }
  SECTION("text that is not a JSON object is rejected") {
    CHECK(DetailOf("{") == "the settings are not a JSON object");
    CHECK(DetailOf("[]") == "the settings are not a JSON object");
  }
}
