#include "dandelionmill/peer/load_exchange.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "dandelionmill/base/json_numbers.h"
#include "dandelionmill/log/event.h"

namespace dandelionmill::peer {
namespace {

namespace asio = boost::asio;
using asio::ip::udp;
using boost::system::error_code;
using nlohmann::json;

// Larger counts are malformed.
constexpr std::int64_t kMaxReportedRequests = 1000000;
constexpr std::int64_t kMaxReportedTokens = 1000000000;

base::Error MalformedReport(const std::string& detail) {
  return {base::Code::kMalformedMessage, "load report: " + detail};
}

udp::endpoint ToEndpoint(const net::Address& address, error_code& error) {
  return {asio::ip::make_address(address.host, error),
          static_cast<unsigned short>(address.port + 1)};
}

bool IsLoadEntry(const json& entry) {
  const auto is_count = [](const json& value, std::int64_t most) {
    const auto count = base::ToJsonInteger(value);
    return count && *count >= 0 && *count <= most;
  };
  return entry.is_array() && entry.size() == 3 && entry[0].is_string() &&
         is_count(entry[1], kMaxReportedRequests) &&
         is_count(entry[2], kMaxReportedTokens);
}

}  // namespace

std::string EncodeLoadReport(const LoadReport& report) {
  json loads = json::array();
  for (const scheduling::InstanceLoad& load : report.loads) {
    loads.push_back(
        {load.backend.value(), load.in_flight, load.pending_prefill_tokens});
  }
  const std::vector<std::uint8_t> bytes = json::to_msgpack(
      json::array({report.process, report.number, std::move(loads)}));
  return {bytes.begin(), bytes.end()};
}

base::Result<LoadReport> DecodeLoadReport(const std::string& datagram) {
  const json message = json::from_msgpack(datagram, true, false);
  if (!message.is_array() || message.size() < 3 || !message[0].is_string() ||
      !message[1].is_number_unsigned() || !message[2].is_array())
    return MalformedReport("not a list of process, number and loads");
  if (message[2].size() > LoadExchange::kMaxLoads)
    return MalformedReport("too many backend servers");
  LoadReport report;
  report.process = message[0].get<std::string>();
  report.number = message[1].get<std::uint64_t>();
  for (const json& entry : message[2]) {
    if (!IsLoadEntry(entry))
      return MalformedReport("an entry is wrong");
    report.loads.push_back({base::BackendId(entry[0].get<std::string>()),
                            entry[1].get<int>(), entry[2].get<base::Tokens>()});
  }
  return report;
}

LoadExchange::LoadExchange(asio::io_context& loop,
                           std::string process,
                           std::uint64_t seed,
                           Handler handler)
    : process_(std::move(process)),
      handler_(std::move(handler)),
      socket_(loop),
      random_(seed) {}

base::Status LoadExchange::Listen(const net::Address& instance_address) {
  error_code error;
  const udp::endpoint endpoint = ToEndpoint(instance_address, error);
  if (!error)
    socket_.open(endpoint.protocol(), error);
  if (!error)
    socket_.bind(endpoint, error);
  if (!error)
    socket_.non_blocking(true, error);
  if (error) {
    return base::Error{base::Code::kBadSetting,
                       "port " + std::to_string(instance_address.port + 1) +
                           " cannot be bound: " + error.message()};
  }
  Receive();
  return base::Unit{};
}

void LoadExchange::SetInstances(std::vector<Instance> others) {
  others_.clear();
  for (const Instance& other : others) {
    error_code error;
    const udp::endpoint endpoint = ToEndpoint(other.address, error);
    if (!error)
      others_.push_back(endpoint);
  }
}

void LoadExchange::Send(std::vector<scheduling::InstanceLoad> loads) {
  if (!socket_.is_open() || others_.empty())
    return;
  if (loads.size() > kMaxLoads) {
    std::nth_element(
        loads.begin(), loads.begin() + kMaxLoads, loads.end(),
        [](const auto& a, const auto& b) { return a.in_flight > b.in_flight; });
    loads.resize(kMaxLoads);
  }
  const std::string datagram =
      EncodeLoadReport({process_, ++number_, std::move(loads)});
  // The first targets of a random order.
  const std::size_t count = std::min(kMaxTargets, others_.size());
  for (std::size_t i = 0; i < count; ++i) {
    if (others_.size() > kMaxTargets)
      std::swap(others_[i], others_[i + random_() % (others_.size() - i)]);
    // A report that cannot be sent is as one that was lost.
    error_code ignored;
    socket_.send_to(asio::buffer(datagram), others_[i], 0, ignored);
  }
}

void LoadExchange::Receive() {
  socket_.async_receive_from(
      asio::buffer(buffer_), sender_,
      [this](error_code error, std::size_t count) {
        if (error == asio::error::operation_aborted)
          return;
        if (!error) {
          auto report = DecodeLoadReport(std::string(buffer_.data(), count));
          if (base::IsOk(report)) {
            handler_(base::ValueOf(std::move(report)));
          } else {
            log::Event(log::Level::kWarning, "datagram_rejected")
                .With("from", sender_)
                .With(base::ErrorOf(report));
          }
        }
        Receive();
      });
}

}  // namespace dandelionmill::peer
