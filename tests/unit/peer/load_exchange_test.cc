#include "dandelionmill/peer/load_exchange.h"

#include <catch2/catch.hpp>

namespace dandelionmill::peer {
namespace {

TEST_CASE("A load report is read as it was written") {
  const auto report = DecodeLoadReport(
      EncodeLoadReport({"a/1", 7, {{base::BackendId("s-1"), 3, 12000}}}));
  REQUIRE(base::IsOk(report));
  CHECK(base::ValueOf(report).process == "a/1");
  CHECK(base::ValueOf(report).number == 7);
  REQUIRE(base::ValueOf(report).loads.size() == 1);
  CHECK(base::ValueOf(report).loads[0].backend == base::BackendId("s-1"));
  CHECK(base::ValueOf(report).loads[0].in_flight == 3);
  CHECK(base::ValueOf(report).loads[0].pending_prefill_tokens == 12000);
}

// Guards against a datagram from anywhere that ends the process or is taken for
// a report.
TEST_CASE("Bytes that are no load report are rejected") {
  const std::string good =
      EncodeLoadReport({"a/1", 7, {{base::BackendId("s-1"), 3, 12000}}});
  for (std::size_t length = 0; length < good.size(); ++length)
    CHECK_FALSE(base::IsOk(DecodeLoadReport(good.substr(0, length))));
  CHECK_FALSE(base::IsOk(DecodeLoadReport("{\"number\": 1}")));
  CHECK_FALSE(base::IsOk(DecodeLoadReport(
      EncodeLoadReport({"a/1", 7, {{base::BackendId("s-1"), -3, 0}}}))));
}

TEST_CASE("A full load report fits a datagram") {
  LoadReport report{"front-some-zone-name-a-12/0123456789abcdef", 1, {}};
  for (std::size_t i = 0; i < LoadExchange::kMaxLoads; ++i)
    report.loads.push_back({base::BackendId("i-0123456789"), 100, 100000});
  CHECK(EncodeLoadReport(report).size() < 1400);
}

}  // namespace
}  // namespace dandelionmill::peer
