#include <algorithm>
#include <array>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include "tests/sessions/gateway/gateway_fixture.h"

// Backend servers in trouble whose answers do not end. The timeouts are so long
// that a status of 504 shows an answer that came only with the deadline.

using namespace gateway_test;  // NOLINT(google-build-using-namespace)

namespace {

// Bytes of one answer that the gateway and the kernel's buffers may accept
// before the gateway stops reading. Far below what a repeating step sends.
constexpr std::uint64_t kMaxAcceptedBytes = 96 << 20;

const std::map<std::string, std::string> kLongDeadline = {
    {"Deadline-Milliseconds", "4000"}};

const std::map<std::string, std::string> kTokens = {
    {"Model", "m"},
    {"Token-Count", "900,100"},
    {"Prompt-Prefix", "a:900"},
    {"Deadline-Milliseconds", "4000"}};

// Silence does not end an attempt within the timeout of these routes.
json PatientState() {
  json state = DesiredState(1);
  for (json& route : state["routes"]) {
    route["timeoutMs"] = 4000;
    route["targetLatencyMs"] = 4000;
  }
  return state;
}

std::string AttemptField(const Request& request) {
  return "Attempt-Id: " + std::string(request["Attempt-Id"]) + "\r\n";
}

std::string Chunk(std::size_t size) {
  std::array<char, 16> length{};
  std::snprintf(length.data(), length.size(), "%zx\r\n", size);
  return length.data() + std::string(size, 'x') + "\r\n";
}

// Compare texts that are too long for Catch2 to print.
bool Equals(const std::string& text, const std::string& expected) {
  return text == expected;
}
bool Contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

// An answer whose last part never ends.
Answer Endless(const std::string& begin, const std::string& repeated) {
  return {{{begin}, {repeated, milliseconds(0), true}}};
}

// A chunked answer with the given head fields whose body never ends.
Answer EndlessBody(const std::string& status, const std::string& fields) {
  return Endless("HTTP/1.1 " + status + " X\r\n" + fields +
                     "Transfer-Encoding: chunked\r\n\r\n",
                 Chunk(16000));
}

// Sends a request that may run once. Its answer must be a failure at once, with
// no statement that it did not run, and the backend server must be left.
void CheckFailsAtOnce(const ScriptedEngine::Script& script) {
  GatewayFixture fleet(PatientState());
  ScriptedEngine& engine = fleet.AddEngine("i-1", script);
  const Received received = fleet.Send("/once/", kLongDeadline);
  CHECK(received.status == 502);
  CHECK_FALSE(received.is_cut);
  CHECK(Contains(received.body, "\"ran\":\"maybe\""));
  CHECK(engine.requests().size() == 1);
  fleet.WaitUntil([&engine] { return engine.aborted_connections() == 1; });
  CHECK(engine.repeated_bytes() < kMaxAcceptedBytes);
}

// A caller that sends a request and reads only when it is told to.
class SlowCaller {
 public:
  explicit SlowCaller(const std::string& target) : socket_(loop_) {
    const boost::asio::ip::tcp::endpoint gateway(
        boost::asio::ip::make_address("127.0.0.1"), kCallerPort);
    socket_.open(gateway.protocol());
    socket_.set_option(boost::asio::socket_base::receive_buffer_size(65536));
    socket_.connect(gateway);
    const std::string text =
        "POST " + target +
        " HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: slow\r\n"
        "Authorization: Bearer secret\r\nDeadline-Milliseconds: 4000\r\n"
        "Connection: close\r\nContent-Length: 0\r\n\r\n";
    boost::asio::write(socket_, boost::asio::buffer(text));
  }

  std::string ReadToEnd() {
    std::string all;
    boost::system::error_code error;
    boost::asio::read(socket_, boost::asio::dynamic_buffer(all), error);
    return all;
  }

 private:
  boost::asio::io_context loop_;
  boost::asio::ip::tcp::socket socket_;
};

}  // namespace

// Guards against reading interim responses without end until the deadline.
TEST_CASE("Interim responses without end fail the request at once",
          "[gateway]") {
  CheckFailsAtOnce([](const Request&) {
    return Endless("", "HTTP/1.1 102 Processing\r\n\r\n");
  });
}

// Guards against a limit on interim responses that breaks proper answers.
TEST_CASE("A few interim responses are skipped", "[gateway]") {
  GatewayFixture fleet;
  fleet.AddEngine("i-1", [](const Request& request) {
    Answer answer = ScriptedEngine::CompleteAnswer(request, 200, "answer");
    for (int i = 0; i < 8; ++i)
      answer.steps[0].bytes.insert(0, "HTTP/1.1 102 Processing\r\n\r\n");
    return answer;
  });
  const Received received = fleet.Send("/once/");
  CHECK(received.status == 200);
  CHECK(received.body == "answer");
}

// Guards against reading on until the deadline although the head already shows
// that the response cannot be passed on.
TEST_CASE("A success without proof of the run fails the request at its head",
          "[gateway]") {
  SECTION("with an endless body") {
    CheckFailsAtOnce([](const Request& request) {
      return EndlessBody("200", AttemptField(request));
    });
  }
  SECTION("with an endless body that ends with its connection") {
    CheckFailsAtOnce([](const Request& request) {
      return Endless("HTTP/1.1 200 X\r\n" + AttemptField(request) + "\r\n",
                     "junk");
    });
  }
  SECTION("as an endless stream") {
    CheckFailsAtOnce([](const Request& request) {
      return EndlessBody(
          "200", AttemptField(request) + "Content-Type: text/event-stream\r\n");
    });
  }
}

// Guards against buffering the body of a rejection without limit, and against
// the statement that such a request did not run: bytes without end are no
// answer.
TEST_CASE("A rejection with an endless body fails the request at once",
          "[gateway]") {
  SECTION("by its header field") {
    CheckFailsAtOnce([](const Request& request) {
      return EndlessBody("503", AttemptField(request) + "Not-Executed: 1\r\n");
    });
  }
  SECTION("by its status") {
    CheckFailsAtOnce([](const Request& request) {
      return EndlessBody("421", AttemptField(request));
    });
  }
}

// Guards against relaying a failure response that never ends until the
// deadline, so that the request can no longer be retried.
TEST_CASE("A failure with an endless body fails the request at once",
          "[gateway]") {
  const std::string status = GENERATE("500", "404", "302");
  CheckFailsAtOnce([status](const Request& request) {
    return EndlessBody(status,
                       AttemptField(request) + "Server-Signature: proof\r\n");
  });
}

// Guards against skipping the body of an extra response without limit.
TEST_CASE("An endless response to another request fails the request at once",
          "[gateway]") {
  CheckFailsAtOnce([](const Request&) {
    return EndlessBody("200",
                       "Attempt-Id: other\r\nServer-Signature: proof\r\n");
  });
}

// Guards against buffering what the parser cannot use yet without limit.
TEST_CASE("Framing without end fails the request at once", "[gateway]") {
  SECTION("in the status line") {
    CheckFailsAtOnce(
        [](const Request&) { return Endless("HTTP/1.1 200 ", "x"); });
  }
  SECTION("in a header field") {
    CheckFailsAtOnce(
        [](const Request&) { return Endless("HTTP/1.1 200 X\r\nA: ", "x"); });
  }
  SECTION("in header fields") {
    CheckFailsAtOnce([](const Request&) {
      return Endless("HTTP/1.1 200 X\r\n", "A: x\r\n");
    });
  }
  SECTION("in bytes that are no response") {
    CheckFailsAtOnce([](const Request&) { return Endless("", "junk"); });
  }
  SECTION("in empty lines") {
    CheckFailsAtOnce([](const Request&) { return Endless("", "\r\n"); });
  }
  const auto signed_head = [](const Request& request) {
    return "HTTP/1.1 200 X\r\n" + AttemptField(request) +
           "Server-Signature: proof\r\nTransfer-Encoding: chunked\r\n\r\n";
  };
  SECTION("in a chunk size") {
    CheckFailsAtOnce([signed_head](const Request& request) {
      return Endless(signed_head(request), "0");
    });
  }
  SECTION("in a chunk extension") {
    CheckFailsAtOnce([signed_head](const Request& request) {
      return Endless(signed_head(request) + "1;a=", "x");
    });
  }
  SECTION("in a trailer") {
    CheckFailsAtOnce([signed_head](const Request& request) {
      return Endless(signed_head(request) + "0\r\n", "A: x\r\n");
    });
  }
}

// Guards against an endless answer that takes the time of a second attempt.
TEST_CASE("An idempotent request with an endless answer is answered elsewhere",
          "[gateway]") {
  GatewayFixture fleet(PatientState());
  std::atomic<int> runs{0};
  const std::string status = GENERATE("500", "200", "503");
  const auto script = [&runs, status](const Request& request) {
    if (++runs > 1)
      return ScriptedEngine::CompleteAnswer(request, 200, "answer");
    return EndlessBody(
        status,
        AttemptField(request) + (status == "503" ? "Not-Executed: 1\r\n" : ""));
  };
  fleet.AddEngine("i-1", script);
  fleet.AddEngine("i-2", script);
  const Received received = fleet.Send("/safe/", kLongDeadline);
  CHECK(received.status == 200);
  CHECK(Equals(received.body, "answer"));
  CHECK(runs == 2);
}

// Guards against bytes of another kind of response in the middle of a stream:
// the attempt that should continue it answers with a long body instead.
TEST_CASE("A stream that is continued by a long plain body ends cut",
          "[gateway]") {
  GatewayFixture fleet(PatientState());
  std::atomic<int> runs{0};
  const std::string status = GENERATE("500", "200");
  const auto script = [&runs, status](const Request& request) -> Answer {
    if (++runs == 1) {
      return {{{ScriptedEngine::StreamHead(request) +
                ScriptedEngine::EventChunk(1)}},
              Answer::Then::kReset};
    }
    return EndlessBody(status,
                       AttemptField(request) + "Server-Signature: proof\r\n");
  };
  fleet.AddEngine("i-1", script);
  fleet.AddEngine("i-2", script);
  const Received received = fleet.Send("/stream/", kTokens);
  CHECK(runs == 2);
  CHECK(received.is_cut);
  CHECK(Equals(received.body, "id: 1\ndata: e1\n\n"));
}

// Guards against two responses joined into one: a long body is relayed while it
// arrives, and a pause in it must not start a second attempt.
TEST_CASE("A long body that pauses is relayed from one attempt alone",
          "[gateway]") {
  json state = DesiredState(1);
  state["routes"][0]["timeoutMs"] = 4000;
  GatewayFixture fleet(state);
  std::atomic<int> runs{0};
  const std::string half(2 << 20, 'h');
  const auto script = [&runs, &half](const Request& request) {
    ++runs;
    Answer answer = ScriptedEngine::CompleteAnswer(request, 200, half + half);
    std::string& bytes = answer.steps[0].bytes;
    const std::string second = bytes.substr(bytes.size() - half.size());
    bytes.resize(bytes.size() - half.size());
    answer.steps.push_back({second, milliseconds(900)});
    return answer;
  };
  fleet.AddEngine("i-1", script);
  fleet.AddEngine("i-2", script);
  const Received received = fleet.Send("/safe/");
  CHECK(runs == 1);
  CHECK(received.status == 200);
  CHECK_FALSE(received.is_cut);
  CHECK(received.body.size() == 2 * half.size());
}

// Guards against a queue for a caller that reads slowly that grows with the
// body.
TEST_CASE("A body without end is read no faster than its caller reads",
          "[gateway]") {
  GatewayFixture fleet(PatientState());
  ScriptedEngine& engine = fleet.AddEngine("i-1", [](const Request& request) {
    return EndlessBody("200",
                       AttemptField(request) + "Server-Signature: proof\r\n");
  });
  SlowCaller caller("/once/");
  fleet.WaitUntil([&engine] { return !engine.requests().empty(); });
  // Ends early only if the gateway reads without limit.
  for (int i = 0; i < 40 && engine.repeated_bytes() < kMaxAcceptedBytes; ++i)
    std::this_thread::sleep_for(milliseconds(50));
  CHECK(engine.repeated_bytes() < kMaxAcceptedBytes);
}

// Guards against a long body that stops once its caller has read slowly.
TEST_CASE("A long body reaches a caller that reads slowly as a whole",
          "[gateway]") {
  GatewayFixture fleet(PatientState());
  const std::string body(48 << 20, 'b');
  fleet.AddEngine("i-1", [&body](const Request& request) {
    return ScriptedEngine::CompleteAnswer(request, 200, body);
  });
  SlowCaller caller("/once/");
  std::this_thread::sleep_for(milliseconds(500));
  const std::string answer = caller.ReadToEnd();
  REQUIRE(answer.size() > body.size());
  CHECK(Contains(answer.substr(0, 16), "HTTP/1.1 200"));
  CHECK(Contains(answer.substr(answer.size() - 7), "\r\n0\r\n\r\n"));
  CHECK(std::count(answer.begin(), answer.end(), 'b') >=
        static_cast<std::ptrdiff_t>(body.size()));
}

// Guards against bytes after a complete response that are taken for the next
// response, or read from an idle connection.
TEST_CASE("Bytes without end after a response reach no other request",
          "[gateway]") {
  GatewayFixture fleet;
  const milliseconds pause = GENERATE(milliseconds(0), milliseconds(50));
  ScriptedEngine& engine =
      fleet.AddEngine("i-1", [pause](const Request& request) {
        Answer answer = ScriptedEngine::CompleteAnswer(request, 200, "answer");
        answer.steps.push_back({"HTTP/1.1 200 OK\r\n\r\n", pause, true});
        return answer;
      });
  CHECK(fleet.Send("/once/").body == "answer");
  // The bytes are on the connection, or it is closed, before the next request.
  fleet.WaitUntil([&engine] {
    return engine.repeated_bytes() > 0 || engine.aborted_connections() > 0;
  });
  const Received second = fleet.Send("/once/");
  CHECK(second.status == 200);
  CHECK(second.body == "answer");
  fleet.WaitUntil([&engine] { return engine.aborted_connections() >= 1; });
  CHECK(engine.repeated_bytes() < 2 * kMaxAcceptedBytes);
}

// Guards against an event without end that is buffered or waited for.
TEST_CASE("A stream with an endless event ends cut at once", "[gateway]") {
  GatewayFixture fleet(PatientState());
  ScriptedEngine& engine = fleet.AddEngine("i-1", [](const Request& request) {
    return Endless(
        ScriptedEngine::StreamHead(request) + ScriptedEngine::EventChunk(1),
        Chunk(16000));
  });
  const Received received = fleet.Send("/single/", kTokens);
  CHECK(received.is_cut);
  CHECK(Equals(received.body, "id: 1\ndata: e1\n\n"));
  fleet.WaitUntil([&engine] { return engine.aborted_connections() == 1; });
  CHECK(engine.repeated_bytes() < kMaxAcceptedBytes);
}
