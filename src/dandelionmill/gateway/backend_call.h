#ifndef SRC_DANDELIONMILL_GATEWAY_BACKEND_CALL_H_
#define SRC_DANDELIONMILL_GATEWAY_BACKEND_CALL_H_

#include <boost/asio/steady_timer.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "dandelionmill/base/ids.h"
#include "dandelionmill/gateway/connection_pool.h"
#include "dandelionmill/gateway/overload_detector.h"
#include "dandelionmill/gateway/request_metadata.h"

namespace dandelionmill::gateway {

// Sends one request on one connection to a backend server and streams the
// response to a listener. Must be owned by a shared_ptr.
class BackendCall : public std::enable_shared_from_this<BackendCall> {
 public:
  // Receives the progress of the call until Abandon, OnComplete or OnBroken.
  // No callback runs from within Run.
  class Listener {
   public:
    virtual ~Listener() = default;
    virtual void OnHead(int status,
                        const boost::beast::http::fields& fields,
                        const ResponseMetadata& metadata) = 0;
    virtual void OnBody(std::string_view bytes) = 0;
    // The response is complete. The connection has gone back to the pool or
    // was closed, or the rest of the request is still being written.
    virtual void OnComplete() = 0;
    // The connection failed, or its data was not a response to this request.
    // `reason` is for logs.
    virtual void OnBroken(const std::string& reason) = 0;
  };

  // `pool`, `overload` and `listener` must outlive the call.
  BackendCall(ConnectionPool& pool,
              OverloadDetector& overload,
              const BackendEntry& backend,
              BackendConnectionPtr connection,
              Listener& listener,
              base::AttemptId attempt,
              bool is_head_request);

  // Commands.
  // Sends the request and starts to read the response. `head` holds the request
  // line and the header fields with the empty line after them. `body` must
  // exist as long as `body_owner`, which is released once the request has been
  // written or the connection is closed.
  void Run(std::string head,
           const std::string& body,
           std::shared_ptr<const void> body_owner);
  // Stops reading until Resume; used while the caller reads slowly.
  void Pause() { is_paused_ = true; }
  void Resume();
  // Closes the connection. The listener is not called again.
  void Abandon();

  // Query.
  // Whether the connection has carried a request before.
  bool is_reused() const { return is_reused_; }

 private:
  using Parser =
      boost::beast::http::response_parser<boost::beast::http::buffer_body>;

  void Receive();
  void OnReceived(boost::system::error_code error, std::size_t count);
  // Parses the buffered bytes. Returns false when the call has ended.
  bool Parse();
  bool ParseBody();
  bool OnHeadParsed();
  void OnRequestWritten(boost::system::error_code error);
  // The backend server has ended its side of the connection, and so the body.
  void OnBodyEnded();
  void Complete();
  // Returns the connection to the pool if it can carry another request, and
  // closes it otherwise.
  void ReleaseConnection();
  void Close();
  void Fail(const std::string& reason);
  void ResetParser();

  ConnectionPool& pool_;
  OverloadDetector& overload_;
  const BackendEntry backend_;
  BackendConnectionPtr connection_;
  Listener* listener_;
  const base::AttemptId attempt_;
  const bool is_head_request_;
  const bool is_reused_;
  boost::asio::steady_timer timer_;
  std::string request_head_;
  std::optional<Parser> parser_;
  bool has_reported_head_ = false;
  // The response being parsed belongs to an earlier request.
  bool is_stale_response_ = false;
  int stale_response_count_ = 0;
  std::size_t stale_bytes_ = 0;
  int interim_response_count_ = 0;
  bool is_request_written_ = false;
  bool is_complete_ = false;
  // Whether the complete response leaves the connection usable.
  bool can_reuse_ = false;
  bool is_paused_ = false;
  bool is_receiving_ = false;
};

}  // namespace dandelionmill::gateway

#endif  // SRC_DANDELIONMILL_GATEWAY_BACKEND_CALL_H_
