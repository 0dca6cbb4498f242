// Run-time checks of the rules that the router must keep. Each is checked where it could be broken, after
// the fact and independently of the code that enforces it. A violation is counted and logged with the id of
// the request that it concerns, and the process goes on. The counts are printed with the counters (SIGUSR1,
// exit); without any violation they read violations=0.
#ifndef BRASSWOOD_BASE_INVARIANTS_H_
#define BRASSWOOD_BASE_INVARIANTS_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <ostream>
#include <string_view>

#include "base/clock.h"

namespace brasswood {

// The rules that the router must keep. Its components check them at run time with Invariants::Expect, each
// where it could be broken. In logs and counters a rule has its name from kInvariantNames, not that of its
// enumerator.
enum class Invariant : std::size_t {
  kAnsweredOnce,         // a request has exactly one answer
  kAnsweredInTime,       // it is answered at most Invariants::kMaxAnswerDelay after its deadline
  kAnsweredBeforeClose,  // until it is answered, the router closes neither its client's connection nor the
                         // process
  kSentInTime,           // an attempt's last byte is sent before its deadline
  kSentForOpenRequest,   // an attempt is sent only while its request waits for an answer
  kSentToServingServer,  // no attempt goes to a server that began to drain longer than the grace period ago
  kOneAttemptAtATime,    // no second attempt while one is in flight, unless the settings allow it
  kNoDuplicateEffect,    // a request that must not take effect twice is not sent again once it may have run
  kNoNewWorkAfterDeadline,  // no request is forwarded that was read after a shutdown's deadline for new
                            // work
  kCount,
};
inline constexpr std::array<const char*, static_cast<std::size_t>(Invariant::kCount)> kInvariantNames = {
    "answered_once",   "answered_in_time", "answered_before_end", "sent_in_time", "sent_for_open",
    "sent_to_serving", "sent_alone",       "sent_harmlessly",     "no_late_work"};

// Counts the violations of each invariant.
class Invariants {
 public:
  // How long after its request's deadline an answer may come: the process may have been stalled.
  static constexpr Duration kMaxAnswerDelay = std::chrono::milliseconds(500);
  // How long after its deadline was checked a byte may be sent, for the same reason.
  static constexpr Duration kMaxSendDelay = std::chrono::milliseconds(150);

  // Counts and logs a violation unless `holds`. `id`: the request's, or what else the violation concerns.
  void Expect(bool holds, Invariant invariant, std::string_view id) {
    if (!holds) RecordViolation(invariant, id);
  }
  std::uint64_t violations() const { return total_; }
  std::uint64_t violations(Invariant invariant) const {
    return counts_[static_cast<std::size_t>(invariant)];
  }

 private:
  // Further violations are only counted, so that a rule that is broken all the time does not fill the log.
  static constexpr std::uint64_t kMaxLoggedViolations = 100;

  void RecordViolation(Invariant invariant, std::string_view id);

  std::array<std::uint64_t, static_cast<std::size_t>(Invariant::kCount)> counts_{};
  std::uint64_t total_ = 0;
};

// Writes " violations=N", followed by " violated_NAME=N" for each invariant that was violated.
std::ostream& operator<<(std::ostream& out, const Invariants& invariants);

}  // namespace brasswood

#endif  // BRASSWOOD_BASE_INVARIANTS_H_
