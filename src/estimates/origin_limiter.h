// Limits the concurrent fetches of one balancer from the origin to what the origin sustains, and estimates
// how long they take. A fetch that fails or takes far longer than an unqueued one indicates overload; the
// limit adapts by additive increase and multiplicative decrease (as in Jacobson and Karels). Performs no
// I/O.
#ifndef BEECHLEDGE_ESTIMATES_ORIGIN_LIMITER_H_
#define BEECHLEDGE_ESTIMATES_ORIGIN_LIMITER_H_

#include <algorithm>

#include "beechledge/learned_state.h"
#include "estimates/smoothed.h"

namespace beechledge {

class OriginLimiter {
 public:
  // The `balancers` that share the origin start with kFleetStart concurrent fetches in total, each with at
  // least one and at most kMaxStart. A fleet that starts together would otherwise overload an origin of
  // which no balancer knows anything yet.
  void Start(int balancers) { limit_ = std::clamp(kFleetStart / std::max(1, balancers), 1.0, kMaxStart); }
  static constexpr double kMaxStart = 16, kFleetStart = 256;

  // A fetch was sent; a fetch has ended, with any result.
  void FetchStarted(Time now) {
    ++outstanding_;
    last_start_ = now;
  }
  void FetchEnded() { --outstanding_; }
  // A limit below one stands for a share of the time: each fetch is followed by a pause of matching length.
  // Without this, one fetch at each of hundreds of balancers can exceed the origin's capacity.
  bool MayFetch(Time now) const {
    if (limit_ >= 1) return outstanding_ < limit_;
    return outstanding_ == 0 &&
           Seconds(now - last_start_) >= std::min(kMaxPauseSeconds, usual_seconds_ / limit_);
  }
  // Smoothed duration of a fetch, including any queueing.
  double UsualSeconds() const { return usual_seconds_; }
  bool Overloaded() const { return bad_share_ > kOverloadShare; }
  bool NearOverload() const { return bad_share_ > kOverloadShare / 2; }

  // A fetch was answered after `took` seconds, whether or not the origin was needed for it.
  void RecordServed(double took) { usual_seconds_ += 0.05 * (took - usual_seconds_); }
  // Called after FetchEnded for a fetch that reached the origin. `answered`: the origin answered it; `ok`:
  // successfully. A fetch that took more than `max_seconds` counts as late in any case.
  void RecordResult(Time now, double took, bool ok, bool answered, double max_seconds) {
    const bool bad = !answered || took > std::min(kLateRatio * base_seconds_, max_seconds);
    // Near the limit, longer fetches reflect the queue rather than the origin, so they hardly count:
    // otherwise the baseline would grow with the queue that it is meant to detect.
    const bool busy = outstanding_ + 1 > limit_ / 2;
    const double rate = took < base_seconds_ ? 0.02 : busy ? 0.0005 : 0.01;
    if (ok) base_seconds_ += rate * (took - base_seconds_);
    // With a low limit there are few fetches, so each one counts for more.
    bad_share_ += (limit_ < kLowLimit ? 0.3 : 0.1) * ((bad ? 1 : 0) - bad_share_);
    if (bad && bad_share_ > kOverloadShare) {
      if (Seconds(now - last_cut_) > usual_seconds_) {
        limit_ = std::max(kMinLimit, limit_ * kCut);
        last_cut_ = now;
      }
    } else if (!bad && busy) {
      limit_ = limit_ < 1 ? std::min(1.0, limit_ * kLowLimitRise) : limit_ + 1 / limit_;
    }
  }

  // What was learned, to be persisted over a restart.
  LearnedState::Origin Export() const { return {limit_, base_seconds_, usual_seconds_}; }
  // Restores exported values; the lower the confidence, the less they replace the initial ones. Values that
  // cannot have been exported here are ignored.
  void Restore(const LearnedState::Origin& kept, double confidence) {
    if (!(kept.max_fetches >= kMinLimit && kept.max_fetches < 1e6 && kept.base_seconds > 0 &&
          kept.base_seconds < 60 && kept.usual_seconds > 0 && kept.usual_seconds < 60))
      return;
    limit_ += confidence * (kept.max_fetches - limit_);
    base_seconds_ += confidence * (kept.base_seconds - base_seconds_);
    usual_seconds_ += confidence * (kept.usual_seconds - usual_seconds_);
  }

 private:
  static constexpr double kOverloadShare =
      0.25;                                // share of failed or late fetches above which the limit falls
  static constexpr double kLateRatio = 3;  // a fetch this many times the unqueued duration counts as late
  static constexpr double kCut = 0.8;      // factor of one decrease
  static constexpr double kMinLimit = 0.05,
                          kLowLimitRise = 1.3;   // lower bound and growth factor of limits below one
  static constexpr double kLowLimit = 2;         // below it, each fetch counts for more
  static constexpr double kMaxPauseSeconds = 2;  // between two fetches when the limit is below one
  int outstanding_ = 0;
  double limit_ = 16;
  double bad_share_ = 0;
  double base_seconds_ = 0.1;  // of an unqueued fetch: follows shorter ones faster than longer ones
  double usual_seconds_ = 0.1;
  Time last_cut_{0}, last_start_{-1000000000000};
};

}  // namespace beechledge

#endif  // BEECHLEDGE_ESTIMATES_ORIGIN_LIMITER_H_
