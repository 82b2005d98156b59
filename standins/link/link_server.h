#ifndef STANDINS_LINK_LINK_SERVER_H_
#define STANDINS_LINK_LINK_SERVER_H_

#include <memory>

#include "dandelionmill/base/result.h"
#include "dandelionmill/net/address.h"

namespace standins::link {

// Implements standin-link: relays TCP connections and, on command through its
// admin port, delays, cuts or silences them.
//
// While the link is cut, no bytes are relayed. Existing connections resume when
// the cut ends, as after packet loss; connections accepted during the cut are
// closed when it ends. Connections that were open when "silent" was set stay
// open but relay no more bytes.
class LinkServer {
 public:
  struct Options {
    dandelionmill::net::Address listen;
    dandelionmill::net::Address target;
    dandelionmill::net::Address admin;
  };

  explicit LinkServer(Options options);
  ~LinkServer();

  // Fails with kBadSetting if an address cannot be bound.
  dandelionmill::base::Status Start();
  void Stop();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace standins::link

#endif  // STANDINS_LINK_LINK_SERVER_H_
