#include "dandelionmill/backend/stream_reader.h"

#include <array>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <iterator>
#include <limits>
#include <utility>

namespace dandelionmill::backend {
namespace {

namespace beast = boost::beast;
namespace http = beast::http;
using boost::system::error_code;

constexpr int kOk = 200;
// Bytes kept of the body of an error response; the rest is dropped.
constexpr std::size_t kMaxErrorBodyBytes = 64 << 10;
constexpr std::size_t kReadBytes = 16 << 10;
// Received bytes that may wait to be parsed. The parser consumes a chunk header
// or a trailer only as a whole, and has no limit for them.
constexpr std::size_t kMaxUnparsedBytes = 128 << 10;

}  // namespace

// The connection and the events read from it, shared by the reading fiber and
// the consuming fiber.
class StreamReader::Connection {
 public:
  Connection(boost::asio::io_context& loop, Options options)
      : options_(std::move(options)), stream_(loop), updated_(loop) {}

  void Run(net::Fiber& fiber) {
    ReadEnd end = Read(fiber);
    end_ = std::move(end);
    updated_.Notify();
  }

  void Cancel() {
    is_cancelled_ = true;
    stream_.close();
  }

  bool HasUnread() const { return !events_.empty() || end_.has_value(); }

  bool WaitForUnread(net::Fiber& consumer, base::MonoTime deadline) {
    while (!HasUnread() && updated_.WaitUntil(consumer, deadline))
      continue;
    return HasUnread();
  }

  Batch Take() { return {std::exchange(events_, {}), end_}; }

 private:
  ReadEnd Read(net::Fiber& fiber) {
    ReadEnd end;
    if (net::Connect(fiber, options_.address, options_.connect_timeout,
                     stream_)) {
      end.kind = ReadEnd::Kind::kNotConnected;
      return end;
    }
    error_code error;
    const auto message = net::ToMessage(options_.address, options_.call);
    stream_.expires_after(options_.connect_timeout);
    if (!is_cancelled_)
      http::async_write(stream_, message, fiber.yield()[error]);
    http::response_parser<http::buffer_body> parser;
    parser.body_limit(std::numeric_limits<std::uint64_t>::max());
    std::string error_body;
    while (!error && !is_cancelled_ && !parser.is_done()) {
      std::array<char, kReadBytes> bytes;
      parser.get().body().data = bytes.data();
      parser.get().body().size = bytes.size();
      stream_.expires_after(options_.read_timeout);
      http::async_read_some(stream_, buffer_, parser, fiber.yield()[error]);
      if (error == http::error::need_buffer)
        error = {};
      const std::string_view read(bytes.data(),
                                  bytes.size() - parser.get().body().size);
      if (!parser.is_header_done() || read.empty())
        continue;
      end.status = static_cast<int>(parser.get().result_int());
      if (end.status != kOk) {
        if (error_body.size() < kMaxErrorBodyBytes)
          error_body.append(read);
      } else if (!Receive(read)) {
        return end;
      }
    }
    if (!parser.is_done())
      return end;
    end.status = static_cast<int>(parser.get().result_int());
    end.kind =
        end.status == kOk ? ReadEnd::Kind::kFinished : ReadEnd::Kind::kStatus;
    end.body = std::move(error_body);
    return end;
  }

  // Returns false when the stream is malformed.
  bool Receive(std::string_view bytes) {
    std::vector<SseEvent> events;
    const bool is_well_formed = parser_.Feed(bytes, events);
    if (!events.empty()) {
      std::move(events.begin(), events.end(), std::back_inserter(events_));
      updated_.Notify();
    }
    return is_well_formed;
  }

  const Options options_;
  beast::tcp_stream stream_;
  beast::flat_buffer buffer_{kMaxUnparsedBytes};
  SseParser parser_;
  bool is_cancelled_ = false;
  std::vector<SseEvent> events_;
  std::optional<ReadEnd> end_;
  net::Signal updated_;
};

StreamReader::StreamReader(net::Fiber& consumer, Options options)
    : consumer_(consumer),
      connection_(
          std::make_shared<Connection>(consumer.loop(), std::move(options))) {
  net::StartFiber(consumer.loop(),
                  [connection = connection_](net::Fiber& fiber) {
                    connection->Run(fiber);
                  });
}

StreamReader::~StreamReader() {
  connection_->Cancel();
}

StreamReader::Batch StreamReader::Take(base::MonoTime deadline) {
  connection_->WaitForUnread(consumer_, deadline);
  return connection_->Take();
}

bool StreamReader::Wait(base::MonoTime deadline) {
  return connection_->WaitForUnread(consumer_, deadline);
}

}  // namespace dandelionmill::backend
