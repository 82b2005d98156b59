#include "dandelionmill/net/address.h"

#include <arpa/inet.h>

#include <charconv>

namespace dandelionmill::net {

base::Result<Address> ParseAddress(const std::string& text) {
  const base::Error error{
      base::Code::kMalformedRequest,
      "\"" + text + "\" is not an IPv4 address and port like 127.0.0.1:8080"};
  const std::size_t colon = text.find(':');
  if (colon == std::string::npos)
    return error;
  Address address;
  address.host = text.substr(0, colon);
  in_addr parsed{};
  if (inet_pton(AF_INET, address.host.c_str(), &parsed) != 1)
    return error;
  const char* end = text.data() + text.size();
  const auto [stop, errc] =
      std::from_chars(text.data() + colon + 1, end, address.port);
  if (errc != std::errc() || stop != end || address.port < 1 ||
      address.port > 65535)
    return error;
  return address;
}

std::string ToString(const Address& address) {
  return address.host + ":" + std::to_string(address.port);
}

}  // namespace dandelionmill::net
