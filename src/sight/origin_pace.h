// What the origin is seen to bear: how many fetches one balancer may have out, and how long they take. A
// fetch that fails or takes far longer than unhurried ones says that the origin is strained; the limit
// follows (additive increase, multiplicative decrease, as in Jacobson and Karels). Free of I/O.
#ifndef BEECHLEDGE_SIGHT_ORIGIN_PACE_H_
#define BEECHLEDGE_SIGHT_ORIGIN_PACE_H_

#include <algorithm>

#include "beechledge/kept.h"
#include "sight/smoothed.h"

namespace beechledge {

class OriginLimiter {
 public:
  // `balancers` that share the origin begin with kFleetStart fetches out between them, each with one at
  // least and kStart at most. Guards against a fleet that begins together and fells an origin that none has
  // met yet.
  void Start(int balancers) { limit_ = std::clamp(kFleetStart / std::max(1, balancers), 1.0, kMaxStart); }
  static constexpr double kMaxStart = 16, kFleetStart = 256;

  // Another fetch goes out; one has ended, however it did.
  void FetchStarted(Time now) {
    ++outstanding_;
    last_start_ = now;
  }
  void FetchEnded() { --outstanding_; }
  // A limit below one is a part of the time: after a fetch as long a pause as makes it so. Guards against
  // hundreds of balancers whose one fetch each is more than the origin can do.
  bool MayFetch(Time now) const {
    if (limit_ >= 1) return outstanding_ < limit_;
    return outstanding_ == 0 &&
           Seconds(now - last_start_) >= std::min(kMaxPauseSeconds, usual_seconds_ / limit_);
  }
  // Seconds of a usual fetch.
  double UsualSeconds() const { return usual_seconds_; }
  bool Overloaded() const { return bad_share_ > kOverloadShare; }
  bool NearOverload() const { return bad_share_ > kOverloadShare / 2; }

  // A fetch was served after `took` seconds, from wherever.
  void RecordServed(double took) { usual_seconds_ += 0.05 * (took - usual_seconds_); }
  // After End: the origin itself did its work (`answered`), and served it (`ok`), or did not; past `most`
  // seconds it was late whatever others take.
  void RecordResult(Time now, double took, bool ok, bool answered, double max_seconds) {
    const bool bad = !answered || took > std::min(kLateRatio * base_seconds_, max_seconds);
    // Guards against a yardstick that grows with the queue it is to find: with the fetches near their
    // limit, longer ones tell of that limit rather than of the origin, and hardly count.
    const bool busy = outstanding_ + 1 > limit_ / 2;
    const double rate = took < base_seconds_ ? 0.02 : busy ? 0.0005 : 0.01;
    if (ok) base_seconds_ += rate * (took - base_seconds_);
    // Where few are out, few tell of the origin, and each counts for more.
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

  // What is learnt, to be kept over a restart.
  Kept::Origin Export() const { return {limit_, base_seconds_, usual_seconds_}; }
  // Fetches begin where they stood, or nearer the start the less is believed of it. Numbers that cannot
  // have been kept here change nothing.
  void Restore(const Kept::Origin& kept, double confidence) {
    if (!(kept.limit >= kMinLimit && kept.limit < 1e6 && kept.base > 0 && kept.base < 60 &&
          kept.usual > 0 && kept.usual < 60))
      return;
    limit_ += confidence * (kept.limit - limit_);
    base_seconds_ += confidence * (kept.base - base_seconds_);
    usual_seconds_ += confidence * (kept.usual - usual_seconds_);
  }

 private:
  static constexpr double kOverloadShare =
      0.25;  // share of fetches failed or late from which on the limit falls
  static constexpr double kLateRatio =
      3;                               // a fetch this many times longer than unhurried ones counts as late
  static constexpr double kCut = 0.8;  // how far the limit falls at a time
  static constexpr double kMinLimit = 0.05, kLowLimitRise = 1.3;  // of limits below one
  static constexpr double kLowLimit = 2;
  static constexpr double kMaxPauseSeconds = 2;  // seconds between two fetches, at most
  int outstanding_ = 0;
  double limit_ = 16;
  double bad_share_ = 0;
  double base_seconds_ = 0.1;  // seconds of an unhurried fetch: follows quick ones faster than slow ones
  double usual_seconds_ = 0.1;
  Time last_cut_{0}, last_start_{-1000000000000};
};

}  // namespace beechledge

#endif  // BEECHLEDGE_SIGHT_ORIGIN_PACE_H_
