#include "dandelionmill/platform/headers.h"

#include <algorithm>
#include <boost/algorithm/string/predicate.hpp>
#include <boost/algorithm/string/split.hpp>
#include <boost/algorithm/string/trim.hpp>
#include <charconv>
#include <cmath>
#include <string_view>
#include <vector>

namespace dandelionmill::platform {
namespace {

using boost::algorithm::iequals;
using boost::beast::http::fields;

constexpr char kAttemptIdField[] = "Attempt-Id";
constexpr char kDeadlineField[] = "Deadline-Milliseconds";
constexpr char kLastEventIdField[] = "Last-Event-Id";
constexpr char kResumedAttemptField[] = "Resumes";
constexpr char kTenantField[] = "Tenant";
constexpr char kExpectedInstanceField[] = "Expected-Instance";
constexpr char kPriorityField[] = "Request-Priority";
constexpr char kBearerScheme[] = "Bearer ";

// Misdirected Request (RFC 9110): the backend server that received the request
// is not the one named in Expected-Instance, and did not run it.
constexpr int kMisdirectedRequest = 421;
constexpr int kServiceUnavailable = 503;

// Longer deadlines are shortened to this value.
constexpr std::chrono::milliseconds kMaxDeadline{3600000};

// Longer pauses that a backend server asks for are shortened to this value, so
// that a wrong one does not take the server out of use for good.
constexpr std::chrono::seconds kMaxPause{60};

// Longer load reports, and reports with a higher count, are malformed. Valid
// ones have at most a few hundred bytes.
constexpr std::size_t kMaxLoadReportBytes = 512;
constexpr int kMaxReportedCount = 1000000;

// Longer remaining warm-up times are shortened to this value, for the same
// reason.
constexpr std::chrono::minutes kMaxWarmUp{10};

// Idle timeouts that backend servers name are moved into this range: 0 means
// that a connection is not kept, and a huge one that it is kept for long.
constexpr std::chrono::milliseconds kMinIdleTimeout{1};
constexpr std::chrono::milliseconds kMaxIdleTimeout{3600000};

// Bytes of a malformed field that are kept for the log.
constexpr std::size_t kMaxLoggedBytes = 64;

// Hop-by-hop fields (RFC 9110, section 7.6.1) and the fields that frame the
// body.
constexpr const char* kHopByHopFields[] = {"Connection",
                                           "Keep-Alive",
                                           "Proxy-Connection",
                                           "Proxy-Authenticate",
                                           "TE",
                                           "Transfer-Encoding",
                                           "Trailer",
                                           "Upgrade",
                                           "Expect",
                                           "Content-Length",
                                           "Proxy-Authorization"};

// Request fields that callers may not set, and the caller's API key.
constexpr const char* kReservedFields[] = {
    kDeadlineField,     kTenantField,    kExpectedInstanceField,
    kPriorityField,     "Authorization", "Expected-Version",
    "Pin-Milliseconds", "Hold",          "Kv-Backup",
    "Kv-From",          "Kv-Fetch"};

template <std::size_t N>
bool IsOneOf(boost::string_view name, const char* const (&names)[N]) {
  return std::any_of(
      std::begin(names), std::end(names),
      [name](const char* candidate) { return iequals(name, candidate); });
}

// Returns the field names listed in the Connection field; these are
// hop-by-hop as well.
std::vector<std::string> ParseConnectionField(const fields& message) {
  std::vector<std::string> names;
  const auto range = message.equal_range(boost::beast::http::field::connection);
  for (auto it = range.first; it != range.second; ++it) {
    std::vector<std::string> parts;
    boost::algorithm::split(parts, it->value(),
                            [](char c) { return c == ','; });
    for (std::string& part : parts) {
      boost::algorithm::trim(part);
      if (!part.empty())
        names.push_back(std::move(part));
    }
  }
  return names;
}

bool ContainsName(boost::string_view name,
                  const std::vector<std::string>& names) {
  return std::any_of(
      names.begin(), names.end(),
      [name](const std::string& token) { return iequals(name, token); });
}

void AppendField(std::string& out,
                 boost::string_view name,
                 boost::string_view value) {
  out.append(name.data(), name.size());
  out += ": ";
  out.append(value.data(), value.size());
  out += "\r\n";
}

std::string FieldValue(const fields& message, const char* name) {
  return std::string(message[name]);
}

base::Error MalformedField(const char* name, const std::string& value) {
  return {base::Code::kMalformedRequest,
          std::string(name) + " \"" + value + "\" cannot be read"};
}

template <class T>
bool ParseNumber(std::string_view text, T& value) {
  const auto [stop, error] =
      std::from_chars(text.data(), text.data() + text.size(), value);
  return error == std::errc() && stop == text.data() + text.size();
}

bool ParseTokenCount(const std::string& text, gateway::ModelRequest& model) {
  const std::size_t comma = text.find(',');
  return comma != std::string::npos &&
         ParseNumber(std::string_view(text).substr(0, comma),
                     model.prompt_tokens) &&
         ParseNumber(std::string_view(text).substr(comma + 1),
                     model.max_output_tokens) &&
         model.prompt_tokens >= 0 && model.max_output_tokens >= 0;
}

// Parses ID:TOKENS,ID:TOKENS. Parsing stops at the first malformed item,
// without an error, since the list only improves the cache hit rate.
std::vector<gateway::PromptPart> ParsePromptPrefix(const std::string& text) {
  std::vector<gateway::PromptPart> parts;
  std::string_view rest = text;
  while (!rest.empty()) {
    const std::size_t comma = rest.find(',');
    std::string_view item = rest.substr(0, comma);
    rest = comma == std::string_view::npos ? "" : rest.substr(comma + 1);
    while (!item.empty() && item.front() == ' ')
      item.remove_prefix(1);
    const std::size_t colon = item.find(':');
    gateway::PromptPart part;
    if (colon == std::string_view::npos ||
        !ParseNumber(item.substr(colon + 1), part.tokens) || part.tokens < 0)
      return parts;
    part.id = std::string(item.substr(0, colon));
    parts.push_back(std::move(part));
  }
  return parts;
}

// Parses running,waiting,slots and an optional fourth figure, the time that
// work takes in percent of the usual. Further figures are ignored.
std::optional<gateway::ResponseMetadata::Load> ParseLoad(
    const std::string& text) {
  constexpr std::size_t kKnownFigures = 3;
  if (text.size() > kMaxLoadReportBytes)
    return std::nullopt;
  std::vector<std::string> parts;
  boost::algorithm::split(parts, text, [](char c) { return c == ','; });
  gateway::ResponseMetadata::Load load;
  const auto parse_count = [](std::string_view part, int& count) {
    return ParseNumber(part, count) && count >= 0 && count <= kMaxReportedCount;
  };
  if (parts.size() < kKnownFigures || !parse_count(parts[0], load.running) ||
      !parse_count(parts[1], load.waiting) ||
      !parse_count(parts[2], load.slots))
    return std::nullopt;
  if (parts.size() > kKnownFigures) {
    double percent = 0;
    if (!ParseNumber(parts[kKnownFigures], percent) ||
        !std::isfinite(percent) || percent <= 0)
      return std::nullopt;
    load.work_time_percent = percent;
  }
  return load;
}

// Parses a number per second. One that cannot be read counts as none.
std::optional<double> ParseRate(const std::string& text) {
  double rate = 0;
  if (text.empty() || !ParseNumber(text, rate) || !std::isfinite(rate) ||
      rate < 0)
    return std::nullopt;
  return rate;
}

// Parses decimal seconds. Rounds up, so that the pause is kept to its end.
std::optional<std::chrono::milliseconds> ParsePause(const std::string& text) {
  double seconds = 0;
  if (!ParseNumber(std::string_view(text), seconds) ||
      !std::isfinite(seconds) || seconds < 0)
    return std::nullopt;
  return std::chrono::ceil<std::chrono::milliseconds>(
      std::min(std::chrono::duration<double>(seconds),
               std::chrono::duration<double>(kMaxPause)));
}

// Parses a number of milliseconds. One that cannot be read counts as none.
std::optional<std::chrono::milliseconds> ParseMilliseconds(
    const std::string& text) {
  double value = 0;
  if (text.empty() || !ParseNumber(std::string_view(text), value) ||
      !std::isfinite(value) || value < 0)
    return std::nullopt;
  return std::chrono::ceil<std::chrono::milliseconds>(
      std::min(std::chrono::duration<double, std::milli>(value),
               std::chrono::duration<double, std::milli>(kMaxWarmUp)));
}

std::optional<std::chrono::milliseconds> ParseKeepAlive(
    const std::string& text) {
  constexpr std::string_view kTimeout = "timeout=";
  const std::size_t at = text.find(kTimeout);
  if (at == std::string::npos)
    return std::nullopt;
  int seconds = 0;
  const char* begin = text.data() + at + kTimeout.size();
  if (std::from_chars(begin, text.data() + text.size(), seconds).ec !=
      std::errc())
    return std::nullopt;
  return std::clamp<std::chrono::milliseconds>(
      std::chrono::seconds(seconds), kMinIdleTimeout, kMaxIdleTimeout);
}

}  // namespace

base::Result<gateway::RequestMetadata> DecodeRequestMetadata(
    const fields& message) {
  gateway::RequestMetadata metadata;
  metadata.attempt = base::AttemptId(FieldValue(message, kAttemptIdField));
  metadata.host = FieldValue(message, "Host");
  metadata.last_event_id = FieldValue(message, kLastEventIdField);
  metadata.resumed_attempt =
      base::AttemptId(FieldValue(message, kResumedAttemptField));
  const std::string authorization = FieldValue(message, "Authorization");
  if (boost::algorithm::istarts_with(authorization, kBearerScheme))
    metadata.api_key = authorization.substr(sizeof(kBearerScheme) - 1);
  const std::string deadline = FieldValue(message, kDeadlineField);
  if (!deadline.empty()) {
    std::int64_t value = 0;
    if (!ParseNumber(std::string_view(deadline), value) || value < 0) {
      return base::Error{base::Code::kBadDeadline,
                         MalformedField(kDeadlineField, deadline).detail};
    }
    metadata.remaining_time =
        std::min(std::chrono::milliseconds(value), kMaxDeadline);
  }
  const std::string count = FieldValue(message, "Token-Count");
  if (!count.empty()) {
    gateway::ModelRequest model;
    if (!ParseTokenCount(count, model))
      return MalformedField("Token-Count", count);
    model.model = FieldValue(message, "Model");
    model.parts = ParsePromptPrefix(FieldValue(message, "Prompt-Prefix"));
    metadata.model = std::move(model);
  }
  return metadata;
}

void AppendForwardedFields(const fields& caller,
                           const ForwardedRequestFields& forwarded,
                           std::string& out) {
  const std::vector<std::string> connection_names =
      ParseConnectionField(caller);
  for (const auto& field : caller) {
    const boost::string_view name = field.name_string();
    if (IsOneOf(name, kHopByHopFields) || IsOneOf(name, kReservedFields) ||
        ContainsName(name, connection_names))
      continue;
    if (!forwarded.resume_after_event.empty() &&
        iequals(name, kLastEventIdField))
      continue;
    AppendField(out, name, field.value());
  }
  AppendField(out, kDeadlineField,
              std::to_string(forwarded.remaining_time.count()));
  AppendField(out, kExpectedInstanceField, forwarded.backend.value());
  if (!forwarded.account.empty())
    AppendField(out, kTenantField, forwarded.account.value());
  if (forwarded.priority)
    AppendField(out, kPriorityField,
                std::to_string(std::clamp(*forwarded.priority, 0, 9)));
  if (!forwarded.resume_after_event.empty())
    AppendField(out, kLastEventIdField, forwarded.resume_after_event);
  if (forwarded.has_body)
    AppendField(out, "Content-Length", std::to_string(forwarded.body_bytes));
}

gateway::ResponseMetadata DecodeResponseMetadata(int status,
                                                 const fields& message) {
  gateway::ResponseMetadata metadata;
  metadata.attempt = base::AttemptId(FieldValue(message, kAttemptIdField));
  metadata.not_executed = status == kMisdirectedRequest ||
                          message.find("Not-Executed") != message.end();
  metadata.is_other_backend = status == kMisdirectedRequest;
  metadata.has_signature = message.find("Server-Signature") != message.end();
  const std::string load = FieldValue(message, "Server-Load");
  if (!load.empty()) {
    metadata.load = ParseLoad(load);
    if (!metadata.load)
      metadata.malformed_load = load.substr(0, kMaxLoggedBytes);
  }
  metadata.requests_per_s = ParseRate(FieldValue(message, "Server-Limit"));
  metadata.max_rejections_per_s =
      ParseRate(FieldValue(message, "Server-Brittle"));
  metadata.remaining_warm_up =
      ParseMilliseconds(FieldValue(message, "Cold-Milliseconds"));
  metadata.is_leaving = FieldValue(message, "Server-Leaving") == "1";
  const std::string retry_after = FieldValue(message, "Retry-After");
  if (status == kServiceUnavailable && !retry_after.empty()) {
    metadata.pause = ParsePause(retry_after);
    if (!metadata.pause)
      metadata.malformed_pause = retry_after.substr(0, kMaxLoggedBytes);
  }
  metadata.idle_timeout = ParseKeepAlive(FieldValue(message, "Keep-Alive"));
  return metadata;
}

void AppendResponseFields(const fields& response, std::string& out) {
  const std::vector<std::string> connection_names =
      ParseConnectionField(response);
  for (const auto& field : response) {
    const boost::string_view name = field.name_string();
    if (IsOneOf(name, kHopByHopFields) || ContainsName(name, connection_names))
      continue;
    AppendField(out, name, field.value());
  }
}

void AppendAttemptField(const base::AttemptId& attempt, std::string& out) {
  if (!attempt.empty())
    AppendField(out, kAttemptIdField, attempt.value());
}

const char* ReadinessPath() {
  return "/api/readiness";
}

}  // namespace dandelionmill::platform
