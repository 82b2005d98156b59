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

// How the connection of a StreamReader ended.
struct ReadEnd {
  enum class Kind {
    // No connection was established; no byte was sent.
    kNotConnected,
    // A response with a status other than 200, in `status` and `body`.
    kStatus,
    // A response with status 200 was received completely.
    kFinished,
    // The connection was lost or the stream was malformed.
    kBroken,
  };
  Kind kind = Kind::kBroken;
  int status = 0;
  // The start of the body of an error response.
  std::string body;
};

// Reads one event stream over a new connection in its own fiber, so that the
// consumer of the events can wait with a timeout and drop a silent connection.
class StreamReader {
 public:
  struct Options {
    net::Address address;
    net::HttpClientRequest call;
    std::chrono::milliseconds connect_timeout{1000};
    // Time without data after which the connection is closed.
    std::chrono::milliseconds read_timeout{60000};
  };
  // The events read, possibly none, and the end if it was reached.
  struct Batch {
    std::vector<SseEvent> events;
    std::optional<ReadEnd> end;
  };

  StreamReader(net::Fiber& consumer, Options options);
  // Closes the connection.
  ~StreamReader();
  StreamReader(const StreamReader&) = delete;
  StreamReader& operator=(const StreamReader&) = delete;

  // Waits until an event or the end was read, or until `deadline`, and returns
  // everything read since the last call.
  Batch Take(base::MonoTime deadline);

  // Waits like Take() and returns whether there is an event or the end to take.
  bool Wait(base::MonoTime deadline);

 private:
  class Connection;

  net::Fiber& consumer_;
  const std::shared_ptr<Connection> connection_;
};

}  // namespace dandelionmill::backend

#endif  // SRC_DANDELIONMILL_BACKEND_STREAM_READER_H_
