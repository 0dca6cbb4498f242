// Of the new keys, the share that stays in the own hall: all, unless its answers are slower than the other
// halls'; then whole keys cross, a few more at a time, until they are not. Free of I/O.
#ifndef BEECHLEDGE_SIGHT_HOME_SHARE_H_
#define BEECHLEDGE_SIGHT_HOME_SHARE_H_

#include <algorithm>
#include <cmath>

#include "sight/smoothed.h"

namespace beechledge {

class HomeShare {
 public:
  double value() const { return share_; }
  // A cache server's answer took so long, or was waited for in vain.
  void Learn(Time now, bool home, Duration took) {
    double& pace = home ? home_ : away_;
    pace += kPaceStep * (std::log(std::max(1e-4, Seconds(took))) - pace);
    if (now - at_ < kStep) return;
    at_ = now;
    const double slower = std::exp(home_ - away_);
    if (slower > kSlow) share_ = std::max(0.0, share_ - kShareStep);
    if (slower < kEven) share_ = std::min(1.0, share_ + kShareStep);
  }

 private:
  static constexpr double kPaceStep = 0.04;          // weight of one answer in its hall's pace
  static constexpr double kSlow = 1.5, kEven = 1.2;  // times the other's pace: keys cross, or come home
  static constexpr double kShareStep = 0.05;         // so large a share of the keys
  static constexpr Duration kStep = std::chrono::milliseconds(500);  // at a time
  double share_ = 1;
  double home_ = -2, away_ = -2;  // mean logarithm of the seconds to an answer
  Time at_{0};
};

}  // namespace beechledge

#endif  // BEECHLEDGE_SIGHT_HOME_SHARE_H_
