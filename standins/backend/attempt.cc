#include "standins/backend/attempt.h"

#include <utility>

#include "dandelionmill/base/digest.h"
#include "standins/backend/faults.h"

namespace standins::backend {
namespace {

const char* ToString(RunState state) {
  switch (state) {
    case RunState::kWaiting:
    case RunState::kRunning:
      return "running";
    case RunState::kCompleted:
      return "completed";
    case RunState::kCancelled:
      return "cancelled";
  }
  return "";
}

// Returns the number of events that exist after `tokens` output tokens.
int EventCount(bool started, RunState state, int tokens) {
  if (!started)
    return 0;
  return state == RunState::kCompleted ? 2 + tokens : 1 + tokens;
}

}  // namespace

Attempt::Attempt(Call call) : call_(std::move(call)) {}

void Attempt::Start() {
  {
    std::lock_guard<std::mutex> lock(mutex_);
    if (state_ == RunState::kWaiting) {
      state_ = RunState::kRunning;
      started_ = true;
    }
  }
  changed_.notify_all();
}

void Attempt::AddToken() {
  {
    std::lock_guard<std::mutex> lock(mutex_);
    if (state_ != RunState::kRunning)
      return;
    ++tokens_;
    if (tokens_ == 1)
      first_token_unix_us_ = UnixUs();
    if (tokens_ == call_.model_call.output_tokens)
      state_ = RunState::kCompleted;
  }
  changed_.notify_all();
}

void Attempt::Cancel() {
  {
    std::lock_guard<std::mutex> lock(mutex_);
    if (state_ == RunState::kCompleted)
      return;
    state_ = RunState::kCancelled;
  }
  changed_.notify_all();
}

RunState Attempt::state() const {
  std::lock_guard<std::mutex> lock(mutex_);
  return state_;
}

bool Attempt::IsFinished() const {
  const RunState current = state();
  return current == RunState::kCompleted || current == RunState::kCancelled;
}

int Attempt::tokens() const {
  std::lock_guard<std::mutex> lock(mutex_);
  return tokens_;
}

RunRecord Attempt::Record() const {
  RunRecord record = call_.record;
  std::lock_guard<std::mutex> lock(mutex_);
  record.state = ToString(state_);
  record.completion_tokens = tokens_;
  record.first_token_unix_us = first_token_unix_us_;
  record.answer_sha256 =
      dandelionmill::base::Sha256Hex(AnswerText(call_.model_call, tokens_));
  return record;
}

int Attempt::WaitForEvents(int after, std::chrono::milliseconds timeout) const {
  std::unique_lock<std::mutex> lock(mutex_);
  changed_.wait_for(lock, timeout, [this, after] {
    return EventCount(started_, state_, tokens_) > after ||
           state_ == RunState::kCompleted || state_ == RunState::kCancelled;
  });
  return EventCount(started_, state_, tokens_);
}

std::string Attempt::EventText(int id) const {
  std::string text = "id: " + std::to_string(id) + "\ndata: ";
  const ModelCall& call = call_.model_call;
  if (id == 1) {
    text += R"({"object":"usage","prompt_tokens":)" +
            std::to_string(call.prompt_tokens) + "}";
  } else if (id == call.output_tokens + 2) {
    text += "[DONE]";
  } else {
    text += TokenEvent(id - 2);
  }
  return text + "\n\n";
}

std::string Attempt::TokenEvent(int index) const {
  const ModelCall& call = call_.model_call;
  const bool is_last = index + 1 == call.output_tokens;
  // Built without the JSON library because this runs for every token. Token
  // texts contain no characters that need escaping.
  std::string text = R"({"choices":[{"index":0,)";
  if (call.is_chat)
    text += R"("delta":{"content":")" + TokenText(call, index) + R"("},)";
  else
    text += R"("text":")" + TokenText(call, index) + R"(",)";
  if (!is_last)
    return text + R"("finish_reason":null}],"tokens":1})";
  text += R"("finish_reason":")";
  text += call.is_capped ? "length" : "stop";
  text += R"("}],"tokens":1,"usage":{"prompt_tokens":)" +
          std::to_string(call.prompt_tokens) + R"(,"completion_tokens":)" +
          std::to_string(call.output_tokens) + "}}";
  return text;
}

}  // namespace standins::backend
