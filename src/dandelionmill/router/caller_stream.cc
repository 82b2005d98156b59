#include "dandelionmill/router/caller_stream.h"

#include <utility>

#include "dandelionmill/base/overloaded.h"

namespace dandelionmill::router {
namespace {

using std::chrono::steady_clock;

// How often a quiet caller's connection is looked at.
constexpr std::chrono::milliseconds kLookPeriod{250};

double MillisBetween(base::MonoTime from, base::MonoTime to) {
  return std::chrono::duration<double, std::milli>(to - from).count();
}

// Event data of several lines needs the field name before each.
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

CallerStream::CallerStream(Traffic& traffic,
                           std::shared_ptr<ModelExchange> exchange,
                           AnswerStep first)
    : traffic_(traffic),
      exchange_(std::move(exchange)),
      first_(std::move(first)) {}

bool CallerStream::Run(net::BodyWriter& writer) {
  bool goes_on = WriteStep(first_, writer);
  while (goes_on)
    goes_on =
        WriteStep(exchange_->Next(steady_clock::now() + kLookPeriod), writer);
  if (!ended_)
    exchange_->Abandon();
  return ended_;
}

bool CallerStream::WriteStep(const AnswerStep& step, net::BodyWriter& writer) {
  return std::visit(
      base::Overloaded{
          [&](const NothingYet&) { return writer.IsCallerThere(); },
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
  RouterMetrics& metrics = traffic_.metrics();
  const base::MonoTime now = steady_clock::now();
  if (wrote_at_ != base::MonoTime())
    metrics.token_gap_ms.Record(MillisBetween(wrote_at_, now));
  wrote_at_ = now;
  metrics.events_relayed.Add(static_cast<std::int64_t>(chunks.chunks.size()));
  metrics.bytes_relayed.Add(static_cast<std::int64_t>(buffer_.size()));
  return writer.Write(buffer_);
}

void CallerStream::WriteProblem(const Problem& problem,
                                net::BodyWriter& writer) {
  traffic_.metrics().CountRefusal(problem.error.code);
  WriteEnd(
      "event: error\ndata: " + ToJson(problem, exchange_->info().key) + "\n\n",
      writer);
}

void CallerStream::WriteEnd(const std::string& event, net::BodyWriter& writer) {
  ended_ = writer.Write(event);
}

}  // namespace dandelionmill::router
