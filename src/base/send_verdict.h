// What the guard on attempts (core/send_guard.h) says of one; the log and the counters have its names.
#ifndef BRASSWOOD_BASE_SEND_VERDICT_H_
#define BRASSWOOD_BASE_SEND_VERDICT_H_

#include <array>
#include <cstddef>

namespace brasswood {

// Whether an attempt may be sent, or what forbids it.
enum class SendVerdict : std::size_t {
  kAllowed,
  kRequestEnded,    // it has its answer, or was never taken
  kClientGone,      // nobody waits for its answer
  kTooLate,         // its request's time, or its window for repeats, is over
  kAttemptsSpent,   // as many as the settings allow have gone out
  kAttemptOut,      // another attempt of it is out, and the settings allow one at a time
  kMayHaveRun,      // it must not run twice, and an earlier attempt may have run
  kServerUnknown,   // no such server
  kServerDraining,  // it was told to drain, or removed, and half of the grace is over
  kServerMoved,     // the connection leads to where it was
  kCount,
};
inline constexpr std::array<const char*, static_cast<std::size_t>(SendVerdict::kCount)> kSendVerdictNames =
    {"allowed",     "request_ended", "client_gone",    "too_late",        "attempts_spent",
     "attempt_out", "may_have_run",  "server_unknown", "server_draining", "server_moved"};

}  // namespace brasswood

#endif  // BRASSWOOD_BASE_SEND_VERDICT_H_
