#ifndef SRC_DANDELIONMILL_NET_HTTP_MESSAGE_H_
#define SRC_DANDELIONMILL_NET_HTTP_MESSAGE_H_

#include <functional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace dandelionmill::net {

class Fiber;

// Header fields in order. Names compare without regard to case.
class HttpFields {
 public:
  void Add(std::string name, std::string value) {
    fields_.emplace_back(std::move(name), std::move(value));
  }
  // Returns the first field of that name, or nothing as an empty text.
  std::string Get(std::string_view name) const;

  auto begin() const { return fields_.begin(); }
  auto end() const { return fields_.end(); }

 private:
  std::vector<std::pair<std::string, std::string>> fields_;
};

// A request as a server got it.
struct HttpRequest {
  std::string method;
  // As sent, percent-encoding and query included.
  std::string target;
  // The target without its query, decoded.
  std::string path;
  HttpFields fields;
  std::string body;
};

// The body of an answer that is written as it comes to be.
class BodyWriter {
 public:
  virtual ~BodyWriter() = default;
  // Returns false when the caller is gone or does not read.
  virtual bool Write(std::string_view bytes) = 0;
  // Whether the caller's side is still open, as far as can be told.
  virtual bool IsCallerThere() = 0;
};

// An answer, to be filled in by a server's handler.
struct HttpResponse {
  int status = 200;
  HttpFields fields;
  std::string content_type;
  std::string body;
  // Writes the body in place of `body`; returns whether it is complete.
  std::function<bool(Fiber& fiber, BodyWriter& writer)> write_body;
  bool closes_connection = false;
};

// Returns `text` with its percent-encoded bytes decoded; what is no encoding
// stays as it is.
std::string DecodePercent(std::string_view text);
// Returns `text` fit for one segment of a path.
std::string EncodePercent(std::string_view text);

}  // namespace dandelionmill::net

#endif  // SRC_DANDELIONMILL_NET_HTTP_MESSAGE_H_
