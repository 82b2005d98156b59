#ifndef SRC_DANDELIONMILL_NET_HTTP_MESSAGE_H_
#define SRC_DANDELIONMILL_NET_HTTP_MESSAGE_H_

#include <functional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace dandelionmill::net {

class Fiber;

// Header fields in the order in which they were added. Names are
// case-insensitive.
class HttpFields {
 public:
  void Add(std::string name, std::string value) {
    fields_.emplace_back(std::move(name), std::move(value));
  }
  // Returns the value of the first field named `name`, or an empty string.
  std::string Get(std::string_view name) const;

  auto begin() const { return fields_.begin(); }
  auto end() const { return fields_.end(); }

 private:
  std::vector<std::pair<std::string, std::string>> fields_;
};

// A request that a server received.
struct HttpRequest {
  std::string method;
  // The request target as received: percent-encoded and with the query.
  std::string target;
  // The target without the query, percent-decoded.
  std::string path;
  HttpFields fields;
  std::string body;
};

// Writes a response body in chunks.
class BodyWriter {
 public:
  virtual ~BodyWriter() = default;
  // Returns false if the caller disconnected or did not read within the
  // timeout.
  virtual bool Write(std::string_view bytes) = 0;
  // Returns false once the caller closed the connection or its sending side.
  // A lost network path is not detected.
  virtual bool IsCallerConnected() = 0;
};

// A response, to be filled in by a server's handler.
struct HttpResponse {
  int status = 200;
  HttpFields fields;
  std::string content_type;
  std::string body;
  // If set, streams the body instead of sending `body`. Returns whether the
  // body was written completely.
  std::function<bool(Fiber& fiber, BodyWriter& writer)> write_body;
  bool close_connection = false;
};

// Decodes the percent-encoded bytes of `text`. Malformed sequences are copied
// unchanged.
std::string PercentDecode(std::string_view text);
// Percent-encodes `text` for use as one path segment.
std::string PercentEncode(std::string_view text);

}  // namespace dandelionmill::net

#endif  // SRC_DANDELIONMILL_NET_HTTP_MESSAGE_H_
