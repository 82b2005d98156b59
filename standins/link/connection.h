#ifndef STANDINS_LINK_CONNECTION_H_
#define STANDINS_LINK_CONNECTION_H_

#include <poll.h>

#include <chrono>
#include <cstddef>
#include <deque>
#include <string>
#include <vector>

#include "dandelionmill/base/units.h"

namespace standins::link {

// A relayed connection: two sockets and the bytes queued between them. Not
// thread-safe.
class Connection {
 public:
  // Takes ownership of both sockets, which must be non-blocking.
  Connection(int client, int target);
  ~Connection();
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  // Appends the two poll entries of the connection, client first, to `polled`.
  void AppendPollEntries(std::vector<pollfd>& polled,
                         dandelionmill::base::MonoTime now) const;

  // Receives and sends bytes as the two poll entries allow; each byte is queued
  // for `delay`. Returns false when both directions are closed or a socket call
  // fails.
  bool Transfer(const pollfd& client,
                const pollfd& target,
                std::chrono::milliseconds delay,
                dandelionmill::base::MonoTime now);

  // Returns whether bytes are queued.
  bool HasQueuedBytes() const;

 private:
  struct Chunk {
    dandelionmill::base::MonoTime send_at;
    std::string bytes;
  };
  // One direction of the connection.
  struct Flow {
    int from = -1;
    int to = -1;
    std::deque<Chunk> chunks;
    std::size_t queued_bytes = 0;
    bool read_closed = false;
    bool write_closed = false;
  };

  static bool Receive(Flow& flow,
                      std::chrono::milliseconds delay,
                      dandelionmill::base::MonoTime now);
  static bool Deliver(Flow& flow, dandelionmill::base::MonoTime now);
  static short PollEvents(const Flow& reads,
                          const Flow& writes,
                          dandelionmill::base::MonoTime now);

  Flow to_target_;
  Flow to_client_;
};

}  // namespace standins::link

#endif  // STANDINS_LINK_CONNECTION_H_
