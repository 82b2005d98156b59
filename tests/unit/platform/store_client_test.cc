#include "dandelionmill/platform/store_client.h"

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <optional>
#include <string>

#include "standins/backend/scripted_engine.h"

using dandelionmill::platform::StoreClient;
using dandelionmill::storage::CallOutcome;
using dandelionmill::storage::TableResponse;
using standins::backend::ScriptedEngine;
using std::chrono::milliseconds;

namespace {

constexpr int kPort = 28195;
constexpr milliseconds kTimeout{300};
constexpr std::size_t kMaxBytes = 100000;
const std::string kRow =
    R"({"rows":[{"table":"t","part":"","key":"k","value":"YQ==",)"
    R"("rowVersion":7}],"rowVersion":7,"nowMs":1,"morePages":false})";

std::string Head(std::size_t length) {
  return "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
         "Content-Length: " +
         std::to_string(length) + "\r\n\r\n";
}

// Returns a complete answer whose head has `field` as a further line.
ScriptedEngine::Answer AnswerWith(const std::string& field) {
  std::string head = Head(kRow.size());
  head.insert(head.find("\r\n") + 2, field);
  return {{{head + kRow}}};
}

// Answers one feed call with `answer` and returns what the client makes of it.
// `repeated_bytes` is set to what the store could send of an endless step.
TableResponse FollowWith(ScriptedEngine::Answer answer,
                         std::uint64_t* repeated_bytes = nullptr) {
  ScriptedEngine store(
      kPort, [&answer](const ScriptedEngine::Request&) { return answer; });
  boost::asio::io_context loop;
  StoreClient client(loop, {"127.0.0.1", kPort});
  std::optional<TableResponse> received;
  client.Follow("t", 1, milliseconds(0), kTimeout, kMaxBytes,
                [&](TableResponse response) {
                  received = std::move(response);
                  loop.stop();
                });
  loop.run_for(std::chrono::seconds(20));
  REQUIRE(received);
  if (repeated_bytes != nullptr)
    *repeated_bytes = store.repeated_bytes();
  return *received;
}

using Then = ScriptedEngine::Answer::Then;

}  // namespace

TEST_CASE("A response that arrives slowly is read to its end", "[platform]") {
  // Three times the timeout in all.
  ScriptedEngine::Answer answer;
  answer.steps.push_back({Head(kRow.size()), milliseconds(0)});
  for (std::size_t i = 0; i < kRow.size(); i += kRow.size() / 4 + 1) {
    answer.steps.push_back(
        {kRow.substr(i, kRow.size() / 4 + 1), milliseconds(i == 0 ? 0 : 60)});
  }
  SECTION("in parts") {}
  SECTION("and begins late") {
    answer.steps[0].pause_before = milliseconds(200);
    answer.steps[1].pause_before = milliseconds(250);
  }
  const TableResponse response = FollowWith(answer);
  CHECK(response.outcome == CallOutcome::kDone);
  REQUIRE(response.rows.size() == 1);
  CHECK(response.rows[0].value == "a");
  CHECK(response.bytes == kRow.size());
}

// Guards against changes that are transferred although reading the table takes
// less.
TEST_CASE("A response above the limit of its call is not read", "[platform]") {
  ScriptedEngine::Answer answer;
  SECTION("with its length") {
    answer.steps.push_back({Head(kMaxBytes + 1), milliseconds(0)});
    answer.steps.push_back({"{", milliseconds(0)});
  }
  SECTION("in chunks without end") {
    answer.steps.push_back(
        {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
         milliseconds(0)});
    answer.steps.push_back({"4\r\n    \r\n", milliseconds(0), true});
  }
  SECTION("without end or framing") {
    answer.steps.push_back({"HTTP/1.1 200 OK\r\n\r\n", milliseconds(0)});
    answer.steps.push_back({std::string(1000, ' '), milliseconds(0), true});
  }
  const TableResponse response = FollowWith(answer);
  CHECK(response.outcome == CallOutcome::kTooLarge);
  CHECK(response.bytes <= kMaxBytes);
}

// Guards against memory that grows with framing that the parser does not limit.
TEST_CASE("A response with endless chunk framing fails the call",
          "[platform]") {
  const std::string head =
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  ScriptedEngine::Answer answer;
  SECTION("by a chunk extension") {
    answer.steps.push_back({head + "4;", milliseconds(0)});
    answer.steps.push_back({std::string(16000, 'x'), milliseconds(0), true});
  }
  SECTION("by trailers") {
    answer.steps.push_back({head + "0\r\n", milliseconds(0)});
    answer.steps.push_back(
        {"A: " + std::string(16000, 'x') + "\r\n", milliseconds(0), true});
  }
  // The buffers of both sockets and of the connection.
  constexpr std::uint64_t kMaxAcceptedBytes = 16 << 20;
  std::uint64_t accepted_bytes = 0;
  CHECK(FollowWith(answer, &accepted_bytes).outcome == CallOutcome::kUnknown);
  CHECK(accepted_bytes < kMaxAcceptedBytes);
}

// Guards against a bad answer of the store that is taken for an answer without
// rows, or that keeps a call open.
TEST_CASE("A response that is no answer has an unknown outcome", "[platform]") {
  ScriptedEngine::Answer answer;
  std::string reason;
  SECTION("cut midway") {
    answer.steps.push_back(
        {Head(kRow.size()) + kRow.substr(0, 50), milliseconds(0)});
    answer.then = Then::kClose;
    reason = "50 of";
  }
  SECTION("that stops arriving") {
    answer.steps.push_back(
        {Head(kRow.size()) + kRow.substr(0, 50), milliseconds(0)});
    reason = "timeout after 50 of";
  }
  SECTION("that arrives one byte at a time") {
    answer.steps.push_back({Head(kMaxBytes), milliseconds(0)});
    for (int i = 0; i < 100; ++i)
      answer.steps.push_back({" ", milliseconds(20)});
    reason = "timeout after";
  }
  SECTION("that is not JSON") {
    answer.steps.push_back({Head(5) + "rows?", milliseconds(0)});
    reason = "not a JSON object";
  }
  SECTION("with header fields without end") {
    answer.steps.push_back({"HTTP/1.1 200 OK\r\n", milliseconds(0)});
    answer.steps.push_back({"A: b\r\n", milliseconds(0), true});
    reason = "header limit";
  }
  SECTION("with a chunk extension without end") {
    answer.steps.push_back(
        {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;",
         milliseconds(0)});
    answer.steps.push_back({"a", milliseconds(0), true});
    reason = "buffer overflow after 0 of";
  }
  const TableResponse response = FollowWith(answer);
  CHECK(response.outcome == CallOutcome::kUnknown);
  CHECK_THAT(response.detail, Catch::Contains(reason));
  CHECK(response.rows.empty());
}

TEST_CASE("The era of the store is read from each response", "[platform]") {
  SECTION("as it stands in the header") {
    CHECK(FollowWith(AnswerWith("Store-Era: 3\r\n")).era == 3u);
    CHECK(FollowWith(AnswerWith("store-era: 0\r\n")).era == 0u);
  }
  SECTION("and unknown if it is missing or malformed") {
    for (const char* field :
         {"", "Store-Era:\r\n", "Store-Era: -1\r\n", "Store-Era: 2x\r\n",
          "Store-Era: 1.5\r\n", "Store-Era: 99999999999999999999\r\n",
          "Store-Epoch: 4\r\n"}) {
      INFO(field);
      const TableResponse response = FollowWith(AnswerWith(field));
      CHECK(response.outcome == CallOutcome::kDone);
      CHECK_FALSE(response.era);
    }
  }
}

TEST_CASE("Calls and their bytes are counted by table", "[platform]") {
  ScriptedEngine store(
      kPort, [](const ScriptedEngine::Request&) { return AnswerWith(""); });
  boost::asio::io_context loop;
  StoreClient client(loop, {"127.0.0.1", kPort});
  int answers = 0;
  const auto count = [&](const TableResponse&) {
    if (++answers == 3)
      loop.stop();
  };
  client.Read("t", "", "", kTimeout, count);
  client.ReadRow({"t", "", "k"}, kTimeout, count);
  dandelionmill::storage::RowChange change;
  change.puts.push_back({{"other", "", "k"}, "value"});
  client.Commit(std::move(change), kTimeout, count);
  loop.run_for(std::chrono::seconds(20));
  REQUIRE(client.use_by_table().size() == 2);
  const StoreClient::TableUse& reads = client.use_by_table().at("t");
  CHECK(reads.calls == 2);
  CHECK(reads.sent_bytes == 0);
  CHECK(reads.received_bytes == 2 * kRow.size());
  const StoreClient::TableUse& commits = client.use_by_table().at("other");
  CHECK(commits.calls == 1);
  CHECK(commits.sent_bytes > 0);
  CHECK(commits.received_bytes == kRow.size());
}
