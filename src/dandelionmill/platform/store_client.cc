#include "dandelionmill/platform/store_client.h"

#include <algorithm>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <optional>
#include <utility>

#include "dandelionmill/base/units.h"
#include "dandelionmill/log/event.h"
#include "dandelionmill/platform/store_messages.h"

namespace dandelionmill::platform {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;
using tcp = asio::ip::tcp;

// Idle connections that are kept open for reuse.
constexpr std::size_t kMaxIdleConnections = 4;

// Maximum size of a response body, in bytes. A page of rows has at most 1 MB
// before it is encoded.
constexpr std::size_t kMaxResponseBytes = 8 << 20;

// Largest size of a connection's buffer: one read. Bodies do not stay in it,
// but the parser takes a chunk header or a trailer only as a whole, without
// limit.
constexpr std::size_t kMaxBufferBytes = 64 << 10;

// Longest pause within a response: allows for a lost packet that TCP sends
// again.
constexpr std::chrono::milliseconds kStallTimeout{600};

// Slowest rate, on average over a call, at which a response may arrive.
constexpr std::size_t kMinBytesPerSecond = 16 << 10;

// Returns the table of the first row of `change`; empty if it has no rows.
std::string TableOf(const storage::RowChange& change) {
  if (!change.puts.empty())
    return change.puts.front().key.table;
  if (!change.deletes.empty())
    return change.deletes.front().table;
  return change.expected.empty() ? "" : change.expected.front().key.table;
}

}  // namespace

struct StoreClient::Connection {
  explicit Connection(asio::io_context& loop) : socket(loop) {}

  tcp::socket socket;
  boost::beast::flat_buffer buffer{kMaxBufferBytes};
};

// A single call. Keeps itself alive until its handler has run.
class StoreClient::Call : public std::enable_shared_from_this<Call> {
 public:
  Call(StoreClient& client,
       bool is_commit,
       std::string target,
       std::string body,
       std::chrono::milliseconds timeout,
       std::size_t max_bytes,
       Handler handler)
      : client_(client.self_),
        loop_(client.loop_),
        store_(client.store_),
        is_commit_(is_commit),
        timeout_(timeout),
        max_bytes_(max_bytes),
        handler_(std::move(handler)),
        timer_(client.loop_) {
    request_.method(is_commit ? http::verb::post : http::verb::get);
    request_.target(target);
    request_.version(11);
    request_.set(http::field::host, net::ToString(store_));
    if (is_commit)
      request_.set(http::field::content_type, "application/json");
    request_.body() = std::move(body);
    request_.prepare_payload();
  }

  void Start() {
    ArmTimer(timeout_);
    StoreClient& client = **client_;
    if (!client.idle_.empty()) {
      connection_ = std::move(client.idle_.back());
      client.idle_.pop_back();
      is_reused_ = true;
      Send();
      return;
    }
    Connect();
  }

 private:
  void ArmTimer(std::chrono::milliseconds timeout) {
    timer_.expires_after(timeout);
    timer_.async_wait([self = shared_from_this()](error_code error) {
      // A handler that was queued before the timer was armed again is late.
      if (!error && self->timer_.expiry() <= std::chrono::steady_clock::now())
        self->OnTimeout();
    });
  }

  void Connect() {
    connection_ = std::make_unique<Connection>(loop_);
    is_reused_ = false;
    connection_->socket.async_connect(
        tcp::endpoint(asio::ip::make_address(store_.host),
                      static_cast<unsigned short>(store_.port)),
        [self = shared_from_this()](error_code error) {
          if (self->is_complete_)
            return;
          if (error) {
            self->Fail(storage::CallOutcome::kNotPerformed,
                       "connect: " + error.message());
            return;
          }
          error_code ignored;
          self->connection_->socket.set_option(tcp::no_delay(true), ignored);
          self->Send();
        });
  }

  void Send() {
    is_sent_ = true;
    http::async_write(
        connection_->socket, request_,
        [self = shared_from_this()](error_code error, std::size_t) {
          if (self->is_complete_)
            return;
          if (error)
            self->OnConnectionError("write: " + error.message());
          else
            self->Receive();
        });
  }

  void Receive() {
    parser_.emplace();
    parser_->body_limit(max_bytes_);
    // An eager parser loses the error of a Content-Length above the limit when
    // bytes of the body come with the header fields.
    parser_->eager(false);
    ReceiveSome();
  }

  void ReceiveSome() {
    http::async_read_some(
        connection_->socket, connection_->buffer, *parser_,
        [self = shared_from_this()](error_code error, std::size_t) {
          if (!self->is_complete_)
            self->OnReceived(error);
        });
  }

  void OnReceived(error_code error) {
    if (receiving_since_ == base::MonoTime())
      receiving_since_ = std::chrono::steady_clock::now();
    if (error == http::error::body_limit) {
      // A commit with such a response may have been performed.
      Fail(is_commit_ ? storage::CallOutcome::kUnknown
                      : storage::CallOutcome::kTooLarge,
           "more than " + std::to_string(max_bytes_) + " bytes");
    } else if (error) {
      OnConnectionError("read: " + error.message() + DescribeProgress());
    } else if (parser_->is_done()) {
      OnResponse();
    } else if (IsTooSlow()) {
      OnTimeout();
    } else {
      ArmTimer(kStallTimeout);
      ReceiveSome();
    }
  }

  // Whether the response arrives more slowly than kMinBytesPerSecond. Without
  // this limit, single bytes could keep a call open without end.
  bool IsTooSlow() const {
    const std::chrono::milliseconds transfer_time(parser_->get().body().size() *
                                                  1000 / kMinBytesPerSecond);
    return std::chrono::steady_clock::now() >
           receiving_since_ + kStallTimeout + transfer_time;
  }

  // The store may have closed a reused connection while it was idle, so a read
  // is retried on a new connection. A commit is not, since the store may have
  // performed it.
  void OnConnectionError(const std::string& reason) {
    if (is_reused_ && !is_commit_) {
      parser_.reset();
      receiving_since_ = base::MonoTime();
      is_sent_ = false;
      ArmTimer(timeout_);
      Connect();
      return;
    }
    Fail(storage::CallOutcome::kUnknown, reason);
  }

  void OnResponse() {
    const auto& message = parser_->get();
    storage::TableResponse response = DecodeStoreResponse(
        static_cast<int>(message.result_int()), message.body());
    response.bytes = message.body().size();
    response.era = DecodeStoreEra(std::string(message[kStoreEraField]));
    if (response.era && *client_ != nullptr)
      (*client_)->ObserveEra(*response.era, response.version);
    if (response.malformed_rows > 0) {
      log::Event(log::Level::kError, "store_rows_rejected")
          .With("target", std::string(request_.target()))
          .With("rows", response.malformed_rows)
          .With("version", response.version);
    }
    if (message.keep_alive() && *client_ != nullptr &&
        (*client_)->idle_.size() < kMaxIdleConnections &&
        connection_->buffer.size() == 0)
      (*client_)->idle_.push_back(std::move(connection_));
    Complete(std::move(response));
  }

  void OnTimeout() {
    if (is_complete_)
      return;
    if (*client_ != nullptr)
      (*client_)->idle_.clear();
    Fail(is_sent_ ? storage::CallOutcome::kUnknown
                  : storage::CallOutcome::kNotPerformed,
         "timeout" + DescribeProgress());
  }

  // Returns how much of the response has been received, for logs.
  std::string DescribeProgress() const {
    if (!is_sent_)
      return " while connecting";
    if (!parser_ || !parser_->is_header_done())
      return " before a response";
    const auto length = parser_->content_length();
    return " after " + std::to_string(parser_->get().body().size()) + " of " +
           (length ? std::to_string(*length) : "unknown") + " body bytes";
  }

  void Fail(storage::CallOutcome outcome, std::string reason) {
    storage::TableResponse response;
    response.outcome = outcome;
    response.detail = std::move(reason);
    response.bytes = parser_ ? parser_->get().body().size() : 0;
    Complete(std::move(response));
  }

  void Complete(storage::TableResponse response) {
    is_complete_ = true;
    timer_.cancel();
    if (connection_) {
      error_code ignored;
      connection_->socket.close(ignored);
    }
    if (*client_ != nullptr)
      std::exchange(handler_, nullptr)(std::move(response));
  }

  const std::shared_ptr<StoreClient*> client_;
  asio::io_context& loop_;
  const net::Address store_;
  const bool is_commit_;
  const std::chrono::milliseconds timeout_;
  const std::size_t max_bytes_;
  // When the response began.
  base::MonoTime receiving_since_{};
  Handler handler_;
  asio::steady_timer timer_;
  http::request<http::string_body> request_;
  std::optional<http::response_parser<http::string_body>> parser_;
  std::unique_ptr<Connection> connection_;
  bool is_reused_ = false;
  bool is_sent_ = false;
  bool is_complete_ = false;
};

StoreClient::StoreClient(asio::io_context& loop, net::Address store)
    : loop_(loop),
      store_(std::move(store)),
      self_(std::make_shared<StoreClient*>(this)) {}

StoreClient::~StoreClient() {
  *self_ = nullptr;
}

void StoreClient::Commit(storage::RowChange change,
                         std::chrono::milliseconds timeout,
                         Handler handler) {
  StartCall(true, TableOf(change), kCommitTarget, EncodeChange(change), timeout,
            kMaxResponseBytes, std::move(handler));
}

void StoreClient::Read(const std::string& table,
                       const std::string& part,
                       const std::string& from_key,
                       std::chrono::milliseconds timeout,
                       Handler handler) {
  StartCall(false, table, ReadTarget(table, part, from_key), "", timeout,
            kMaxResponseBytes, std::move(handler));
}

void StoreClient::ReadRow(const storage::RowKey& key,
                          std::chrono::milliseconds timeout,
                          Handler handler) {
  StartCall(false, key.table, ReadRowTarget(key), "", timeout,
            kMaxResponseBytes,
            [wanted = key.key,
             handler = std::move(handler)](storage::TableResponse response) {
              // Without the row, the store returns the next one.
              auto& rows = response.rows;
              rows.erase(std::remove_if(rows.begin(), rows.end(),
                                        [&wanted](const auto& row) {
                                          return row.key.key != wanted;
                                        }),
                         rows.end());
              handler(std::move(response));
            });
}

void StoreClient::Follow(const std::string& table,
                         std::uint64_t version,
                         std::chrono::milliseconds wait,
                         std::chrono::milliseconds timeout,
                         std::size_t max_bytes,
                         Handler handler) {
  StartCall(false, table, FollowTarget(table, version, wait), "", timeout,
            std::min(max_bytes, kMaxResponseBytes), std::move(handler));
}

void StoreClient::ObserveEra(std::uint64_t era, std::uint64_t version) {
  if (era_ && era > *era_) {
    log::Event(log::Level::kWarning, "store_restored")
        .With("from_era", *era_)
        .With("era", era)
        .With("last_version", newest_version_)
        .With("version", version);
    newest_version_ = 0;
  }
  era_ = std::max(era_.value_or(era), era);
  if (era == *era_)
    newest_version_ = std::max(newest_version_, version);
}

void StoreClient::StartCall(bool is_commit,
                            const std::string& table,
                            std::string target,
                            std::string body,
                            std::chrono::milliseconds timeout,
                            std::size_t max_bytes,
                            Handler handler) {
  ++calls_;
  // References to elements of a map stay valid.
  TableUse& use = use_by_table_[table];
  ++use.calls;
  use.sent_bytes += body.size();
  auto count_and_handle =
      [&use, handler = std::move(handler)](storage::TableResponse response) {
        use.received_bytes += response.bytes;
        handler(std::move(response));
      };
  std::make_shared<Call>(*this, is_commit, std::move(target), std::move(body),
                         timeout, max_bytes, std::move(count_and_handle))
      ->Start();
}

}  // namespace dandelionmill::platform
