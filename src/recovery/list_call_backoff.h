// Delays of the calls to discovery, spread over a fleet: before the first call, and after a failed one. In
// the router, discovery/list_refresher.h enforces the bound on the list's age and gets the delays from
// here; with the bench adapter the decision module does. Performs no I/O.
//
// The platform requires that a router has received a change at most kMaxNotifyDelay after discovery had it
// and was reachable, whatever happened to calls meanwhile. On the other hand, hundreds of routers may
// start, or lose discovery, together, and discovery refuses all of their calls unless these are spread. So
// the delay grows with the size of the fleet, but never beyond kMaxWait, which leaves time for three calls
// within kMaxNotifyDelay.
//
// If discovery has little capacity, the fleet shares it, and refused calls use capacity, too: a fleet that
// calls more often when refused locks everyone out. So the delay grows with each failure in a row, up to a
// bound that leaves several calls within kMaxNotifyDelay, and a router whose list was confirmed recently
// yields to the others: the more time its list has left, the longer it waits.
//
// If lists are pushed, a local agent has them. It serves this router alone, and what it has counts as
// received at once, so its calls need no spreading; a failed call is repeated well within the time in which
// the router must learn of a drain.
#ifndef BRASSWOOD_RECOVERY_LIST_CALL_BACKOFF_H_
#define BRASSWOOD_RECOVERY_LIST_CALL_BACKOFF_H_

#include <algorithm>
#include <cmath>

#include "beechledge/balancer.h"
#include "estimates/smoothed.h"

namespace beechledge {

class ListCallBackoff {
 public:
  static constexpr Duration kMaxNotifyDelay = std::chrono::seconds(6);

  explicit ListCallBackoff(const Settings& s)
      : agent_(s.local_list_agent),
        spread_(std::min<Duration>(
            {kSpreadPerRouter * std::max(1, s.balancers), s.rules.ask_within / 3, kMaxWait})),
        max_wait_(std::max(kMinMaxWait, spread_)),
        first_wait_(std::clamp(kSpreadPerRouter / 2 * std::max(1, s.balancers),
                               std::min(kSmallFleetWait, max_wait_), max_wait_)),
        agent_wait_(std::clamp<Duration>(s.rules.drain_grace / 4, kMinAgentWait, kMaxAgentWait)) {}

  // Delay before the first call of this process. `random`: uniform between 0 and 1, here and below.
  Duration FirstDelay(double random) const {
    return agent_ ? Duration(0) : FromSeconds(Seconds(spread_) * random);
  }
  // The time over which the first calls of a fleet that starts together are spread.
  Duration spread() const { return spread_; }
  // Discovery has answered: the list is current as of now.
  void Confirmed(Time now) {
    last_confirmed_ = now;
    failures_ = 0;
  }
  // Calls now go to another discovery source, which has not answered yet.
  void SourceChanged() { last_confirmed_ = Time(-kMaxNotifyDelay); }
  // Delay before the next call after a failed one.
  Duration RetryDelay(Time now, double random) {
    const double jitter = 0.5 + 0.5 * random;
    if (agent_) return FromSeconds(Seconds(agent_wait_) * jitter);
    const double growth = std::pow(kGrowth, std::min(failures_++, kMaxGrowths));
    const Duration left = std::max(Duration(0), last_confirmed_ + kMaxNotifyDelay - now);
    const Duration wait = std::min(FromSeconds(Seconds(first_wait_) * growth), max_wait_);
    return FromSeconds(Seconds(std::max(wait, left * 2 / 5)) * jitter);
  }

 private:
  // Upper bound of the spread and of the growing delay.
  static constexpr Duration kMaxWait = std::chrono::seconds(2);
  // Lower bound of max_wait_: a fleet of a few routers also backs off this far.
  static constexpr Duration kMinMaxWait = std::chrono::seconds(1);
  static constexpr Duration kSpreadPerRouter = std::chrono::milliseconds(50);
  // First delay after a failure in small fleets.
  static constexpr Duration kSmallFleetWait = std::chrono::milliseconds(300);
  static constexpr double kGrowth = 1.1;  // of the delay with each failure in a row
  static constexpr int kMaxGrowths = 8;
  static constexpr Duration kMinAgentWait = std::chrono::milliseconds(25);
  static constexpr Duration kMaxAgentWait = std::chrono::milliseconds(250);

  bool agent_;
  Duration spread_, max_wait_, first_wait_, agent_wait_;
  int failures_ = 0;                       // calls that failed since discovery last answered
  Time last_confirmed_{-kMaxNotifyDelay};  // when the list was last confirmed as current
};

}  // namespace beechledge

#endif  // BRASSWOOD_RECOVERY_LIST_CALL_BACKOFF_H_
