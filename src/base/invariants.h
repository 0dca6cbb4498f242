// The rules as run-time checks: each is looked at where it could be broken, after the fact and apart from
// the guards that are to keep it. A violation is counted, and logged with the id that it befell; the
// process goes on. Counts stand among the counters (SIGUSR1, exit): a sound run says violations=0.
#ifndef BRASSWOOD_BASE_INVARIANTS_H_
#define BRASSWOOD_BASE_INVARIANTS_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <ostream>
#include <string_view>

#include "base/clock.h"

namespace brasswood {

enum class Invariant : std::size_t {
  kAnsweredOnce,       // a request has one answer
  kAnsweredInTime,     // at most Invariants::kMostLate after its client's time
  kAnsweredBeforeEnd,  // its connection is not closed from this side before that, and no process ends
  kSentInTime,         // an attempt's last byte leaves within its time
  kSentForOpen,        // and while its request waits for an answer
  kSentToServing,      // to a server that was not told to drain longer than the grace ago
  kSentAlone,          // no second attempt while one is out, unless the settings allow it
  kSentHarmlessly,     // no effect twice
  kNoLateWork,         // nothing is forwarded that was read after a shutdown's last moment for new work
  kCount,
};
inline constexpr std::array<const char*, static_cast<std::size_t>(Invariant::kCount)> kInvariantNames = {
    "answered_once",   "answered_in_time", "answered_before_end", "sent_in_time", "sent_for_open",
    "sent_to_serving", "sent_alone",       "sent_harmlessly",     "no_late_work"};

class Invariants {
 public:
  // An answer may come this much after its request's time: the process may have been held up.
  static constexpr Duration kMostLate = std::chrono::milliseconds(500);
  // And a byte leave this much after the clock was read for it.
  static constexpr Duration kMostHeldUp = std::chrono::milliseconds(150);

  // Counts and logs a violation unless `holds`. `id`: of the request, or who else it befell.
  void Expect(bool holds, Invariant what, std::string_view id) {
    if (!holds) Violated(what, id);
  }
  std::uint64_t violations() const { return all_; }
  std::uint64_t violations(Invariant what) const { return counts_[static_cast<std::size_t>(what)]; }

 private:
  // Lines logged at most: the counts go on.
  static constexpr std::uint64_t kMostLines = 100;

  void Violated(Invariant what, std::string_view id);

  std::array<std::uint64_t, static_cast<std::size_t>(Invariant::kCount)> counts_{};
  std::uint64_t all_ = 0;
};

// " violations=N", and of what where there are any.
std::ostream& operator<<(std::ostream& out, const Invariants& invariants);

}  // namespace brasswood

#endif  // BRASSWOOD_BASE_INVARIANTS_H_
