// Bounds the arrival time of the data that an event loop reads, from the times of its polls alone. Does no
// I/O.
//
// A loop that is delayed (by its own work, by the scheduler, by a write that blocks) reads late: the data
// has waited unread, but a request's deadline counts from its arrival. The kernel reports what is readable
// when a poll returns, so:
//   - data found by a poll that had to wait arrived when that poll returned;
//   - data found by a poll that returned at once arrived after the previous poll had returned;
//   - a poll that returned well past its own deadline ran in a process that was stalled, and what it found
//     may have arrived at any time since that deadline.
#ifndef BRASSWOOD_BASE_POLL_TIMES_H_
#define BRASSWOOD_BASE_POLL_TIMES_H_

#include <algorithm>
#include <optional>

#include "base/clock.h"

namespace brasswood {

class PollTimes {
 public:
  // A poll begins. `deadline`: when it returns at the latest, if it has a timeout.
  void PollStarted(Time now, std::optional<Time> deadline) {
    previous_return_ = returned_.value_or(entered_);
    entered_ = now;
    deadline_ = deadline;
    returned_.reset();
  }
  // The poll has returned. Calls after the first one since PollStarted are ignored.
  void PollReturned(Time at) {
    if (!returned_) returned_ = std::max(at, entered_);
  }
  bool has_returned() const { return returned_.has_value(); }
  Time started() const { return entered_; }
  // The earliest time at which the data that this poll found can have arrived. Call it after PollReturned.
  Time EarliestArrival() const {
    const Time returned = returned_.value_or(entered_);
    if (returned - entered_ < kMinWait) return previous_return_;
    if (deadline_ && returned - *deadline_ > kMinWait) return std::max(*deadline_, entered_);
    return returned;
  }

 private:
  // A poll that took less than this counts as not having waited: the loop's clock is no finer.
  static constexpr Duration kMinWait = std::chrono::milliseconds(5);

  Time previous_return_{0};  // when the previous poll returned, or began if its return is not known
  Time entered_{0};          // when this poll began
  std::optional<Time> deadline_;
  std::optional<Time> returned_;
};

}  // namespace brasswood

#endif  // BRASSWOOD_BASE_POLL_TIMES_H_
