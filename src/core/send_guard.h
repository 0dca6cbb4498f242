// The check that every attempt has to pass before any byte of it is sent. It runs when the engine is asked
// to send the attempt, and again just before the first byte is written, because the state may have changed
// while the connection was being established. Does no I/O.
#ifndef BRASSWOOD_CORE_SEND_GUARD_H_
#define BRASSWOOD_CORE_SEND_GUARD_H_

#include "base/clock.h"
#include "base/send_verdict.h"

namespace brasswood {

// The state of an attempt, its request and its server at the time of the check.
struct SendFacts {
  bool request_open = false;
  bool answer_begun = false;  // the client receives the answer of another attempt
  bool client_present = true;
  Time now{0};
  Time send_by{0};  // the last byte must be sent before this
  bool attempts_left = true;
  // No other attempt of the request is in flight, or parallel attempts are allowed.
  bool no_conflict = true;
  bool repeat_safe = true;  // the request is safe to run again, or it cannot have run
  bool server_known = true;
  bool server_serving = true;  // in service, or so early in its drain that it may still be sent to
  bool same_endpoint = true;
};

inline SendVerdict EvaluateSend(const SendFacts& facts) {
  if (!facts.request_open) return SendVerdict::kRequestEnded;
  if (facts.answer_begun) return SendVerdict::kAnswerBegun;
  if (!facts.server_known) return SendVerdict::kServerUnknown;
  if (!facts.client_present) return SendVerdict::kClientGone;
  if (facts.now >= facts.send_by) return SendVerdict::kTooLate;
  if (!facts.attempts_left) return SendVerdict::kAttemptLimitReached;
  if (!facts.no_conflict) return SendVerdict::kAttemptInFlight;
  if (!facts.repeat_safe) return SendVerdict::kMayHaveRun;
  if (!facts.server_serving) return SendVerdict::kServerDraining;
  if (!facts.same_endpoint) return SendVerdict::kServerMoved;
  return SendVerdict::kAllowed;
}

}  // namespace brasswood

#endif  // BRASSWOOD_CORE_SEND_GUARD_H_
