#include "dandelionmill/gateway/caller_session.h"

#include <catch2/catch.hpp>

using boost::beast::http::fields;
using dandelionmill::gateway::FindAmbiguity;

TEST_CASE("A request with one framing and one host is taken", "[gateway]") {
  fields message;
  message.insert("Host", "a.example");
  CHECK_FALSE(FindAmbiguity(message));
  message.insert("Content-Length", "5");
  CHECK_FALSE(FindAmbiguity(message));
}

TEST_CASE("A request that could be read in two ways is refused", "[gateway]") {
  fields message;
  message.insert("Host", "a.example");
  SECTION("two lengths") {
    message.insert("Content-Length", "5");
    message.insert("Content-Length", "5");
  }
  SECTION("a length and chunks") {
    message.insert("Content-Length", "5");
    message.insert("Transfer-Encoding", "chunked");
  }
  SECTION("two codings") {
    message.insert("Transfer-Encoding", "chunked");
    message.insert("Transfer-Encoding", "chunked");
  }
  SECTION("an unknown coding") {
    message.insert("Transfer-Encoding", "gzip, chunked");
  }
  SECTION("two hosts") {
    message.insert("Host", "b.example");
  }
  SECTION("no host") {
    message.erase("Host");
  }
  CHECK(FindAmbiguity(message));
}
