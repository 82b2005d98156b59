#include "dandelionmill/gateway/caller_session.h"

#include <catch2/catch.hpp>

using boost::beast::http::fields;
using dandelionmill::gateway::FindAmbiguity;

TEST_CASE("A request with one framing and one host is accepted", "[gateway]") {
  fields message;
  message.insert("Host", "a.example");
  CHECK_FALSE(FindAmbiguity(message));
  message.insert("Content-Length", "5");
  CHECK_FALSE(FindAmbiguity(message));
}

TEST_CASE("A request with ambiguous framing or host is refused", "[gateway]") {
  fields message;
  message.insert("Host", "a.example");
  SECTION("two Content-Length fields") {
    message.insert("Content-Length", "5");
    message.insert("Content-Length", "5");
  }
  SECTION("Content-Length and chunked coding") {
    message.insert("Content-Length", "5");
    message.insert("Transfer-Encoding", "chunked");
  }
  SECTION("two Transfer-Encoding fields") {
    message.insert("Transfer-Encoding", "chunked");
    message.insert("Transfer-Encoding", "chunked");
  }
  SECTION("an unknown transfer coding") {
    message.insert("Transfer-Encoding", "gzip, chunked");
  }
  SECTION("two Host fields") {
    message.insert("Host", "b.example");
  }
  SECTION("no Host field") {
    message.erase("Host");
  }
  CHECK(FindAmbiguity(message));
}
