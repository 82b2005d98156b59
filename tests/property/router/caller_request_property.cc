#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <random>
#include <string>
#include <vector>

#include "dandelionmill/backend/chunk.h"
#include "dandelionmill/router/caller_request.h"
#include "dandelionmill/router/load_report.h"
#include "tests/unit/router/example_config.h"

namespace base = dandelionmill::base;
using dandelionmill::router::CallerHeaders;
using dandelionmill::router::ExampleConfig;
using dandelionmill::router::ReadHeaderParameters;
using dandelionmill::router::ReadModelRequest;

namespace {

constexpr int kInputs = 100000;
constexpr std::uint64_t kSeed = 20261204;

// Returns a random JSON value that uses the names which the parsers look up.
nlohmann::json RandomJson(std::mt19937_64& random, int depth) {
  static const std::vector<std::string> names = {
      "model",  "messages", "content", "prompt",     "stream",
      "tokens", "usage",    "choices", "max_tokens", "n",
      "tools",  "events",   "seq",     "running",    "adapter"};
  switch (random() % (depth > 0 ? 8 : 6)) {
    case 0:
      return nullptr;
    case 1:
      return random() % 2 == 0;
    case 2:
      return static_cast<std::int64_t>(random());
    case 3:
      return 1e300 * static_cast<double>(random());
    case 4:
      return "ochre-8b";
    case 5:
      return std::string(random() % 8, static_cast<char>(random() % 128));
    case 6: {
      auto array = nlohmann::json::array();
      for (auto i = random() % 4; i > 0; --i)
        array.push_back(RandomJson(random, depth - 1));
      return array;
    }
    default: {
      auto object = nlohmann::json::object();
      for (auto i = random() % 6; i > 0; --i)
        object[names[random() % names.size()]] = RandomJson(random, depth - 1);
      return object;
    }
  }
}

// Returns a nearly valid body, so that parsing reaches the later checks.
std::string RandomBody(std::mt19937_64& random) {
  nlohmann::json body = RandomJson(random, 3);
  if (random() % 2 == 0)
    body = {{"prompt", "x"}, {"tools", RandomJson(random, 2)}};
  if (body.is_object() && random() % 2 == 0)
    body["model"] = "ochre-8b";
  if (body.is_object() && random() % 2 == 0)
    body["messages"] = {{{"content", RandomJson(random, 2)}}};
  std::string text =
      body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  for (auto flips = random() % 3; flips > 0 && !text.empty(); --flips)
    text[random() % text.size()] = static_cast<char>(random());
  if (random() % 8 == 0)
    text.resize(random() % (text.size() + 1));
  return text;
}

}  // namespace

TEST_CASE("ReadModelRequest handles every request body", "[property]") {
  std::mt19937_64 random(kSeed);
  const auto config = ExampleConfig();
  int accepted = 0;
  for (int i = 0; i < kInputs; ++i) {
    const std::string body = RandomBody(random);
    const auto request = ReadModelRequest(body, i % 2 == 0, *config);
    if (!base::IsOk(request)) {
      const base::Code code = base::ErrorOf(request).code;
      if (code != base::Code::kMalformedRequest &&
          code != base::Code::kUnknownModel)
        FAIL("unexpected code for " << body);
      continue;
    }
    ++accepted;
    // The forwarded body is JSON, requests a stream and stays within the cap.
    const auto sent = nlohmann::json::parse(base::ValueOf(request).body);
    if (sent["stream"] != true || sent["max_tokens"] < 1 ||
        sent["max_tokens"] > 512 || base::ValueOf(request).prompt_bound < 16)
      FAIL("unbounded request for " << body);
  }
  CHECK(accepted > kInputs / 100);
}

TEST_CASE("Parsers of backend server responses handle every body",
          "[property]") {
  std::mt19937_64 random(kSeed);
  for (int i = 0; i < kInputs; ++i) {
    const std::string text = RandomBody(random);
    dandelionmill::backend::ParseChunk(text);
    dandelionmill::backend::ParseChunkText(text);
    dandelionmill::router::ParseLoad(text, {}, {});
    dandelionmill::router::ParseCacheEvents(text);
  }
  SUCCEED();
}

TEST_CASE("ReadHeaderParameters handles every header value", "[property]") {
  std::mt19937_64 random(kSeed);
  const auto config = ExampleConfig();
  const auto text = [&random] {
    std::string bytes;
    for (auto i = random() % 12; i > 0; --i)
      bytes +=
          static_cast<char>(random() % 4 == 0 ? random() : '0' + random() % 10);
    return bytes;
  };
  for (int i = 0; i < kInputs; ++i) {
    CallerHeaders headers;
    headers.authorization = "Bearer pigments.secret";
    headers.deadline_ms = text();
    headers.priority = text();
    headers.idempotency_key = text();
    const auto parameters = ReadHeaderParameters(headers, *config);
    if (!base::IsOk(parameters))
      continue;
    const auto& good = base::ValueOf(parameters);
    if (good.deadline.count() > 3600000 || good.priority < 0 ||
        good.priority > 9 || good.key.empty())
      FAIL("out of range: " << headers.deadline_ms << " " << headers.priority);
  }
  SUCCEED();
}
