#include "dandelionmill/router/caller_stream.h"

#include <utility>

#include "dandelionmill/base/overloaded.h"

namespace dandelionmill::router {
namespace {

using std::chrono::steady_clock;

// How often the caller's connection is checked while there is nothing to write.
constexpr std::chrono::milliseconds kConnectionCheckPeriod{250};

double MillisBetween(base::MonoTime from, base::MonoTime to) {
  return std::chrono::duration<double, std::milli>(to - from).count();
}

// Appends event data, repeating the field name before each further line as the
// event-stream format requires.
void AppendData(const std::string& data, std::string& buffer) {
  std::size_t start = 0;
  for (std::size_t end = data.find('\n'); end != std::string::npos;
       end = data.find('\n', start)) {
    buffer.append(data, start, end - start);
    buffer += "\ndata: ";
    start = end + 1;
  }
  buffer.append(data, start, std::string::npos);
}

}  // namespace

CallerStream::CallerStream(RouterContext& context,
                           std::shared_ptr<ModelExchange> exchange,
                           AnswerStep first)
    : context_(context),
      exchange_(std::move(exchange)),
      first_(std::move(first)) {}

bool CallerStream::Run(net::BodyWriter& writer) {
  bool more = WriteStep(first_, writer);
  while (more)
    more = WriteStep(
        exchange_->Next(steady_clock::now() + kConnectionCheckPeriod), writer);
  if (!end_delivered_)
    exchange_->Abandon();
  return end_delivered_;
}

bool CallerStream::WriteStep(const AnswerStep& step, net::BodyWriter& writer) {
  return std::visit(
      base::Overloaded{
          [&](const AnswerPending&) { return writer.IsCallerConnected(); },
          [&](const AnswerChunks& chunks) {
            return WriteChunks(chunks, writer);
          },
          [&](const AnswerComplete&) {
            WriteEnd("data: [DONE]\n\n", writer);
            return false;
          },
          [&](const AnswerFailed& failed) {
            WriteProblem(failed.problem, writer);
            return false;
          },
          [&](const BackendError& error) {
            WriteProblem(
                {{base::Code::kAnswerIncomplete, error.body}, base::Ran::kYes},
                writer);
            return false;
          }},
      step);
}

bool CallerStream::WriteChunks(const AnswerChunks& chunks,
                               net::BodyWriter& writer) {
  buffer_.clear();
  for (const std::string& chunk : chunks.chunks) {
    buffer_ += "id: ";
    buffer_ += std::to_string(++sequence_);
    buffer_ += "\ndata: ";
    AppendData(chunk, buffer_);
    buffer_ += "\n\n";
  }
  RouterMetrics& metrics = context_.metrics();
  const base::MonoTime now = steady_clock::now();
  if (last_write_at_ != base::MonoTime())
    metrics.token_gap_ms.Record(MillisBetween(last_write_at_, now));
  last_write_at_ = now;
  metrics.events_relayed.Add(static_cast<std::int64_t>(chunks.chunks.size()));
  metrics.bytes_relayed.Add(static_cast<std::int64_t>(buffer_.size()));
  return writer.Write(buffer_);
}

void CallerStream::WriteProblem(const Problem& problem,
                                net::BodyWriter& writer) {
  context_.metrics().CountRefusal(problem.error.code);
  WriteEnd(
      "event: error\ndata: " + ToJson(problem, exchange_->info().key) + "\n\n",
      writer);
}

void CallerStream::WriteEnd(const std::string& event, net::BodyWriter& writer) {
  end_delivered_ = writer.Write(event);
}

}  // namespace dandelionmill::router
