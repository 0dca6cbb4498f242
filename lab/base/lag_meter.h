// How late a loop runs: a beat every 5 ms that notes by how much it was missed, and what its thread costs.
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
    Beat();
  }
  void Stop() {
    if (loop_ != nullptr) loop_->deadlines().Drop(beat_);
  }
  Duration most() const { return most_; }
  std::uint64_t late() const { return late_; }

 private:
  static constexpr Duration kEvery = std::chrono::milliseconds(5);
  void Beat() {
    const Time due = loop_->Now() + kEvery;
    beat_ = loop_->deadlines().Set(due, [this, due] {
      const Duration lag = loop_->Now() - due;
      most_ = std::max(most_, lag);
      late_ += lag > std::chrono::milliseconds(20);
      Beat();
    });
  }
  Loop* loop_ = nullptr;
  Deadlines::Id beat_;
  Duration most_{0};
  std::uint64_t late_ = 0;
};

}  // namespace brasswood::lab

#endif  // BRASSWOOD_LAB_BASE_LAG_METER_H_
