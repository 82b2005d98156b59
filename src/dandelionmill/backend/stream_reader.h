#ifndef SRC_DANDELIONMILL_BACKEND_STREAM_READER_H_
#define SRC_DANDELIONMILL_BACKEND_STREAM_READER_H_

#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "dandelionmill/backend/sse_parser.h"
#include "dandelionmill/base/units.h"
#include "dandelionmill/net/address.h"
#include "dandelionmill/net/fiber.h"
#include "dandelionmill/net/http_client.h"

namespace dandelionmill::backend {

// How the connection of a reader ended.
struct ReadEnd {
  enum class Kind {
    // No connection could be made: no byte was sent.
    kNotConnected,
    // An answer other than 200; `status`, `body` and `retry_after` hold it.
    kStatus,
    // The answer ended in the regular way.
    kFinished,
    // The connection broke, or the stream was malformed.
    kBroken,
  };
  Kind kind = Kind::kBroken;
  int status = 0;
  std::string body;
};

// Reads one event stream over a fresh connection in a fiber of its own, so that
// whoever consumes the events can wait with a timeout and give up a connection
// that has gone silent.
class StreamReader {
 public:
  struct Options {
    net::Address address;
    net::HttpCall call;
    std::chrono::milliseconds connect_timeout{1000};
    // Silence after which the connection is given up.
    std::chrono::milliseconds read_timeout{60000};
  };
  // What was read: events, possibly none, and the end if it was reached.
  struct Batch {
    std::vector<SseEvent> events;
    std::optional<ReadEnd> end;
  };

  StreamReader(net::Fiber& consumer, Options options);
  // Drops the connection.
  ~StreamReader();
  StreamReader(const StreamReader&) = delete;
  StreamReader& operator=(const StreamReader&) = delete;

  // Waits until something was read or `until`, and returns all of it.
  Batch Take(base::MonoTime until);

  // Waits like Take and returns whether there is something to take.
  bool Wait(base::MonoTime until);

 private:
  class Connection;

  net::Fiber& consumer_;
  const std::shared_ptr<Connection> connection_;
};

}  // namespace dandelionmill::backend

#endif  // SRC_DANDELIONMILL_BACKEND_STREAM_READER_H_
