#include "dandelionmill/gateway/relay_protocol.h"

#include <boost/beast/http/verb.hpp>
#include <charconv>

namespace dandelionmill::gateway {
namespace {

namespace http = boost::beast::http;

constexpr char kIncarnationField[] = "Backend-Incarnation";
constexpr char kInstanceField[] = "Relay-For";
constexpr char kAttemptField[] = "Relay-Request";

std::string Field(const char* name, const std::string& value) {
  return std::string(name) + ": " + value + "\r\n";
}

}  // namespace

std::string FormatRelayRequest(const RelayRequest& request) {
  const std::string& backend = request.backend.value();
  return "CONNECT " + backend + " HTTP/1.1\r\n" + Field("Host", backend) +
         Field(kIncarnationField, std::to_string(request.incarnation)) +
         Field(kInstanceField, request.instance.value()) +
         Field(kAttemptField, request.attempt.value()) + "\r\n";
}

base::Result<RelayRequest> ParseRelayRequest(
    const http::request<http::empty_body>& message) {
  RelayRequest request;
  const std::string incarnation(message[kIncarnationField]);
  const char* end = incarnation.data() + incarnation.size();
  const auto [stop, error] =
      std::from_chars(incarnation.data(), end, request.incarnation);
  if (message.method() != http::verb::connect || message.target().empty() ||
      error != std::errc() || stop != end) {
    return base::Error{base::Code::kMalformedRequest,
                       "not a request to relay a connection"};
  }
  request.backend = base::BackendId(std::string(message.target()));
  request.instance = base::InstanceId(std::string(message[kInstanceField]));
  request.attempt = base::AttemptId(std::string(message[kAttemptField]));
  return request;
}

std::string FormatRelayStatus(RelayStatus status) {
  return "HTTP/1.1 " + std::to_string(static_cast<int>(status)) + " " +
         ToString(status) + "\r\n" +
         (status == RelayStatus::kConnected
              ? "\r\n"
              : "Content-Length: 0\r\nConnection: close\r\n\r\n");
}

RelayStatus ParseRelayStatus(unsigned status_code) {
  for (const RelayStatus status :
       {RelayStatus::kConnected, RelayStatus::kBackendNotUsable,
        RelayStatus::kBackendRefused, RelayStatus::kBackendTimedOut}) {
    if (static_cast<unsigned>(status) == status_code)
      return status;
  }
  return RelayStatus::kUnavailable;
}

const char* ToString(RelayStatus status) {
  switch (status) {
    case RelayStatus::kNoAnswer:
      return "no_answer";
    case RelayStatus::kConnected:
      return "connected";
    case RelayStatus::kBackendNotUsable:
      return "backend_not_usable";
    case RelayStatus::kBackendRefused:
      return "backend_refused";
    case RelayStatus::kUnavailable:
      return "unavailable";
    case RelayStatus::kBackendTimedOut:
      return "backend_timed_out";
  }
  return "unknown";
}

}  // namespace dandelionmill::gateway
