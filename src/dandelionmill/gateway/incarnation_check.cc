#include "dandelionmill/gateway/incarnation_check.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "dandelionmill/gateway/response_status.h"
#include "dandelionmill/platform/engine_report.h"
#include "dandelionmill/platform/headers.h"

namespace dandelionmill::gateway {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

// Largest report in bytes. A report lists the running requests.
constexpr std::uint64_t kMaxReportBytes = 256 << 10;

// Largest head, chunk header or trailer. The parser throws on a field that is
// longer than 65,533 bytes.
constexpr std::size_t kMaxBufferBytes = 48 << 10;

class Check : public std::enable_shared_from_this<Check> {
 public:
  Check(asio::io_context& loop,
        std::string head,
        bool asks_for_report,
        BackendConnectionPtr connection,
        IncarnationHandler handler)
      : timer_(loop),
        head_(std::move(head)),
        asks_for_report_(asks_for_report),
        sent_at_(base::BootClock::now()),
        connection_(std::move(connection)),
        usual_buffer_bytes_(connection_->buffer.max_size()),
        handler_(std::move(handler)) {
    connection_->buffer.max_size(kMaxBufferBytes);
  }

  void Run() {
    timer_.expires_after(kIncarnationTimeout);
    timer_.async_wait([self = shared_from_this()](error_code error) {
      if (!error)
        self->Close();
    });
    asio::async_write(
        connection_->socket, asio::buffer(head_),
        [self = shared_from_this()](error_code error, std::size_t) {
          self->OnWritten(error);
        });
  }

 private:
  void OnWritten(error_code error) {
    if (error || is_closed_) {
      Complete({});
      return;
    }
    Read();
  }

  void Read() {
    parser_.emplace();
    parser_->body_limit(kMaxReportBytes);
    http::async_read(
        connection_->socket, connection_->buffer, *parser_,
        [self = shared_from_this()](error_code problem, std::size_t) {
          self->OnRead(problem);
        });
  }

  void OnRead(error_code error) {
    const auto& response = parser_->get();
    const StatusKind kind = KindOfStatus(response.result_int());
    // The timer limits the number of interim responses.
    if (!error && !is_closed_ && kind == StatusKind::kInterim) {
      Read();
      return;
    }
    const auto metadata = platform::DecodeResponseMetadata(
        static_cast<int>(response.result_int()), response);
    // A late response to an earlier request may come in its place.
    const bool is_report =
        !error && kind == StatusKind::kFinal && metadata.attempt.empty();
    if (!is_report) {
      Complete({});
      return;
    }
    IncarnationReport report;
    report.is_answered = true;
    report.status = static_cast<int>(response.result_int());
    report.remaining_warm_up = metadata.remaining_warm_up;
    if (asks_for_report_) {
      if (report.status == 200) {
        report.incarnation =
            platform::DecodeReportedIncarnation(response.body());
      }
      connection_->incarnation = report.incarnation;
    }
    connection_->buffer.max_size(usual_buffer_bytes_);
    if (metadata.idle_timeout)
      connection_->idle_timeout = *metadata.idle_timeout;
    if (!is_closed_ && parser_->keep_alive() && connection_->buffer.size() == 0)
      report.connection = std::move(connection_);
    Complete(std::move(report));
  }

  // Ends the operation in progress, whose handler reports the result.
  void Close() {
    is_closed_ = true;
    error_code ignored;
    if (connection_)
      connection_->socket.close(ignored);
  }

  void Complete(IncarnationReport report) {
    timer_.cancel();
    report.sent_at = sent_at_;
    std::exchange(handler_, nullptr)(std::move(report));
  }

  asio::steady_timer timer_;
  const std::string head_;
  const bool asks_for_report_;
  const base::BootTime sent_at_;
  BackendConnectionPtr connection_;
  const std::size_t usual_buffer_bytes_;
  std::optional<http::response_parser<http::string_body>> parser_;
  IncarnationHandler handler_;
  bool is_closed_ = false;
};

}  // namespace

void CheckIncarnation(asio::io_context& loop,
                      const net::Address& address,
                      BackendConnectionPtr connection,
                      IncarnationHandler handler) {
  std::make_shared<Check>(loop, platform::ReportRequestHead(address), true,
                          std::move(connection), std::move(handler))
      ->Run();
}

void CheckWarmUp(asio::io_context& loop,
                 const net::Address& address,
                 const std::string& path,
                 BackendConnectionPtr connection,
                 IncarnationHandler handler) {
  std::make_shared<Check>(loop, platform::HealthRequestHead(address, path),
                          false, std::move(connection), std::move(handler))
      ->Run();
}

}  // namespace dandelionmill::gateway
