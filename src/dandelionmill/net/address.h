#ifndef SRC_DANDELIONMILL_NET_ADDRESS_H_
#define SRC_DANDELIONMILL_NET_ADDRESS_H_

#include <string>
#include <tuple>

#include "dandelionmill/base/result.h"

namespace dandelionmill::net {

// An IPv4 address in dotted form and a TCP port (1 to 65535).
struct Address {
  std::string host;
  int port = 0;

  friend bool operator==(const Address& a, const Address& b) {
    return a.port == b.port && a.host == b.host;
  }
  friend bool operator!=(const Address& a, const Address& b) {
    return !(a == b);
  }
  friend bool operator<(const Address& a, const Address& b) {
    return std::tie(a.host, a.port) < std::tie(b.host, b.port);
  }
};

// Parses "127.0.0.1:8080". Fails with kMalformedRequest on anything else.
base::Result<Address> ParseAddress(const std::string& text);

std::string ToString(const Address& address);  // "host:port"

}  // namespace dandelionmill::net

#endif  // SRC_DANDELIONMILL_NET_ADDRESS_H_
