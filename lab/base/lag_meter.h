// Measures event loop lag with a timer that fires every 5 ms and records how late it ran; also reads the
// CPU time of the current thread.
#ifndef BRASSWOOD_LAB_BASE_LAG_METER_H_
#define BRASSWOOD_LAB_BASE_LAG_METER_H_

#include <ctime>

#include "net/loop.h"

namespace brasswood::lab {

inline Duration ThreadCpu() {
  timespec t{};
  ::clock_gettime(CLOCK_THREAD_CPUTIME_ID, &t);
  return std::chrono::seconds(t.tv_sec) + Duration(t.tv_nsec);
}

class LagMeter {
 public:
  void Start(Loop& loop) {
    loop_ = &loop;
    ScheduleTick();
  }
  void Stop() {
    if (loop_ != nullptr) loop_->deadlines().Cancel(timer_);
  }
  // The largest lag measured so far.
  Duration most() const { return max_lag_; }
  // The number of ticks that ran more than 20 ms late.
  std::uint64_t late() const { return late_ticks_; }

 private:
  static constexpr Duration kInterval = std::chrono::milliseconds(5);
  void ScheduleTick() {
    const Time due = loop_->Now() + kInterval;
    timer_ = loop_->deadlines().Set(due, [this, due] {
      const Duration lag = loop_->Now() - due;
      max_lag_ = std::max(max_lag_, lag);
      late_ticks_ += lag > std::chrono::milliseconds(20);
      ScheduleTick();
    });
  }
  Loop* loop_ = nullptr;
  Deadlines::Id timer_;
  Duration max_lag_{0};
  std::uint64_t late_ticks_ = 0;
};

}  // namespace brasswood::lab

#endif  // BRASSWOOD_LAB_BASE_LAG_METER_H_
