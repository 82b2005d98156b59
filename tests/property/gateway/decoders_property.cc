#include <boost/asio/buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <catch2/catch.hpp>
#include <cstdlib>
#include <string_view>

#include "dandelionmill/gateway/caller_session.h"
#include "dandelionmill/gateway/event_framer.h"
#include "dandelionmill/gateway/gateway_settings.h"
#include "dandelionmill/platform/desired_state.h"
#include "dandelionmill/platform/engine_entry.h"
#include "dandelionmill/platform/headers.h"
#include "dandelionmill/platform/node_settings.h"
#include "dandelionmill/platform/store_messages.h"
#include "dandelionmill/prepaid/rows.h"
#include "tests/property/mutator.h"

namespace http = boost::beast::http;
namespace platform = dandelionmill::platform;

namespace {

const std::vector<std::string>& Samples() {
  static const std::vector<std::string> samples = {
      R"({"version":7,"routes":[{"host":"h","prefix":"/x/","kind":"safe"}]})",
      R"({"version":7,"tenants":[{"name":"t","apiKeys":["k"],"prepaid":5}]})",
      R"({"service":"m","address":"10.0.0.1:80","zone":"z","slots":3})",
      R"({"rows":[{"key":"k","value":"YQ==","rowVersion":3}],"nowMs":1})",
      R"({"process":"p","sequence":3,"shares":{"t":[5,3,1]}})",
      "nodeName=a\nzone=b\nlisten.frontend=1.2.3.4:5\n",
      "id: 1\ndata: a\n\nid: 2\ndata: b\n\n",
      "POST /x/ HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc",
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
      R"({"metrics_port":9464,"log_lines_per_s":400,"placement":"cost"})"};
  return samples;
}

// Returns an integer from the environment, so that longer runs can be
// requested.
std::uint64_t ReadEnvironment(const char* name, std::uint64_t default_value) {
  const char* text = std::getenv(name);
  return text == nullptr ? default_value : std::strtoull(text, nullptr, 10);
}

template <class Parser>
void Parse(const std::string& text) {
  Parser parser;
  parser.eager(true);
  parser.header_limit(4096);
  parser.body_limit(4096);
  boost::system::error_code error;
  std::string_view remaining = text;
  while (!remaining.empty() && !error && !parser.is_done()) {
    const std::size_t used = parser.put(
        boost::asio::buffer(remaining.data(), remaining.size()), error);
    if (used == 0)
      break;
    remaining.remove_prefix(used);
  }
  dandelionmill::gateway::FindAmbiguity(parser.get());
}

}  // namespace

TEST_CASE("Decoders report malformed input only through their results",
          "[property]") {
  const std::uint64_t inputs = ReadEnvironment("DANDELION_FUZZ_INPUTS", 20000);
  tests::Mutator mutator(
      static_cast<unsigned>(ReadEnvironment("DANDELION_FUZZ_SEED", 20261204)));
  for (std::uint64_t i = 0; i < inputs; ++i) {
    const std::string text =
        mutator.Mutate(Samples()[mutator.RandomBelow(Samples().size())]);
    platform::DecodeDesiredState(text);
    platform::DecodeEngineEntry("i", text);
    platform::DecodeStoreResponse(
        static_cast<int>(100 + mutator.RandomBelow(500)), text);
    platform::ParseNodeSettings(text);
    dandelionmill::prepaid::DecodeHolderRow(text);
    dandelionmill::prepaid::DecodeAccountRow(text);
    dandelionmill::settings::Check(dandelionmill::gateway::GatewaySchema(),
                                   text);
    Parse<http::request_parser<http::string_body>>(text);
    Parse<http::response_parser<http::string_body>>(text);
    dandelionmill::gateway::EventFramer framer;
    std::vector<dandelionmill::gateway::FramedEvent> events;
    framer.Feed(text, events);
    boost::beast::http::fields fields;
    for (const char* name : {"Token-Count", "Prompt-Prefix", "Keep-Alive",
                             "Server-Load", "Deadline-Milliseconds"})
      fields.set(name, text.substr(0, 200));
    platform::DecodeRequestMetadata(fields);
    platform::DecodeResponseMetadata(200, fields);
  }
  SUCCEED("every input returned a result");
}
