// What the origin is seen to bear: how many fetches one balancer may have out, and how long they take. A
// fetch that fails or takes far longer than unhurried ones says that the origin is strained; the limit
// follows (additive increase, multiplicative decrease, as in Jacobson and Karels). Free of I/O.
#ifndef BEECHLEDGE_SIGHT_ORIGIN_PACE_H_
#define BEECHLEDGE_SIGHT_ORIGIN_PACE_H_

#include <algorithm>

#include "beechledge/kept.h"
#include "sight/smoothed.h"

namespace beechledge {

class OriginPace {
 public:
  // `balancers` that share the origin begin with kFleetStart fetches out between them, each with one at
  // least and kStart at most. Guards against a fleet that begins together and fells an origin that none has
  // met yet.
  void Start(int balancers) { limit_ = std::clamp(kFleetStart / std::max(1, balancers), 1.0, kStart); }
  static constexpr double kStart = 16, kFleetStart = 256;

  // Another fetch goes out; one has ended, however it did.
  void Begin(Time now) {
    ++out_;
    begun_ = now;
  }
  void End() { --out_; }
  // A limit below one is a part of the time: after a fetch as long a pause as makes it so. Guards against
  // hundreds of balancers whose one fetch each is more than the origin can do.
  bool Room(Time now) const {
    if (limit_ >= 1) return out_ < limit_;
    return out_ == 0 && Seconds(now - begun_) >= std::min(kLongest, time_ / limit_);
  }
  // Seconds of a usual fetch.
  double Usual() const { return time_; }
  bool Strained() const { return bad_ > kBad; }
  bool NearStrain() const { return bad_ > kBad / 2; }

  // A fetch was served after `took` seconds, from wherever.
  void Served(double took) { time_ += 0.05 * (took - time_); }
  // After End: the origin itself did its work (`answered`), and served it (`ok`), or did not; past `most`
  // seconds it was late whatever others take.
  void Learn(Time now, double took, bool ok, bool answered, double most) {
    const bool bad = !answered || took > std::min(kSlow * base_, most);
    // Guards against a yardstick that grows with the queue it is to find: with the fetches near their
    // limit, longer ones tell of that limit rather than of the origin, and hardly count.
    const bool busy = out_ + 1 > limit_ / 2;
    const double rate = took < base_ ? 0.02 : busy ? 0.0005 : 0.01;
    if (ok) base_ += rate * (took - base_);
    // Where few are out, few tell of the origin, and each counts for more.
    bad_ += (limit_ < kFew ? 0.3 : 0.1) * ((bad ? 1 : 0) - bad_);
    if (bad && bad_ > kBad) {
      if (Seconds(now - cut_at_) > time_) {
        limit_ = std::max(kLeast, limit_ * kCut);
        cut_at_ = now;
      }
    } else if (!bad && busy) {
      limit_ = limit_ < 1 ? std::min(1.0, limit_ * kRise) : limit_ + 1 / limit_;
    }
  }

  // What is learnt, to be kept over a restart.
  Kept::Origin Keep() const { return {limit_, base_, time_}; }
  // Fetches begin where they stood, or nearer the start the less is believed of it. Numbers that cannot
  // have been kept here change nothing.
  void Recall(const Kept::Origin& kept, double faith) {
    if (!(kept.limit >= kLeast && kept.limit < 1e6 && kept.base > 0 && kept.base < 60 && kept.usual > 0 &&
          kept.usual < 60))
      return;
    limit_ += faith * (kept.limit - limit_);
    base_ += faith * (kept.base - base_);
    time_ += faith * (kept.usual - time_);
  }

 private:
  static constexpr double kBad = 0.25;  // share of fetches failed or late from which on the limit falls
  static constexpr double kSlow = 3;    // a fetch this many times longer than unhurried ones counts as late
  static constexpr double kCut = 0.8;   // how far the limit falls at a time
  static constexpr double kLeast = 0.05, kRise = 1.3;  // of limits below one
  static constexpr double kFew = 2;
  static constexpr double kLongest = 2;  // seconds between two fetches, at most
  int out_ = 0;
  double limit_ = 16;
  double bad_ = 0;
  double base_ = 0.1;  // seconds of an unhurried fetch: follows quick ones faster than slow ones
  double time_ = 0.1;
  Time cut_at_{0}, begun_{-1000000000000};
};

}  // namespace beechledge

#endif  // BEECHLEDGE_SIGHT_ORIGIN_PACE_H_
