#include "dandelionmill/net/http_message.h"

#include <catch2/catch.hpp>

using namespace dandelionmill::net;  // NOLINT(google-build-using-namespace)

TEST_CASE("Only well-formed percent-encoded bytes are decoded", "[net]") {
  CHECK(PercentDecode("/a%20b%2fc") == "/a b/c");
  CHECK(PercentDecode("100%") == "100%");
  CHECK(PercentDecode("%zz%4") == "%zz%4");
  CHECK(PercentDecode("a+b") == "a+b");
}

TEST_CASE("Decoding an encoded path segment returns the original text",
          "[net]") {
  const std::string text = "a/b?c#d%e f~g";
  CHECK(PercentEncode(text).find_first_of("/?# ") == std::string::npos);
  CHECK(PercentDecode(PercentEncode(text)) == text);
}

TEST_CASE("Header field lookup ignores case and returns the first match",
          "[net]") {
  HttpFields fields;
  fields.Add("Content-Type", "text/plain");
  fields.Add("content-type", "second");
  CHECK(fields.Get("CONTENT-type") == "text/plain");
  CHECK(fields.Get("Accept").empty());
}
