// The result of the check that each attempt must pass before it is sent (core/send_guard.h). The log and
// the counters use the names given here.
#ifndef BRASSWOOD_BASE_SEND_VERDICT_H_
#define BRASSWOOD_BASE_SEND_VERDICT_H_

#include <array>
#include <cstddef>

namespace brasswood {

// Whether an attempt may be sent, or the first reason found why not.
enum class SendVerdict : std::size_t {
  kAllowed,
  kRequestEnded,         // the request was answered, or never accepted
  kClientGone,           // the client has closed its connection
  kTooLate,              // the request's deadline or its window for repeats has passed
  kAttemptLimitReached,  // the request has used all attempts that the settings allow
  kAttemptInFlight,  // another attempt of the request is in flight, and the settings allow one at a time
  kMayHaveRun,       // the request must not run twice, and an earlier attempt may have run
  kServerUnknown,    // the server is not listed
  kServerDraining,   // the server drains or was removed, and half of the grace period is over
  kServerMoved,      // the connection leads to the server's former address
  kAnswerBegun,      // the client already receives the answer of another attempt
  kCount,
};
inline constexpr std::array<const char*, static_cast<std::size_t>(SendVerdict::kCount)> kSendVerdictNames =
    {"allowed",      "request_ended",  "client_gone",     "too_late",     "attempts_spent", "attempt_out",
     "may_have_run", "server_unknown", "server_draining", "server_moved", "answer_begun"};

}  // namespace brasswood

#endif  // BRASSWOOD_BASE_SEND_VERDICT_H_
