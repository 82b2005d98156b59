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

constexpr char kAttemptId[] = "Attempt-Id";
constexpr char kDeadline[] = "Deadline-Milliseconds";
constexpr char kLastEventId[] = "Last-Event-Id";
constexpr char kTenant[] = "Tenant";
constexpr char kExpectedInstance[] = "Expected-Instance";
constexpr char kPriority[] = "Request-Priority";
constexpr char kBearer[] = "Bearer ";

// The status with which a backend server says that it is not the expected one.
constexpr int kMisdirected = 421;

// Longest deadline that is taken as given.
constexpr std::chrono::milliseconds kMaxDeadline{3600000};

// Fields that concern one connection only (RFC 9110, section 7.6.1), and those
// that frame the body.
constexpr const char* kConnectionFields[] = {"Connection",
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

// Request fields that only the fleet may set, and the caller's key.
constexpr const char* kFleetFields[] = {
    kDeadline,          kTenant,         kExpectedInstance,
    kPriority,          "Authorization", "Expected-Version",
    "Pin-Milliseconds", "Hold",          "Kv-Backup",
    "Kv-From",          "Kv-Fetch"};

template <std::size_t N>
bool IsOneOf(boost::string_view name, const char* const (&names)[N]) {
  return std::any_of(
      std::begin(names), std::end(names),
      [name](const char* other) { return iequals(name, other); });
}

// Returns the names listed in the Connection field, which are not forwarded.
std::vector<std::string> ConnectionTokens(const fields& message) {
  std::vector<std::string> tokens;
  const auto range = message.equal_range(boost::beast::http::field::connection);
  for (auto at = range.first; at != range.second; ++at) {
    std::vector<std::string> parts;
    boost::algorithm::split(parts, at->value(),
                            [](char c) { return c == ','; });
    for (std::string& part : parts) {
      boost::algorithm::trim(part);
      if (!part.empty())
        tokens.push_back(std::move(part));
    }
  }
  return tokens;
}

bool IsListed(boost::string_view name, const std::vector<std::string>& tokens) {
  return std::any_of(
      tokens.begin(), tokens.end(),
      [name](const std::string& token) { return iequals(name, token); });
}

void Append(std::string& out,
            boost::string_view name,
            boost::string_view value) {
  out.append(name.data(), name.size());
  out += ": ";
  out.append(value.data(), value.size());
  out += "\r\n";
}

std::string Text(const fields& message, const char* name) {
  return std::string(message[name]);
}

base::Error Malformed(const char* name, const std::string& value) {
  return {base::Code::kMalformedRequest,
          std::string(name) + " \"" + value + "\" cannot be read"};
}

template <class T>
bool ParseWhole(std::string_view text, T& value, int radix = 10) {
  const auto [stop, error] =
      std::from_chars(text.data(), text.data() + text.size(), value, radix);
  return error == std::errc() && stop == text.data() + text.size();
}

bool ParseTokenCount(const std::string& text, gateway::ModelTerms& model) {
  const std::size_t comma = text.find(',');
  return comma != std::string::npos &&
         ParseWhole(std::string_view(text).substr(0, comma),
                    model.prompt_tokens) &&
         ParseWhole(std::string_view(text).substr(comma + 1),
                    model.max_output_tokens) &&
         model.prompt_tokens >= 0 && model.max_output_tokens >= 0;
}

// Parses ID:TOKENS,ID:TOKENS. What cannot be read only costs cache hits.
std::vector<gateway::PromptPart> ParseParts(const std::string& text) {
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
        !ParseWhole(item.substr(colon + 1), part.tokens) || part.tokens < 0)
      return parts;
    part.id = std::string(item.substr(0, colon));
    parts.push_back(std::move(part));
  }
  return parts;
}

std::optional<gateway::AnswerTerms::Load> ParseLoad(const std::string& text) {
  std::vector<std::string> parts;
  boost::algorithm::split(parts, text, [](char c) { return c == ','; });
  gateway::AnswerTerms::Load load;
  if (parts.size() != 3 || !ParseWhole(parts[0], load.running) ||
      !ParseWhole(parts[1], load.waiting) || !ParseWhole(parts[2], load.slots))
    return std::nullopt;
  return load;
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
  return std::chrono::seconds(seconds);
}

}  // namespace

base::Result<gateway::RequestTerms> DecodeRequestTerms(const fields& message) {
  gateway::RequestTerms terms;
  terms.attempt = base::AttemptId(Text(message, kAttemptId));
  terms.host = Text(message, "Host");
  terms.last_event_id = Text(message, kLastEventId);
  const std::string authorization = Text(message, "Authorization");
  if (boost::algorithm::istarts_with(authorization, kBearer))
    terms.api_key = authorization.substr(sizeof(kBearer) - 1);
  const std::string deadline = Text(message, kDeadline);
  if (!deadline.empty()) {
    std::int64_t value = 0;
    if (!ParseWhole(std::string_view(deadline), value) || value < 0) {
      return base::Error{base::Code::kBadDeadline,
                         Malformed(kDeadline, deadline).detail};
    }
    terms.time_left = std::min(std::chrono::milliseconds(value), kMaxDeadline);
  }
  const std::string count = Text(message, "Token-Count");
  if (!count.empty()) {
    gateway::ModelTerms model;
    if (!ParseTokenCount(count, model))
      return Malformed("Token-Count", count);
    model.model = Text(message, "Model");
    model.parts = ParseParts(Text(message, "Prompt-Prefix"));
    terms.model = std::move(model);
  }
  return terms;
}

void AppendForwardedFields(const fields& caller,
                           const ForwardTerms& terms,
                           std::string& out) {
  const std::vector<std::string> listed = ConnectionTokens(caller);
  for (const auto& field : caller) {
    const boost::string_view name = field.name_string();
    if (IsOneOf(name, kConnectionFields) || IsOneOf(name, kFleetFields) ||
        IsListed(name, listed))
      continue;
    if (!terms.resume_after.empty() && iequals(name, kLastEventId))
      continue;
    Append(out, name, field.value());
  }
  Append(out, kDeadline, std::to_string(terms.time_left.count()));
  Append(out, kExpectedInstance, terms.backend.value());
  if (!terms.account.empty())
    Append(out, kTenant, terms.account.value());
  if (terms.priority)
    Append(out, kPriority, std::to_string(std::clamp(*terms.priority, 0, 9)));
  if (!terms.resume_after.empty())
    Append(out, kLastEventId, terms.resume_after);
  if (terms.has_body)
    Append(out, "Content-Length", std::to_string(terms.body_bytes));
}

gateway::AnswerTerms DecodeAnswerTerms(int status, const fields& message) {
  gateway::AnswerTerms terms;
  terms.attempt = base::AttemptId(Text(message, kAttemptId));
  terms.not_executed =
      status == kMisdirected || message.find("Not-Executed") != message.end();
  terms.is_other_backend = status == kMisdirected;
  terms.has_signature = message.find("Server-Signature") != message.end();
  // Running, waiting and slots in one field.
  terms.load = ParseLoad(Text(message, "Server-Load"));
  terms.idle_timeout = ParseKeepAlive(Text(message, "Keep-Alive"));
  return terms;
}

void AppendAnswerFields(const fields& answer, std::string& out) {
  const std::vector<std::string> listed = ConnectionTokens(answer);
  for (const auto& field : answer) {
    const boost::string_view name = field.name_string();
    if (IsOneOf(name, kConnectionFields) || IsListed(name, listed))
      continue;
    Append(out, name, field.value());
  }
}

void AppendAttemptField(const base::AttemptId& attempt, std::string& out) {
  if (!attempt.empty())
    Append(out, kAttemptId, attempt.value());
}

const char* ReadinessPath() {
  return "/api/readiness";
}

}  // namespace dandelionmill::platform
