#include "dandelionmill/billing/charge_queue.h"

#include <algorithm>
#include <cstdio>
#include <ctime>
#include <utility>

namespace dandelionmill::billing {
namespace {

std::string FormatDate(base::WallTime time) {
  const std::time_t seconds = std::chrono::system_clock::to_time_t(time);
  std::tm parts{};
  gmtime_r(&seconds, &parts);
  char text[16];
  std::strftime(text, sizeof(text), "%Y-%m-%d", &parts);
  return text;
}

std::string FormatSequence(std::uint64_t number) {
  char text[24];
  std::snprintf(text, sizeof(text), "%010llu",
                static_cast<unsigned long long>(number));
  return text;
}

std::string WriterName(const base::HolderId& holder) {
  std::string name = holder.value();
  std::replace(name.begin(), name.end(), '/', '_');
  return name;
}

}  // namespace

ChargeQueue::ChargeQueue(const base::HolderId& holder)
    : writer_(WriterName(holder)) {}

bool ChargeQueue::Add(const Charge& charge) {
  if (size() >= kMaxQueuedCharges)
    return false;
  lines_.push_back({charge.attempt, ToJsonLine(charge) + "\n"});
  return true;
}

const Batch* ChargeQueue::NextBatch(base::WallTime today) {
  if (batch_)
    return &*batch_;
  if (lines_.empty())
    return nullptr;
  batch_.emplace();
  batch_->name = "charges/" + FormatDate(today) + "/" + writer_ + "-" +
                 FormatSequence(next_sequence_++) + ".jsonl";
  const std::size_t count = std::min(lines_.size(), kMaxBatchCharges);
  const auto end = lines_.begin() + static_cast<std::ptrdiff_t>(count);
  for (auto line = lines_.begin(); line != end; ++line) {
    batch_->content += line->json;
    batch_->attempts.push_back(line->attempt);
  }
  lines_.erase(lines_.begin(), end);
  return &*batch_;
}

std::vector<base::AttemptId> ChargeQueue::OnStored() {
  std::vector<base::AttemptId> attempts;
  if (batch_)
    attempts = std::move(batch_->attempts);
  batch_.reset();
  return attempts;
}

std::size_t ChargeQueue::size() const {
  return lines_.size() + (batch_ ? batch_->attempts.size() : 0);
}

}  // namespace dandelionmill::billing
