// When what an event loop reads can have arrived, told from the times of its polls alone. Free of I/O.
//
// A loop that is held up (by its own work, by the scheduler, by a write that blocks) reads late. What it
// finds then has waited unread, and the time of a request runs from its arrival. The kernel reports what is
// readable when a poll returns, so:
//   - data found by a poll that had to wait arrived when that poll returned;
//   - data found by a poll that returned at once arrived after the poll before it had returned;
//   - a poll that returned well past the deadline that was to end it ran on a process that stood still, and
//     what it found may have arrived since that deadline.
#ifndef BRASSWOOD_BASE_POLL_TIMES_H_
#define BRASSWOOD_BASE_POLL_TIMES_H_

#include <algorithm>
#include <optional>

#include "base/clock.h"

namespace brasswood {

class PollTimes {
 public:
  // A poll begins; `due`: the deadline that ends it at the latest, if there is one.
  void Entered(Time now, std::optional<Time> due) {
    before_ = returned_.value_or(entered_);
    entered_ = now;
    due_ = due;
    returned_.reset();
  }
  // The poll has returned. Only the first call after Entered counts.
  void Returned(Time at) {
    if (!returned_) returned_ = std::max(at, entered_);
  }
  bool has_returned() const { return returned_.has_value(); }
  Time entered() const { return entered_; }
  // The earliest moment at which what this poll found can have arrived; to be asked after Returned.
  Time Arrived() const {
    const Time returned = returned_.value_or(entered_);
    if (returned - entered_ < kAtOnce) return before_;
    if (due_ && returned - *due_ > kAtOnce) return std::max(*due_, entered_);
    return returned;
  }

 private:
  // Below this a poll has not waited: the loop's own clock is no finer.
  static constexpr Duration kAtOnce = std::chrono::milliseconds(5);

  Time before_{0};   // when the last poll but this one returned, or began where that is not known
  Time entered_{0};  // when this poll began
  std::optional<Time> due_;
  std::optional<Time> returned_;
};

}  // namespace brasswood

#endif  // BRASSWOOD_BASE_POLL_TIMES_H_
