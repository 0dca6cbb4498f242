// Compares the work that a server is sent with its capacity at that moment. The emulated servers use it to
// decide when they are overloaded and stop serving, the rule checker to decide whether a router overloaded
// a cold server: both count in the same way.
#ifndef BRASSWOOD_LAB_TRUTH_OVERLOAD_METER_H_
#define BRASSWOOD_LAB_TRUTH_OVERLOAD_METER_H_

#include <algorithm>
#include <deque>
#include <utility>

#include "base/clock.h"

namespace brasswood::lab {

// The capacity of a server: grows linearly from `cold_from` of `full` at `started` to `full` after `ramp`.
struct Capacity {
  double full = 1;  // cores x speed: seconds of work of a core of speed 1, each second
  double cold_from = 1;
  Time started{0};  // 0: long ago
  Duration ramp{0};
  double At(Time now) const {
    if (started == Time(0) || ramp <= Duration(0) || now >= started + ramp) return full;
    const double ramp_share =
        static_cast<double>((now - started).count()) / static_cast<double>(ramp.count());
    return full * (cold_from + (1 - cold_from) * std::max(0.0, ramp_share));
  }
  bool IsCold(Time now) const { return started != Time(0) && now < started + ramp; }
};

// Sums the work that one server was sent within the last `window` and compares it with a budget. Work is
// measured in seconds of a core of speed 1, capacity in such seconds each second. The budget is `multiple`
// times the present capacity times the window, plus `slack_s` seconds of work for random variation; with a
// `multiple` of 0 the server is never overloaded.
class OverloadMeter {
 public:
  OverloadMeter(double multiple, Duration window, double slack_s)
      : multiple_(multiple), window_(window), slack_s_(slack_s) {}
  // Adds work, in seconds of a core of speed 1; to be called in order of arrival. Returns the used share of
  // the budget; above 1 the server is overloaded.
  double Add(Time at, double work_s, double capacity) {
    sent_.emplace_back(at, work_s);
    window_work_s_ += work_s;
    while (sent_.front().first <= at - window_) {
      window_work_s_ -= sent_.front().second;
      sent_.pop_front();
    }
    const double window_s = static_cast<double>(window_.count()) / 1e9;
    const double budget = multiple_ * capacity * window_s + slack_s_;
    return multiple_ <= 0 || budget <= 0 ? 0 : window_work_s_ / budget;
  }

 private:
  double multiple_;
  Duration window_;
  double slack_s_;
  double window_work_s_ = 0;
  std::deque<std::pair<Time, double>> sent_;
};

}  // namespace brasswood::lab

#endif  // BRASSWOOD_LAB_TRUTH_OVERLOAD_METER_H_
