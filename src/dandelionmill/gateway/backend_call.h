#ifndef SRC_DANDELIONMILL_GATEWAY_BACKEND_CALL_H_
#define SRC_DANDELIONMILL_GATEWAY_BACKEND_CALL_H_

#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "dandelionmill/base/ids.h"
#include "dandelionmill/gateway/connection_pool.h"
#include "dandelionmill/gateway/overload_detector.h"
#include "dandelionmill/gateway/request_terms.h"

namespace dandelionmill::gateway {

// One request on one connection to a backend server, and its answer as it
// comes. Must be held by a shared_ptr.
class BackendCall : public std::enable_shared_from_this<BackendCall> {
 public:
  // Told what happens, until Abandon. None runs from within Run.
  class Listener {
   public:
    virtual ~Listener() = default;
    virtual void OnHead(int status,
                        const boost::beast::http::fields& fields,
                        const AnswerTerms& terms) = 0;
    virtual void OnBody(std::string_view bytes) = 0;
    // The answer is complete. The connection is kept or closed.
    virtual void OnComplete() = 0;
    // The connection broke or carried something else; `reason` is for logs.
    virtual void OnBroken(const std::string& reason) = 0;
  };

  // `head` holds the request line and the fields with the empty line after
  // them. `pool`, `overload` and `listener` must outlive the
  // call.
  BackendCall(ConnectionPool& pool,
              OverloadDetector& overload,
              const BackendEntry& backend,
              BackendConnectionPtr connection,
              Listener& listener,
              base::AttemptId attempt,
              bool is_head_request);

  // Commands.
  // `body` must outlive the call.
  void Run(std::string head, const std::string& body);
  // Stops reading until Resume: the caller reads slowly.
  void Pause() { is_paused_ = true; }
  void Resume();
  // Closes the connection; the listener hears nothing any more.
  void Abandon();

  // Query.
  bool is_reused() const { return is_reused_; }

 private:
  using Parser =
      boost::beast::http::response_parser<boost::beast::http::buffer_body>;

  void Receive();
  void OnReceived(boost::system::error_code error, std::size_t count);
  // Parses what is buffered. Returns false when the call is over.
  bool Parse();
  bool ParseBody();
  bool OnHeadParsed();
  void Complete();
  void Break(const std::string& reason);
  void NewParser();

  ConnectionPool& pool_;
  OverloadDetector& overload_;
  const BackendEntry backend_;
  BackendConnectionPtr connection_;
  Listener* listener_;
  const base::AttemptId attempt_;
  const bool is_head_request_;
  const bool is_reused_;
  std::string head_;
  std::optional<Parser> parser_;
  bool head_reported_ = false;
  // The answer under way belongs to an earlier request.
  bool is_foreign_ = false;
  int skipped_answers_ = 0;
  bool is_written_ = false;
  bool is_paused_ = false;
  bool is_receiving_ = false;
};

}  // namespace dandelionmill::gateway

#endif  // SRC_DANDELIONMILL_GATEWAY_BACKEND_CALL_H_
