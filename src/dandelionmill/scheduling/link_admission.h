#ifndef SRC_DANDELIONMILL_SCHEDULING_LINK_ADMISSION_H_
#define SRC_DANDELIONMILL_SCHEDULING_LINK_ADMISSION_H_

#include <chrono>

namespace dandelionmill::scheduling {

// What is known of whether a caller has been sent away with this request.
enum class CallerHistory { kFresh, kReturned, kUnknown };

// How long a caller waits before it returns with a request that was redirected.
inline constexpr std::chrono::milliseconds kRedirectDelay{20};

// A caller that declares less time than the route allows has spent some of it
// before. `timeout` is that of the route and `remaining_time` what the caller
// declares; one that declares more than the timeout shows nothing.
CallerHistory HistoryOf(std::chrono::milliseconds timeout,
                        std::chrono::milliseconds remaining_time);

// Returns the share of new requests, from 0 to 1, that should be refused so
// that their retries reach other instances. `link_load` is the load of the
// link relative to what it carries without queues. Answers a load in which one
// caller, whom the balancer gives to one instance by hash, sends more than the
// link of that instance carries, while its retries are spread over instances
// with room. Fresh requests go early, before a queue makes all late; a caller
// that has returned has no further retry and stays as long as the link can bear
// it.
double RedirectShare(double link_load, CallerHistory history);

}  // namespace dandelionmill::scheduling

#endif  // SRC_DANDELIONMILL_SCHEDULING_LINK_ADMISSION_H_
