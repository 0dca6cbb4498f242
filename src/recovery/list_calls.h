// The waits of calls to discovery that are spread over a fleet: at the start, and after a refusal. On a
// real router discovery/list_refresher.h owns the bound on the list's age and asks here; on the simulator
// the decision module does. Free of I/O.
//
// The platform counts a change as told kTold after discovery had it and could be reached, whatever became
// of the calls meanwhile. Against that stand hundreds of routers that start, or lose discovery, together:
// their calls have to be spread, or discovery refuses them all. So waits are as long as the fleet is large,
// but never past kMost, which leaves room for three calls within kTold.
//
// Where discovery is short of room, the fleet shares it, and calls that it refuses cost it room as well: a
// fleet that calls the more often the more it is refused keeps everyone out. So waits grow with each
// refusal in a row, up to a bound that leaves several calls within kTold, and a router that heard its word
// a moment ago gives way: the more time its list has left, the longer it waits.
//
// Where lists are pushed, an agent beside this router has them: it serves this router alone, and what it
// has counts as told at once. Nothing is to be spread there, and a call that failed is made again well
// within the time in which a drain has to be heard of.
#ifndef BRASSWOOD_RECOVERY_LIST_CALLS_H_
#define BRASSWOOD_RECOVERY_LIST_CALLS_H_

#include <algorithm>
#include <cmath>

#include "beechledge/balancer.h"
#include "sight/smoothed.h"

namespace beechledge {

class ListCalls {
 public:
  static constexpr Duration kTold = std::chrono::seconds(6);

  explicit ListCalls(const Settings& s)
      : agent_(s.list_agent),
        spread_(std::min<Duration>(
            {kSpreadPerRouter * std::max(1, s.balancers), s.rules.ask_within / 3, kMaxWait})),
        max_wait_(std::max(kMinMaxWait, spread_)),
        first_wait_(std::clamp(kSpreadPerRouter / 2 * std::max(1, s.balancers),
                               std::min(kSmallFleetWait, max_wait_), max_wait_)),
        agent_wait_(std::clamp<Duration>(s.rules.drain_grace / 4, kMinAgentWait, kMaxAgentWait)) {}

  // Until the first call of this process. `any`: evenly drawn from 0 to 1, as everywhere here.
  Duration First(double random) const {
    return agent_ ? Duration(0) : FromSeconds(Seconds(spread_) * random);
  }
  // Over how long the first calls of a fleet that begins together are spread.
  Duration spread() const { return spread_; }
  // Discovery has said its word: the list is true as of now.
  void Told(Time now) {
    last_confirmed_ = now;
    failures_ = 0;
  }
  // It is another discovery from now on, which has not said anything yet.
  void Forget() { last_confirmed_ = Time(-kTold); }
  // Until the next call after one that came to nothing.
  Duration Again(Time now, double random) {
    const double part = 0.5 + 0.5 * random;
    if (agent_) return FromSeconds(Seconds(agent_wait_) * part);
    const double growth = std::pow(kGrowth, std::min(failures_++, kMaxGrowths));
    const Duration left = std::max(Duration(0), last_confirmed_ + kTold - now);
    const Duration wait = std::min(FromSeconds(Seconds(first_wait_) * growth), max_wait_);
    return FromSeconds(Seconds(std::max(wait, left * 2 / 5)) * part);
  }

 private:
  static constexpr Duration kMaxWait = std::chrono::seconds(2);     // between two calls
  static constexpr Duration kMinMaxWait = std::chrono::seconds(1);  // a few routers wait so long, too
  static constexpr Duration kSpreadPerRouter =
      std::chrono::milliseconds(50);  // for each router of the fleet
  static constexpr Duration kSmallFleetWait =
      std::chrono::milliseconds(300);     // between two calls, small fleets
  static constexpr double kGrowth = 1.1;  // of the wait with each refusal in a row
  static constexpr int kMaxGrowths = 8;
  static constexpr Duration kMinAgentWait = std::chrono::milliseconds(25);
  static constexpr Duration kMaxAgentWait = std::chrono::milliseconds(250);

  bool agent_;
  Duration spread_, max_wait_, first_wait_, agent_wait_;
  int failures_ = 0;             // calls since discovery's last word
  Time last_confirmed_{-kTold};  // when the list was last known to be true
};

}  // namespace beechledge

#endif  // BRASSWOOD_RECOVERY_LIST_CALLS_H_
