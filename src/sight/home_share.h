// Of the new keys, the share that stays in the own hall: all, unless its answers are slower than the other
// halls'; then whole keys cross, a few more at a time, until they are not. Free of I/O.
#ifndef BEECHLEDGE_SIGHT_HOME_SHARE_H_
#define BEECHLEDGE_SIGHT_HOME_SHARE_H_

#include <algorithm>
#include <cmath>

#include "sight/smoothed.h"

namespace beechledge {

class OwnZoneShare {
 public:
  double value() const { return share_; }
  // A cache server's answer took so long, or was waited for in vain.
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
  static constexpr double kLatencyStep = 0.04;  // weight of one answer in its hall's pace
  static constexpr double kCrossRatio = 1.5,
                          kReturnRatio = 1.2;  // times the other's pace: keys cross, or come home
  static constexpr double kShareStep = 0.05;   // so large a share of the keys
  static constexpr Duration kStepInterval = std::chrono::milliseconds(500);  // at a time
  double share_ = 1;
  double own_ = -2, other_ = -2;  // mean logarithm of the seconds to an answer
  Time last_step_{0};
};

}  // namespace beechledge

#endif  // BEECHLEDGE_SIGHT_HOME_SHARE_H_
