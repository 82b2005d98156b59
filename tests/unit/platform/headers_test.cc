#include "dandelionmill/platform/headers.h"

#include <catch2/catch.hpp>

using boost::beast::http::fields;
namespace base = dandelionmill::base;
namespace platform = dandelionmill::platform;

namespace {

fields CallerFields() {
  fields message;
  message.set("Host", "a.example");
  message.set("Attempt-Id", "9c41");
  message.set("Model", "m");
  message.set("Token-Count", "1460,80");
  message.set("Prompt-Prefix", "5c1e:800,91bd:410,e440:250");
  message.set("Deadline-Milliseconds", "15000");
  message.set("Authorization", "Bearer secret");
  message.set("Length-Hint", "70");
  return message;
}

std::string ForwardedFields(const fields& caller) {
  platform::ForwardedRequestFields forwarded;
  forwarded.backend = base::BackendId("i-1");
  forwarded.account = base::AccountId("painters");
  forwarded.remaining_time = std::chrono::milliseconds(14990);
  forwarded.priority = 1;
  forwarded.body_bytes = 5;
  forwarded.has_body = true;
  std::string out;
  platform::AppendForwardedFields(caller, forwarded, out);
  return out;
}

}  // namespace

TEST_CASE("A caller's header fields are decoded", "[platform]") {
  const auto decoded = platform::DecodeRequestMetadata(CallerFields());
  REQUIRE(base::IsOk(decoded));
  const auto& metadata = base::ValueOf(decoded);
  CHECK(metadata.attempt == base::AttemptId("9c41"));
  CHECK(metadata.api_key == "secret");
  CHECK(metadata.remaining_time == std::chrono::milliseconds(15000));
  REQUIRE(metadata.model);
  CHECK(metadata.model->MaxTokens() == 1540);
  REQUIRE(metadata.model->parts.size() == 3);
  CHECK(metadata.model->parts[1].id == "91bd");
  CHECK(metadata.model->parts[1].tokens == 410);
}

TEST_CASE("Malformed header fields of a caller are rejected", "[platform]") {
  fields message = CallerFields();
  SECTION("a deadline that is not a number") {
    message.set("Deadline-Milliseconds", "soon");
  }
  SECTION("a negative deadline") {
    message.set("Deadline-Milliseconds", "-1");
  }
  SECTION("a token count without the output limit") {
    message.set("Token-Count", "1460");
  }
  SECTION("a negative token count") {
    message.set("Token-Count", "1,-5");
  }
  CHECK_FALSE(base::IsOk(platform::DecodeRequestMetadata(message)));
}

TEST_CASE("The account is forwarded instead of the API key", "[platform]") {
  const std::string out = ForwardedFields(CallerFields());
  CHECK_THAT(out, !Catch::Contains("secret"));
  CHECK_THAT(out, Catch::Contains("Tenant: painters\r\n"));
  CHECK_THAT(out, Catch::Contains("Expected-Instance: i-1\r\n"));
  CHECK_THAT(out, Catch::Contains("Deadline-Milliseconds: 14990\r\n"));
  CHECK_THAT(out, Catch::Contains("Request-Priority: 1\r\n"));
  CHECK_THAT(out, Catch::Contains("Length-Hint: 70\r\n"));
  CHECK_THAT(out, Catch::Contains("Content-Length: 5\r\n"));
}

TEST_CASE("Reserved fields set by a caller are not forwarded", "[platform]") {
  fields message = CallerFields();
  for (const char* name :
       {"Tenant", "Expected-Instance", "Request-Priority", "Hold",
        "Pin-Milliseconds", "Kv-Backup", "Kv-From", "Kv-Fetch"})
    message.set(name, "forged");
  CHECK_THAT(ForwardedFields(message), !Catch::Contains("forged"));
}

TEST_CASE("Hop-by-hop fields are not forwarded", "[platform]") {
  fields message = CallerFields();
  message.set("Connection", "keep-alive, X-Private");
  message.set("X-Private", "hop");
  message.set("Keep-Alive", "timeout=5");
  message.set("TE", "trailers");
  const std::string out = ForwardedFields(message);
  CHECK_THAT(out, !Catch::Contains("X-Private"));
  CHECK_THAT(out, !Catch::Contains("Keep-Alive"));
  CHECK_THAT(out, !Catch::Contains("TE:"));
}

TEST_CASE("A backend server's header fields are decoded", "[platform]") {
  fields message;
  message.set("Attempt-Id", "9c41");
  message.set("Server-Signature", "3e1b");
  message.set("Server-Load", "3,1,8");
  message.set("Keep-Alive", "timeout=4");
  const auto metadata = platform::DecodeResponseMetadata(200, message);
  CHECK(metadata.has_signature);
  CHECK_FALSE(metadata.not_executed);
  REQUIRE(metadata.load);
  CHECK(metadata.load->waiting == 1);
  CHECK(metadata.idle_timeout == std::chrono::milliseconds(4000));
  CHECK_FALSE(metadata.requests_per_s);
  SECTION("a limit is a decimal number of requests per second") {
    message.set("Server-Limit", "1.4");
    CHECK(platform::DecodeResponseMetadata(200, message).requests_per_s == 1.4);
    for (const char* text : {"", "x", "1.4x", "-1", "nan", "inf"}) {
      INFO(text);
      message.set("Server-Limit", text);
      CHECK_FALSE(
          platform::DecodeResponseMetadata(200, message).requests_per_s);
    }
  }
  SECTION("the remaining warm-up is a number of milliseconds") {
    CHECK_FALSE(metadata.remaining_warm_up);
    message.set("Cold-Milliseconds", "0");
    CHECK(platform::DecodeResponseMetadata(200, message).remaining_warm_up ==
          std::chrono::milliseconds(0));
    message.set("Cold-Milliseconds", "1800.5");
    CHECK(platform::DecodeResponseMetadata(503, message).remaining_warm_up ==
          std::chrono::milliseconds(1801));
    message.set("Cold-Milliseconds", "1e18");
    CHECK(platform::DecodeResponseMetadata(200, message).remaining_warm_up ==
          std::chrono::minutes(10));
    for (const char* text : {"", "x", "5s", "-1", "nan", "inf"}) {
      INFO(text);
      message.set("Cold-Milliseconds", text);
      CHECK_FALSE(
          platform::DecodeResponseMetadata(200, message).remaining_warm_up);
    }
  }
  SECTION("a brittle server names how many rejections a second it bears") {
    CHECK_FALSE(metadata.max_rejections_per_s);
    message.set("Server-Brittle", "6");
    for (const int status : {200, 429, 503}) {
      INFO(status);
      CHECK(platform::DecodeResponseMetadata(status, message)
                .max_rejections_per_s == 6);
    }
    for (const char* text : {"", "x", "6x", "-1", "nan", "inf"}) {
      INFO(text);
      message.set("Server-Brittle", text);
      CHECK_FALSE(
          platform::DecodeResponseMetadata(200, message).max_rejections_per_s);
    }
  }
  SECTION("a server that leaves says so in any response") {
    CHECK_FALSE(metadata.is_leaving);
    message.set("Server-Leaving", "1");
    for (const int status : {200, 421, 500, 503}) {
      INFO(status);
      CHECK(platform::DecodeResponseMetadata(status, message).is_leaving);
    }
    for (const char* text : {"", "0", "2", "yes", "11"}) {
      INFO(text);
      message.set("Server-Leaving", text);
      CHECK_FALSE(platform::DecodeResponseMetadata(200, message).is_leaving);
    }
  }
  // Guards against a report that is discarded whole because it has more figures
  // than are known.
  SECTION("a load report may have more figures than are known") {
    message.set("Server-Load", "7,2,24");
    auto decoded = platform::DecodeResponseMetadata(200, message);
    REQUIRE(decoded.load);
    CHECK(decoded.load->running == 7);
    CHECK(decoded.load->waiting == 2);
    CHECK(decoded.load->slots == 24);
    CHECK_FALSE(decoded.load->work_time_percent);
    for (const char* text :
         {"7,2,24,130", "7,2,24,130,x", "7,2,24,130,,", "7,2,24,130,5,6"}) {
      INFO(text);
      message.set("Server-Load", text);
      decoded = platform::DecodeResponseMetadata(200, message);
      REQUIRE(decoded.load);
      CHECK(decoded.load->running == 7);
      CHECK(decoded.load->waiting == 2);
      CHECK(decoded.load->slots == 24);
      CHECK(decoded.load->work_time_percent == 130.0);
      CHECK(decoded.malformed_load.empty());
    }
  }
  SECTION("a malformed load report is discarded and kept for the log") {
    CHECK(
        platform::DecodeResponseMetadata(200, message).malformed_load.empty());
    for (const std::string& text :
         {std::string("7,2"), std::string("7,2,"), std::string("7,2,x"),
          std::string("-1,2,24"), std::string("7,2,24,"),
          std::string("7,2,24,nan"), std::string("7,2,24,inf"),
          std::string("7,2,24,0"), std::string("7,2,24,-5"),
          std::string("7,99999999999,24"), std::string("7,2000000000,24"),
          "7,2,24,100," + std::string(600, '1')}) {
      INFO(text);
      message.set("Server-Load", text);
      const auto decoded = platform::DecodeResponseMetadata(200, message);
      CHECK_FALSE(decoded.load);
      CHECK(decoded.malformed_load == text.substr(0, 64));
    }
  }
  SECTION("a 503 may ask for a pause in decimal seconds") {
    CHECK_FALSE(platform::DecodeResponseMetadata(503, message).pause);
    message.set("Retry-After", "1.5");
    CHECK(platform::DecodeResponseMetadata(503, message).pause ==
          std::chrono::milliseconds(1500));
    CHECK_FALSE(platform::DecodeResponseMetadata(500, message).pause);
    message.set("Retry-After", "0.0001");
    CHECK(platform::DecodeResponseMetadata(503, message).pause ==
          std::chrono::milliseconds(1));
    message.set("Retry-After", "86400");
    CHECK(platform::DecodeResponseMetadata(503, message).pause ==
          std::chrono::minutes(1));
    for (const char* text :
         {"x", "1.4x", "-1", "nan", "inf", "Wed, 21 Oct 2026 07:28:00 GMT"}) {
      INFO(text);
      message.set("Retry-After", text);
      const auto malformed = platform::DecodeResponseMetadata(503, message);
      CHECK_FALSE(malformed.pause);
      CHECK(malformed.malformed_pause == text);
    }
  }
  SECTION("odd figures of a load report change nothing") {
    // Guards against a sum of huge figures that overflows and looks idle.
    for (const char* text :
         {"2147483647,2147483647,2147483647", "", ",,", "-1,0,8", "0,-5,8",
          "1,1,99999999999", "nan,1,8", "1.5,1,8", "1, 1,8"}) {
      INFO(text);
      message.set("Server-Load", text);
      CHECK_FALSE(platform::DecodeResponseMetadata(200, message).load);
    }
  }
  SECTION("an odd idle timeout is moved into a usable range") {
    for (const char* text : {"timeout=0", "timeout=-7"}) {
      message.set("Keep-Alive", text);
      // 0 stands for an unknown one.
      CHECK(platform::DecodeResponseMetadata(200, message).idle_timeout ==
            std::chrono::milliseconds(1));
    }
    message.set("Keep-Alive", "timeout=2147483647");
    CHECK(platform::DecodeResponseMetadata(200, message).idle_timeout ==
          std::chrono::hours(1));
    for (const char* text :
         {"", "timeout=", "timeout=x", "timeout=99999999999", "max=5"}) {
      message.set("Keep-Alive", text);
      CHECK_FALSE(platform::DecodeResponseMetadata(200, message).idle_timeout);
    }
  }
  SECTION("a long malformed pause is shortened for the log") {
    message.set("Retry-After", std::string(60000, 'x'));
    CHECK(
        platform::DecodeResponseMetadata(503, message).malformed_pause.size() <=
        64);
  }
  SECTION("only status 421 or Not-Executed marks a request as not executed") {
    CHECK(platform::DecodeResponseMetadata(421, message).not_executed);
    CHECK_FALSE(platform::DecodeResponseMetadata(503, message).not_executed);
    message.set("Not-Executed", "1");
    CHECK(platform::DecodeResponseMetadata(503, message).not_executed);
  }
}
