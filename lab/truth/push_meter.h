// How much work a cold machine is sent against what it can do at that moment. The world uses it to let the
// machine fall, the judge to say whether it was pushed over: one count for both.
#ifndef BRASSWOOD_LAB_TRUTH_PUSH_METER_H_
#define BRASSWOOD_LAB_TRUTH_PUSH_METER_H_

#include <algorithm>
#include <deque>
#include <utility>

#include "base/clock.h"

namespace brasswood::lab {

// Grows evenly from `cold_from` of `full` at `started` to all of it after `ramp`.
struct Capacity {
  double full = 1;  // cores x speed: seconds of standard work a second
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

// A budget over any window of `fall`: `multiple` times the present capacity times the window, and a little
// slack for chance.
class PushMeter {
 public:
  PushMeter(double multiple, Duration fall, double slack_s)
      : multiple_(multiple), fall_(fall), slack_(slack_s) {}
  // Work in standard seconds, in the order of arrival. Returns how full the budget is; above 1 the machine
  // falls.
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
