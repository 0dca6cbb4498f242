// The share of new keys that is placed in the own zone: all of them, unless its answers are slower than
// those of the other zones. Then whole keys are placed in other zones, a few more at each step, until the
// latencies are alike. Performs no I/O.
#ifndef BEECHLEDGE_ESTIMATES_OWN_ZONE_SHARE_H_
#define BEECHLEDGE_ESTIMATES_OWN_ZONE_SHARE_H_

#include <algorithm>
#include <cmath>

#include "estimates/smoothed.h"

namespace beechledge {

class OwnZoneShare {
 public:
  double value() const { return share_; }
  // A cache server answered after `took`, or `took` stands for an attempt that got no answer.
  void Learn(Time now, bool own_zone, Duration took) {
    double& latency = own_zone ? own_ : other_;
    latency += kLatencyStep * (std::log(std::max(1e-4, Seconds(took))) - latency);
    if (now - last_step_ < kStepInterval) return;
    last_step_ = now;
    const double ratio = std::exp(own_ - other_);
    if (ratio > kCrossRatio) share_ = std::max(0.0, share_ - kShareStep);
    if (ratio < kReturnRatio) share_ = std::min(1.0, share_ + kShareStep);
  }

 private:
  static constexpr double kLatencyStep = 0.04;  // weight of one answer in its zone's mean
  // Ratio of the own zone's latency to the others': above the first keys leave, below the second they
  // return.
  static constexpr double kCrossRatio = 1.5, kReturnRatio = 1.2;
  static constexpr double kShareStep = 0.05;  // share of the keys moved in one step
  static constexpr Duration kStepInterval = std::chrono::milliseconds(500);
  double share_ = 1;
  double own_ = -2, other_ = -2;  // mean logarithm of the latency in seconds
  Time last_step_{0};
};

}  // namespace beechledge

#endif  // BEECHLEDGE_ESTIMATES_OWN_ZONE_SHARE_H_
