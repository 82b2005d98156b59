#include "standins/backend/record.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace standins::backend {
namespace {

using Json = nlohmann::json;

std::string RunCountKey(const std::string& account, const std::string& key) {
  return account + "/" + key;
}

}  // namespace

Json ToJson(const RunRecord& record) {
  return {{"attempt", record.attempt},
          {"account", record.account},
          {"request_key", record.request_key},
          {"body_sha256", record.body_sha256},
          {"path", record.path},
          {"prompt_tokens", record.prompt_tokens},
          {"completion_tokens", record.completion_tokens},
          {"state", record.state},
          {"started_unix_ms", record.started_unix_ms},
          {"arrived_unix_us", record.arrived_unix_us},
          {"first_token_unix_us", record.first_token_unix_us},
          {"answer_sha256", record.answer_sha256}};
}

RunRecord ParseRunRecord(const Json& json) {
  RunRecord record;
  record.attempt = json.value("attempt", "");
  record.account = json.value("account", "");
  record.request_key = json.value("request_key", "");
  record.body_sha256 = json.value("body_sha256", "");
  record.path = json.value("path", "");
  record.prompt_tokens = json.value("prompt_tokens", 0);
  record.completion_tokens = json.value("completion_tokens", 0);
  record.state = json.value("state", "");
  record.started_unix_ms = json.value("started_unix_ms", std::int64_t{0});
  record.arrived_unix_us = json.value("arrived_unix_us", std::int64_t{0});
  record.first_token_unix_us =
      json.value("first_token_unix_us", std::int64_t{0});
  record.answer_sha256 = json.value("answer_sha256", "");
  return record;
}

RecordLog::RecordLog(const std::string& file) {
  if (file.empty())
    return;
  Load(file);
  out_.open(file, std::ios::app);
}

void RecordLog::Load(const std::string& file) {
  std::ifstream in(file);
  std::string line;
  while (std::getline(in, line)) {
    const Json json = Json::parse(line, nullptr, false);
    if (!json.is_object())
      continue;  // incomplete: the process crashed while writing it
    if (json.contains("crash")) {
      ++crashes_;
      continue;
    }
    const auto number = json.value("number", std::size_t{0});
    if (number >= records_.size())
      records_.resize(number + 1);
    records_[number] = ParseRunRecord(json);
  }
  for (RunRecord& record : records_) {
    if (record.state == "running")
      record.state = "crashed";
    ++run_counts_[RunCountKey(record.account, record.request_key)];
  }
}

void RecordLog::Write(const Json& line) {
  if (out_.is_open())
    out_ << line.dump() << std::endl;
}

RecordLog::Number RecordLog::Begin(RunRecord record) {
  std::lock_guard<std::mutex> lock(mutex_);
  const Number number = records_.size();
  Json line = ToJson(record);
  line["number"] = number;
  Write(line);
  ++run_counts_[RunCountKey(record.account, record.request_key)];
  records_.push_back(std::move(record));
  return number;
}

void RecordLog::Update(Number number, const RunRecord& record) {
  std::lock_guard<std::mutex> lock(mutex_);
  Json line = ToJson(record);
  line["number"] = number;
  Write(line);
  records_[number] = record;
}

void RecordLog::RecordCrash() {
  std::lock_guard<std::mutex> lock(mutex_);
  ++crashes_;
  Write({{"crash", true}});
}

std::vector<RunRecord> RecordLog::All() const {
  std::lock_guard<std::mutex> lock(mutex_);
  return records_;
}

int RecordLog::crashes() const {
  std::lock_guard<std::mutex> lock(mutex_);
  return crashes_;
}

int RecordLog::RunCount(const std::string& account,
                        const std::string& key) const {
  std::lock_guard<std::mutex> lock(mutex_);
  const auto runs = run_counts_.find(RunCountKey(account, key));
  return runs == run_counts_.end() ? 0 : runs->second;
}

}  // namespace standins::backend
