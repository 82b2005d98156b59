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
#include "dandelionmill/gateway/crash_guard.h"
#include "dandelionmill/gateway/event_framer.h"
#include "dandelionmill/gateway/gateway_context.h"
#include "dandelionmill/gateway/incarnation_check.h"
#include "dandelionmill/gateway/refusal.h"
#include "dandelionmill/gateway/request_metadata.h"
#include "dandelionmill/log/event.h"
#include "dandelionmill/scheduling/home_regions.h"

namespace dandelionmill::gateway {

using CallerRequest =
    boost::beast::http::request<boost::beast::http::string_body>;

// Writes the response of one exchange to the caller's connection.
class ResponseWriter {
 public:
  virtual ~ResponseWriter() = default;
  // Queues bytes of the response.
  virtual void Send(std::string bytes) = 0;
  // The response is complete. Another request may follow on the connection if
  // `keep_connection`.
  virtual void EndResponse(bool keep_connection) = 0;
  // Closes the connection without completing the response, so that the caller
  // notices the failure.
  virtual void Abort() = 0;
  // Bytes that are not written to the socket yet.
  virtual std::size_t queued_bytes() const = 0;
  // `bytes` of the response are buffered and not sent yet.
  virtual void OnResponseBuffered(std::size_t bytes) = 0;
  // Whether the caller has closed the connection, also if that was not read
  // yet.
  virtual bool HasCallerLeft() = 0;
};

// Handles one request of a caller, from the complete request to the end of the
// response: validates it, reserves prepaid tokens, sends it to a backend
// server, retries it on another one where that is allowed, and relays the
// response. Must be owned by a shared_ptr.
class Exchange : public std::enable_shared_from_this<Exchange>,
                 private BackendCall::Listener {
 public:
  Exchange(GatewayContext& context,
           ResponseWriter& response_writer,
           CallerRequest request);
  ~Exchange() override;

  // Commands.
  void Start();
  // The caller closed the connection.
  void OnCallerDisconnected();
  // All queued bytes of the response have been written.
  void OnResponseFlushed();
  // The process exits soon: fails the request if it is still in progress.
  void OnShutdown();

 private:
  // BackendCall::Listener:
  void OnHead(int status,
              const boost::beast::http::fields& fields,
              const ResponseMetadata& metadata) override;
  void OnBody(std::string_view bytes) override;
  void OnComplete() override;
  void OnBroken(const std::string& reason) override;

  // Refuses the request if it would wait too long on the link of this instance,
  // so that the retry reaches another one. Returns whether it did.
  bool RedirectToInstanceWithRoom();
  // Returns the refusal if the request cannot be served.
  std::optional<Refusal> Validate();
  // Returns the refusal of a request that the configuration does not allow. It
  // is not final while a newer configuration may allow the request.
  Refusal RefuseByConfig(base::Code code, const std::string& detail) const;
  // Returns the refusal if a prompt part of the request crashes the backend
  // servers that run it.
  std::optional<Refusal> RefuseQuarantinedPart() const;
  // Determines the software version at which a resumed stream must go on, then
  // reserves prepaid tokens.
  void ResolveVersion();
  void OnVersionFound(const StreamRecords::Result& result);
  void Reserve();
  void OnReserved(prepaid::ReserveOutcome outcome);
  // Chooses a backend server and sends the request to it.
  void StartAttempt();
  PlacementRequest MakePlacementRequest() const;
  // Removes the backend servers that may not run the request, whatever their
  // load. Returns the refusal if that leaves none and the reason is known.
  std::optional<Refusal> RemoveIneligible(
      std::vector<const BackendEntry*>& backends);
  // Removes those at which the stream must not begin or go on.
  std::optional<Refusal> RemoveOtherVersions(
      std::vector<const BackendEntry*>& backends) const;
  // Removes those outside the home regions of the request and those in
  // evacuated zones.
  std::optional<Refusal> RemoveForbiddenZones(
      std::vector<const BackendEntry*>& backends);
  std::optional<Refusal> RemoveOutsideHomeRegions(
      std::vector<const BackendEntry*>& backends);
  // Returns the refusal if no backend server is in a zone where the request may
  // run. Call before the request waits for anything else.
  std::optional<Refusal> RefuseForbiddenZones();
  // Returns where the request may run, by the configuration in force. A route
  // or account that has been removed keeps the home regions it had last.
  const scheduling::AllowedZones& UpdateAllowedZones();
  // Returns the client account of the request in a newer configuration.
  const ClientAccount* FindAccountIn(const FleetConfig& config) const;
  // Whether the request may still be sent on the connection to the chosen
  // backend server.
  bool MayBeSentOn(const BackendConnection& connection);
  // Excludes from `request` those of `backends` that take no request now.
  void ExcludeUnavailable(const std::vector<const BackendEntry*>& backends,
                          PlacementRequest& request,
                          base::MonoTime now) const;
  // Records the choice and resets the state of the current attempt.
  void BeginAttempt(const PlacementChoice& choice,
                    const PlacementRequest& request,
                    base::MonoTime now);
  void Connect();
  void OnConnected(ConnectionPool::Result result);
  // Chooses another backend server after one could not be reached, unless
  // that has happened too often. `is_own_path` if the cause is on the side of
  // this instance.
  void ConnectElsewhere(bool may_try_again, bool is_own_path);
  // Sends the request once the incarnation of the backend server is known as
  // far as the request needs it.
  void UseConnection(BackendConnectionPtr connection);
  void OnIncarnation(IncarnationReport report);
  // Whether the connection may lead to a cold process that is not known yet.
  bool NeedsWarmUpCheck(const BackendConnection& connection) const;
  // Asks the backend server on the connection whether it is warm, before the
  // request is sent.
  void AskForWarmUp(BackendConnectionPtr connection);
  void OnWarmUpChecked(IncarnationReport report);
  // The process of the chosen backend server may have been replaced.
  void NoteConnectionLost();
  // Whether the stream goes on after events that the caller has.
  bool IsResume() const {
    return event_count_ > 0 || !request_metadata_.last_event_id.empty();
  }
  bool IsRegistryOutdated() const {
    return context_.stream_versions.IsRegistryOutdated(base::BootClock::now());
  }
  // Whether the process behind the connection is the listed incarnation of the
  // chosen backend server.
  bool IsListedIncarnation(const BackendConnection& connection) const;
  // Returns the version at which the stream began; nothing if it is unknown.
  std::optional<std::string> BegunVersion() const;
  // Gives up the attempt before the request is sent, and chooses a backend
  // server again. The connection is kept.
  void ChooseAgain(BackendConnectionPtr connection);
  void SendRequest(BackendConnectionPtr connection);
  // Whether the chosen backend server has said, since it was chosen, that it
  // leaves or wants no requests for some time, or another start is listed.
  bool IsChoiceOutdated(base::MonoTime now) const;
  // Returns whether the request may be sent to another backend server. If so,
  // takes one extra attempt from the allowance; otherwise sets
  // no_retry_reason_.
  bool TryTakeRetry();
  // Returns whether the response of another attempt can take the place of the
  // current one: nothing was sent to the caller, or only whole events.
  bool CanContinueResponse() const;
  // Reports the end of the current attempt to the placement.
  void EndAttempt(AttemptEnd end);
  // Starts another attempt if the request may run again; refuses it otherwise.
  void RetryOrRefuse(const Refusal& refusal);
  // Removes the backend servers at which a stream that may be resumed must not
  // begin, since the store has no record of their versions.
  void RemoveUnrecorded(std::vector<const BackendEntry*>& backends) const;
  // Whether the backend server may get a request as far as it may be brittle.
  bool IsAdmittedIfBrittle(const BackendEntry& backend,
                           base::MonoTime now) const;
  // Returns the time until one of `usable` admits a request again; 0 if one
  // does now, nothing if none will or all are excluded for another reason.
  std::optional<std::chrono::milliseconds> TimeUntilAdmitted(
      const std::vector<const BackendEntry*>& usable,
      base::MonoTime now) const;
  // Returns the refusal of a request for which `usable` has no backend server.
  Refusal RefuseForWantOfBackend(
      const std::vector<const BackendEntry*>& usable) const;
  // What shows whether a response without a length or chunks is complete.
  enum class EndCheck {
    // The process that wrote it has ended.
    kCrashed,
    // The process that wrote it has reported after its end.
    kSameIncarnation,
    // A process accepts connections at the address.
    kConnected,
    kUnknown,
  };

  // Asks the backend server for its incarnation when the head of a response
  // without a length or chunks has arrived.
  void IdentifyWriter();
  // Handles a success whose only sign of being whole is that its connection
  // ended: checks first that the process that wrote it still runs, as a crash
  // ends connections too.
  void ConfirmEnd();
  // Opens a connection to the backend server; tries at most `probes` times.
  void ProbeEnd(int probes);
  // A connection has been opened, or could not be.
  void OnEndProbed(ConnectionPool::Result result, int probes);
  // Asks the backend server for its incarnation on a connection.
  void AskForEnd(BackendConnectionPtr connection, int probes);
  void OnEndReport(IncarnationReport report, int probes);
  void OnEndChecked(EndCheck check, const char* detail);
  // Whether it is known which incarnation wrote the response.
  bool IsWriterKnown() const;
  // Whether bytes that are read now may have arrived long before.
  bool IsReadingLate() const;
  // Relays what is left of a complete response.
  void FinishResponse();
  void OnRejected();
  void OnFailureStatus();
  void RelayBufferedResponse();
  void RelayEvents(std::string_view bytes);
  // Remembers at which version the stream began.
  void RecordBeginning(base::MonoTime now);
  // Stops reading from the backend server while the caller reads slowly.
  void PauseIfQueueIsLong();
  // Decides whether the caller's connection is closed after the response. Call
  // once, before the head of the response is sent.
  void DecideConnection();
  void SendHead(bool chunked, std::size_t length);
  void SendChunk(std::string_view bytes);
  void ArmTimer();
  void OnTimer();
  void OnDeadline();
  bool IsBackendSilent(base::MonoTime now) const;
  void Refuse(const Refusal& refusal);
  void CompleteRequest(const char* outcome,
                       int status,
                       int code,
                       const std::string& detail);
  void SettleTokens();
  // Adds the incarnation in which the registry lists the chosen backend server
  // now, that of its choice, and the age of what is known of the registry.
  log::Event& AddRegistryFields(log::Event& event) const;
  // Adds the request id and the inputs of the placement decision.
  log::Event& AddPlacementFields(log::Event& event) const;
  std::chrono::milliseconds RemainingTime() const;
  std::string RequestHead() const;

  GatewayContext& context_;
  ResponseWriter* response_writer_;
  const CallerRequest request_;
  bool caller_keeps_connection_;
  const base::MonoTime started_at_;
  base::MonoTime deadline_{};
  boost::asio::steady_timer timer_;

  FleetConfigPtr config_;
  RequestMetadata request_metadata_;
  const Route* route_ = nullptr;
  const ClientAccount* account_ = nullptr;
  const Service* service_ = nullptr;
  CrashTraits crash_traits_;
  // As of the configuration `allowed_version_`.
  scheduling::HomeRegions route_home_regions_;
  scheduling::HomeRegions account_home_regions_;
  scheduling::AllowedZones allowed_zones_;
  std::optional<base::ConfigVersion> allowed_version_;

  base::Tokens reserved_tokens_ = 0;
  base::Tokens used_tokens_ = 0;
  std::uint64_t reservation_waiter_ = 0;

  // State of the current attempt.
  std::optional<BackendEntry> backend_;
  // Its `backend` pointer is null; backend_ is a copy of the entry.
  PlacementChoice choice_;
  std::shared_ptr<BackendCall> call_;
  // The instance that relays its connection, if any.
  std::optional<peer::Instance> relay_;
  bool is_attempt_open_ = false;
  base::MonoTime chosen_at_{};
  bool is_prompt_pending_ = false;
  // Whether the backend server was asked if it is warm.
  bool is_warm_up_checked_ = false;
  // Whether the request was sent to the chosen backend server.
  bool is_sent_ = false;
  base::MonoTime sent_at_{};
  // Beginning of a stream that begins with this attempt.
  StreamVersions::Beginning beginning_;
  int response_status_ = 0;
  ResponseMetadata response_metadata_;
  boost::beast::http::fields response_fields_;
  std::string response_body_;
  // Time of its first event; the epoch if there was none.
  base::MonoTime attempt_first_event_at_{};
  // Whether it has been answering for long enough to clear its prompt parts.
  bool is_answering_ = false;
  bool is_confirming_end_ = false;
  // The incarnation that answers: as reported, else as listed when the backend
  // server was chosen.
  std::int64_t answering_incarnation_ = 0;
  bool is_writer_reported_ = false;
  // Whether the last bytes of the body may have arrived long before they were
  // read.
  bool is_body_old_ = false;
  // Whether that holds of the end of the response.
  bool may_end_be_old_ = false;
  // Since when reading is paused, if it is, and when the last long pause ended.
  std::optional<base::BootTime> paused_at_;
  base::BootTime long_pause_ended_at_{};
  bool is_event_stream_ = false;
  EventFramer framer_;

  // State over all attempts.
  int attempt_count_ = 0;
  // Why the last failed attempt was not retried, for the log.
  const char* no_retry_reason_ = "";
  int connect_failures_ = 0;
  std::set<base::BackendId> tried_backends_;
  // Whether a backend server may have run the request.
  bool may_have_run_ = false;
  // Software version at which the stream that the caller resumes began.
  std::optional<std::string> resumed_version_;
  bool is_head_sent_ = false;
  // Status code that was sent to the caller.
  int sent_status_ = 0;
  std::string last_event_id_;
  std::int64_t event_count_ = 0;
  base::MonoTime first_event_at_{};
  base::MonoTime last_event_at_{};
  bool is_finished_ = false;
};

}  // namespace dandelionmill::gateway

#endif  // SRC_DANDELIONMILL_GATEWAY_EXCHANGE_H_
