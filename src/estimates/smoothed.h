// An exponentially smoothed value that decays with time. Performs no I/O; the caller passes the time.
#ifndef BEECHLEDGE_ESTIMATES_SMOOTHED_H_
#define BEECHLEDGE_ESTIMATES_SMOOTHED_H_

#include <algorithm>
#include <cmath>

#include "beechledge/balancer.h"

namespace beechledge {

inline double Seconds(Duration d) { return std::chrono::duration<double>(d).count(); }
inline Duration FromSeconds(double s) {
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(std::clamp(s, 0.0, 1e6)));
}

struct Smoothed {
  double value = 0;
  Time at{0};

  // The value at `now`, if the input has been `level` since the last call of Advance or Add.
  double Read(Time now, Duration tau, double level = 0) const {
    return level + (value - level) * std::exp(-Seconds(now - at) / Seconds(tau));
  }
  void Advance(Time now, Duration tau, double level) {
    value = Read(now, tau, level);
    at = now;
  }
  // Adds an amount to a decaying sum.
  void Add(Time now, Duration tau, double amount) {
    value = Read(now, tau) + amount;
    at = now;
  }
};

}  // namespace beechledge

#endif  // BEECHLEDGE_ESTIMATES_SMOOTHED_H_
