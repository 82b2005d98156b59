#ifndef STANDINS_BACKEND_RECORD_H_
#define STANDINS_BACKEND_RECORD_H_

#include <cstdint>
#include <fstream>
#include <map>
#include <mutex>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

namespace standins::backend {

// Record of one execution of a request.
struct RunRecord {
  std::string attempt;
  std::string account;
  std::string request_key;
  std::string body_sha256;
  std::string path;
  int prompt_tokens = 0;
  int completion_tokens = 0;
  // "running", "completed", "cancelled" or "crashed".
  std::string state = "running";
  std::int64_t started_unix_ms = 0;
  // Time of the request's arrival and of its first token, in Unix microseconds;
  // 0 if there is none.
  std::int64_t arrived_unix_us = 0;
  std::int64_t first_token_unix_us = 0;
  std::string answer_sha256;
};

nlohmann::json ToJson(const RunRecord& record);
// Parses the output of ToJson. Missing strings become empty and missing numbers
// 0.
RunRecord ParseRunRecord(const nlohmann::json& json);

// Records of the runs of one backend server. If a file is given, they persist
// across restarts, and a run that was in progress when the process ended is
// loaded as "crashed". Thread-safe.
class RecordLog {
 public:
  using Number = std::size_t;

  // Loads the records in `file` and appends new ones to it. If `file` is empty,
  // records are kept in memory only.
  explicit RecordLog(const std::string& file);

  // Adds a record and returns its number.
  Number Begin(RunRecord record);
  // Replaces the record.
  void Update(Number number, const RunRecord& record);
  // Records that the process is about to crash.
  void RecordCrash();

  std::vector<RunRecord> All() const;
  int crashes() const;
  // Returns the number of runs of an account's request key. Used by plain
  // services.
  int RunCount(const std::string& account, const std::string& key) const;

 private:
  void Load(const std::string& file);
  void Write(const nlohmann::json& line);

  mutable std::mutex mutex_;
  std::ofstream out_;
  std::vector<RunRecord> records_;
  std::map<std::string, int> run_counts_;
  int crashes_ = 0;
};

}  // namespace standins::backend

#endif  // STANDINS_BACKEND_RECORD_H_
