// The one guard that every attempt passes before anything of it is sent: when the engine is asked to send
// it, and again where its first byte leaves, as much may have changed while a connection came up. Free of
// I/O.
#ifndef BRASSWOOD_CORE_SEND_GUARD_H_
#define BRASSWOOD_CORE_SEND_GUARD_H_

#include "base/clock.h"
#include "base/send_verdict.h"

namespace brasswood {

// What is known of an attempt, its request and its server at that moment.
struct SendFacts {
  bool request_open = false;
  bool client_present = true;
  Time now{0};
  Time send_by{0};  // its last byte has left by then
  bool attempts_left = true;
  bool alone = true;     // no other attempt of its request is out, or several may be
  bool harmless = true;  // running it once more does no harm, or it cannot have run
  bool server_known = true;
  bool server_serving = true;  // or told otherwise so short a time ago that it may still be sent to
  bool same_endpoint = true;
};

inline SendVerdict JudgeSend(const SendFacts& facts) {
  if (!facts.request_open) return SendVerdict::kRequestEnded;
  if (!facts.server_known) return SendVerdict::kServerUnknown;
  if (!facts.client_present) return SendVerdict::kClientGone;
  if (facts.now >= facts.send_by) return SendVerdict::kTooLate;
  if (!facts.attempts_left) return SendVerdict::kAttemptsSpent;
  if (!facts.alone) return SendVerdict::kAttemptOut;
  if (!facts.harmless) return SendVerdict::kMayHaveRun;
  if (!facts.server_serving) return SendVerdict::kServerDraining;
  if (!facts.same_endpoint) return SendVerdict::kServerMoved;
  return SendVerdict::kAllowed;
}

}  // namespace brasswood

#endif  // BRASSWOOD_CORE_SEND_GUARD_H_
