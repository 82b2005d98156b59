#ifndef SRC_DANDELIONMILL_GATEWAY_SOCKET_OPTIONS_H_
#define SRC_DANDELIONMILL_GATEWAY_SOCKET_OPTIONS_H_

#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <optional>

namespace dandelionmill::gateway {

// Disables Nagle's algorithm and enables the detection of a broken network
// path.
void SetSocketOptions(boost::asio::ip::tcp::socket& socket);

// Closes the connection with a reset, so that the peer does not take the bytes
// before it for all there are.
void ResetConnection(boost::asio::ip::tcp::socket& socket);

// Returns the number of written bytes that the peer has not acknowledged;
// nothing if the connection is broken.
std::optional<std::size_t> UnacknowledgedBytes(
    boost::asio::ip::tcp::socket& socket);

}  // namespace dandelionmill::gateway

#endif  // SRC_DANDELIONMILL_GATEWAY_SOCKET_OPTIONS_H_
