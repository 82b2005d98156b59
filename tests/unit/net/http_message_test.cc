#include "dandelionmill/net/http_message.h"

#include <catch2/catch.hpp>

using namespace dandelionmill::net;  // NOLINT(google-build-using-namespace)

TEST_CASE("Percent-encoded bytes are decoded and nothing else", "[net]") {
  CHECK(DecodePercent("/a%20b%2fc") == "/a b/c");
  CHECK(DecodePercent("100%") == "100%");
  CHECK(DecodePercent("%zz%4") == "%zz%4");
  CHECK(DecodePercent("a+b") == "a+b");
}

TEST_CASE("An encoded segment of a path is decoded to what it was", "[net]") {
  const std::string text = "a/b?c#d%e f~g";
  CHECK(EncodePercent(text).find_first_of("/?# ") == std::string::npos);
  CHECK(DecodePercent(EncodePercent(text)) == text);
}

TEST_CASE("Header fields are found whatever their case", "[net]") {
  HttpFields fields;
  fields.Add("Content-Type", "text/plain");
  fields.Add("content-type", "second");
  CHECK(fields.Get("CONTENT-type") == "text/plain");
  CHECK(fields.Get("Accept").empty());
}
