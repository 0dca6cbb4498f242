// The distribution of answer times as one balancer sees it: a decaying histogram that accounts for
// abandoned attempts. Performs no I/O; fixed size.
#ifndef BEECHLEDGE_ESTIMATES_ANSWER_TIMES_H_
#define BEECHLEDGE_ESTIMATES_ANSWER_TIMES_H_

#include <algorithm>
#include <array>
#include <cmath>

#include "beechledge/balancer.h"
#include "estimates/smoothed.h"

namespace beechledge {

// A histogram of answer times on a logarithmic scale; old samples decay.
class AnswerTimes {
 public:
  void Add(Duration d) {
    counts_[Bucket(d)] += 1;
    answered_ += 1;
    if (answered_ + unanswered_ > 1000) {
      for (double& c : counts_) c *= 0.5;
      answered_ *= 0.5;
      unanswered_ *= 0.5;
    }
  }
  // An attempt abandoned after `d` would have been answered later or never: its weight is distributed over
  // the later samples in proportion (redistribution to the right, as Efron describes for the Kaplan-Meier
  // estimator).
  void AddAbandoned(Duration d) {
    const double later = answered_ + unanswered_ - CountUpTo(d);
    if (later < 1) {
      unanswered_ += 1;
      return;
    }
    const std::size_t from = Bucket(d) + 1;
    for (std::size_t i = from; i < counts_.size(); ++i) {
      answered_ += counts_[i] / later;
      counts_[i] += counts_[i] / later;
    }
    unanswered_ += unanswered_ / later;
  }
  // The probability that an attempt outstanding for `out` is answered within another `more`.
  double ChanceWithin(Duration out, Duration more) const {
    const double later = answered_ + unanswered_ - CountUpTo(out);
    return later <= 0 || more <= Duration(0) ? 0 : (CountUpTo(out + more) - CountUpTo(out)) / later;
  }
  bool HasEnoughSamples() const { return answered_ >= 20; }
  Duration Quantile(double q) const {
    double left = q * answered_;
    for (int i = 0; i < kBuckets; ++i) {
      left -= counts_[static_cast<std::size_t>(i)];
      if (left <= 0) return FromSeconds(std::exp2((i - 15.5) / 4) / 1e3);
    }
    return std::chrono::seconds(60);
  }

 private:
  static constexpr int kBuckets = 84;
  static std::size_t Bucket(Duration d) {
    const double ms = std::max(0.01, Seconds(d) * 1e3);
    return static_cast<std::size_t>(std::clamp(static_cast<int>(std::log2(ms) * 4) + 16, 0, kBuckets - 1));
  }
  double CountUpTo(Duration d) const {
    const std::size_t last = Bucket(d);
    double sum = 0;
    for (std::size_t i = 0; i <= last; ++i) sum += counts_[i];
    return sum;
  }
  std::array<double, kBuckets> counts_{};
  double answered_ = 0;
  double unanswered_ = 0;  // weight of abandoned attempts that no later answer accounts for
};

}  // namespace beechledge

#endif  // BEECHLEDGE_ESTIMATES_ANSWER_TIMES_H_
