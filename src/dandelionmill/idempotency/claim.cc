#include "dandelionmill/idempotency/claim.h"

#include <nlohmann/json.hpp>

namespace dandelionmill::idempotency {
namespace {

using Json = nlohmann::json;

constexpr char kClaimed[] = "claimed";
constexpr char kDone[] = "done";
constexpr char kReleased[] = "released";

const char* NameOf(ClaimState state) {
  switch (state) {
    case ClaimState::kClaimed:
      return kClaimed;
    case ClaimState::kDone:
      return kDone;
    case ClaimState::kReleased:
      return kReleased;
  }
  return kClaimed;
}

// An unknown state counts as claimed, which lets no other attempt run.
ClaimState ParseState(const std::string& name) {
  if (name == kDone)
    return ClaimState::kDone;
  if (name == kReleased)
    return ClaimState::kReleased;
  return ClaimState::kClaimed;
}

}  // namespace

std::string ClaimKey(const RequestIdentity& name) {
  return "claim/" + name.account.value() + "/" + name.key.value();
}

base::Result<Claim> ParseClaim(const std::string& text) {
  const Json json = Json::parse(text, nullptr, false);
  if (!json.is_object() || !json.contains("attempt"))
    return base::Error{base::Code::kMalformedMessage, "claim row: " + text};
  try {
    Claim claim;
    claim.attempt = base::AttemptId(json.value("attempt", ""));
    claim.state = ParseState(json.value("state", ""));
    claim.body_sha256 = json.value("body_sha256", "");
    claim.holder = base::HolderId(json.value("holder", ""));
    claim.backend = base::BackendId(json.value("backend", ""));
    claim.at_unix_ms = json.value("at_unix_ms", std::int64_t{0});
    return claim;
  } catch (const Json::exception& exception) {
    return base::Error{base::Code::kMalformedMessage,
                       "claim row: " + std::string(exception.what())};
  }
}

std::string ToJson(const Claim& claim) {
  const Json json = {
      {"attempt", claim.attempt.value()}, {"state", NameOf(claim.state)},
      {"body_sha256", claim.body_sha256}, {"holder", claim.holder.value()},
      {"backend", claim.backend.value()}, {"at_unix_ms", claim.at_unix_ms}};
  return json.dump();
}

ClaimDecision EvaluateClaim(const Claim& existing, const Claim& requested) {
  if (existing.attempt == requested.attempt) {
    if (existing.state == ClaimState::kClaimed)
      return ClaimAlreadyHeld{};
    return Rejected{{base::Code::kOutcomeUnknown, "the claim has been settled"},
                    base::Ran::kMaybe,
                    {}};
  }
  if (existing.state == ClaimState::kReleased)
    return ClaimAvailable{};
  if (existing.body_sha256 != requested.body_sha256) {
    return Rejected{
        {base::Code::kKeyReused, "the key was used with another request body"},
        base::Ran::kNo,
        {}};
  }
  const std::string attempt = "attempt " + existing.attempt.value();
  if (existing.state == ClaimState::kDone) {
    return Rejected{
        {base::Code::kRanAlready, attempt + " completed"}, base::Ran::kYes, {}};
  }
  return Rejected{{base::Code::kOutcomeUnknown, attempt + " holds the claim"},
                  base::Ran::kMaybe,
                  {}};
}

}  // namespace dandelionmill::idempotency
