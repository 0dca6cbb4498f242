// Compares the work that a server is sent with its capacity at that moment. The emulated servers use it to
// decide when they are overloaded and stop serving, the rule checker to decide whether a router overloaded
// a cold server: both count in the same way.
#ifndef BRASSWOOD_LAB_TRUTH_PUSH_METER_H_
#define BRASSWOOD_LAB_TRUTH_PUSH_METER_H_

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
    const double grown = static_cast<double>((now - started).count()) / static_cast<double>(ramp.count());
    return full * (cold_from + (1 - cold_from) * std::max(0.0, grown));
  }
  bool Cold(Time now) const { return started != Time(0) && now < started + ramp; }
};

// A work budget for a sliding window of length `fall`: `multiple` times the present capacity times the
// window, plus a little slack for random variation.
class PushMeter {
 public:
  PushMeter(double multiple, Duration fall, double slack_s)
      : multiple_(multiple), fall_(fall), slack_(slack_s) {}
  // Adds work, in seconds of a core of speed 1; to be called in order of arrival. Returns the used share of
  // the budget; above 1 the server is overloaded.
  double Add(Time at, double work_s, double capacity) {
    sent_.emplace_back(at, work_s);
    sum_ += work_s;
    while (sent_.front().first <= at - fall_) {
      sum_ -= sent_.front().second;
      sent_.pop_front();
    }
    const double window = static_cast<double>(fall_.count()) / 1e9;
    const double budget = multiple_ * capacity * window + slack_;
    return multiple_ <= 0 || budget <= 0 ? 0 : sum_ / budget;
  }

 private:
  double multiple_;
  Duration fall_;
  double slack_;
  double sum_ = 0;
  std::deque<std::pair<Time, double>> sent_;
};

}  // namespace brasswood::lab

#endif  // BRASSWOOD_LAB_TRUTH_PUSH_METER_H_
