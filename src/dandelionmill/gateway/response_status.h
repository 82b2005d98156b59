#ifndef SRC_DANDELIONMILL_GATEWAY_RESPONSE_STATUS_H_
#define SRC_DANDELIONMILL_GATEWAY_RESPONSE_STATUS_H_

namespace dandelionmill::gateway {

enum class StatusKind {
  // Another response follows.
  kInterim,
  kFinal,
  // Nothing that a response with such a status says may be trusted.
  kInvalid,
};

// Returns the kind of an HTTP status code. 101 is invalid, since no request of
// this program asks for another protocol.
constexpr StatusKind KindOfStatus(unsigned status) {
  if (status < 100 || status > 599 || status == 101)
    return StatusKind::kInvalid;
  return status < 200 ? StatusKind::kInterim : StatusKind::kFinal;
}

constexpr bool IsSuccess(unsigned status) {
  return status >= 200 && status < 300;
}

}  // namespace dandelionmill::gateway

#endif  // SRC_DANDELIONMILL_GATEWAY_RESPONSE_STATUS_H_
