#ifndef SRC_DANDELIONMILL_GATEWAY_EXCHANGE_H_
#define SRC_DANDELIONMILL_GATEWAY_EXCHANGE_H_

#include <boost/asio/steady_timer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "dandelionmill/gateway/backend_call.h"
#include "dandelionmill/gateway/core.h"
#include "dandelionmill/gateway/event_framer.h"
#include "dandelionmill/gateway/refusal.h"
#include "dandelionmill/gateway/request_terms.h"
#include "dandelionmill/log/event.h"

namespace dandelionmill::gateway {

using CallerRequest =
    boost::beast::http::request<boost::beast::http::string_body>;

// The caller's side of an exchange.
class CallerPort {
 public:
  virtual ~CallerPort() = default;
  // Queues bytes of the answer.
  virtual void Send(std::string bytes) = 0;
  // The answer is complete; the connection may carry another request.
  virtual void Finish(bool keep_connection) = 0;
  // The answer cannot be completed: closes so that the caller notices.
  virtual void Abort() = 0;
  // Bytes that the caller has not taken yet.
  virtual std::size_t queued_bytes() const = 0;
};

// One request of a caller from its last byte to the end of its answer: checks
// it, reserves prepaid tokens, sends it to a backend server and again where it
// may run again, and passes the answer on. Must be held by a shared_ptr.
class Exchange : public std::enable_shared_from_this<Exchange>,
                 private BackendCall::Listener {
 public:
  Exchange(Core& core, CallerPort& caller, CallerRequest request);
  ~Exchange() override;

  // Commands.
  void Start();
  // The caller closed its connection.
  void OnCallerGone();
  // The caller has taken what was queued.
  void OnCallerDrained();
  // The process ends: fails the request if it is still under way.
  void OnShutdown();

 private:
  // BackendCall::Listener:
  void OnHead(int status,
              const boost::beast::http::fields& fields,
              const AnswerTerms& terms) override;
  void OnBody(std::string_view bytes) override;
  void OnComplete() override;
  void OnBroken(const std::string& reason) override;

  // Returns why the request cannot be served, if it cannot.
  std::optional<Refusal> Check();
  void Reserve();
  void OnReserved(prepaid::ReserveOutcome outcome);
  // Chooses a backend server and sends the request there.
  void Place();
  void Connect();
  void OnConnected(ConnectionPool::Result result);
  void Send(BackendConnectionPtr connection);
  // Whether the request may go to one more backend server; takes an extra
  // attempt from the allowance if so.
  bool MayTryAgain();
  // The attempt under way has ended.
  void EndAttempt(AttemptEnd end);
  void TryAgainOr(const Refusal& refusal);
  void OnRejected();
  void OnFailureStatus();
  void RelayWhole();
  void RelayEvents(std::string_view bytes);
  void SendHead(bool chunked, std::size_t length);
  void SendChunk(std::string_view bytes);
  void ArmTimer();
  void OnTimer();
  void OnDeadline();
  bool IsBackendSilent(base::MonoTime now) const;
  void Refuse(const Refusal& refusal);
  void Finish(const char* outcome,
              int status,
              int code,
              const std::string& detail);
  void SettleTokens();
  // Adds the request, and what the choice of the backend server went by.
  log::Event& WithChoice(log::Event& event) const;
  std::chrono::milliseconds TimeLeft() const;
  std::string RequestHead() const;

  Core& core_;
  CallerPort* caller_;
  const CallerRequest request_;
  const bool caller_keeps_connection_;
  const base::MonoTime begun_;
  base::MonoTime deadline_{};
  boost::asio::steady_timer timer_;

  FleetConfigPtr config_;
  RequestTerms terms_;
  const Route* route_ = nullptr;
  const ClientAccount* account_ = nullptr;
  const Service* service_ = nullptr;
  std::string digest_;

  base::Tokens reserved_ = 0;
  base::Tokens used_ = 0;
  std::uint64_t waiter_ = 0;

  // The attempt under way.
  std::optional<BackendEntry> backend_;
  // Its `backend` may be gone; `backend_` is a copy.
  PlacementChoice choice_;
  std::shared_ptr<BackendCall> call_;
  bool attempt_open_ = false;
  bool prompt_open_ = false;
  base::MonoTime sent_at_{};
  int status_ = 0;
  AnswerTerms answer_;
  boost::beast::http::fields fields_;
  std::string body_;
  bool is_event_stream_ = false;
  EventFramer framer_;

  // Over all attempts.
  int sends_ = 0;
  // Why the last failed attempt was not followed by another, for the log.
  const char* no_retry_ = "";
  int connect_failures_ = 0;
  std::set<base::BackendId> tried_;
  // An attempt may have run the request.
  bool may_have_run_ = false;
  bool head_sent_ = false;
  // Of the head that the caller has.
  int head_status_ = 0;
  bool is_chunked_ = false;
  std::string last_event_id_;
  std::int64_t events_ = 0;
  base::MonoTime first_event_at_{};
  base::MonoTime last_event_at_{};
  bool is_finished_ = false;
};

}  // namespace dandelionmill::gateway

#endif  // SRC_DANDELIONMILL_GATEWAY_EXCHANGE_H_
