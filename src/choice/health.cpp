// Which servers and halls are avoided after what they failed, and for how long.
#include "choice/core.h"

namespace beechledge {

// An attempt that went astray counts in the share but not in a streak: the server works, and a few of
// them by chance must not take it out. (Resets on all servers alike once filled kEjectCap, and a server
// that hung stayed in.)
void Balancer::Core::RecordHealth(Server& s, bool failed, bool hard, bool lost_in_transit) {
  // A second's looks make the evidence: where they are one or none, one failure is all that there will
  // be, and waiting for three costs as many requests at each balancer of the fleet.
  const double looks = SampleRate() * Seconds(kEjectMin);
  const int streak = std::clamp(1 + static_cast<int>(looks), 1, kEjectStreak);
  s.failure_share +=
      (looks < 1 && !lost_in_transit ? 0.5 : kHealthStep) * ((failed ? 1 : 0) - s.failure_share);
  fleet_failure_share_ += kHealthStep / 10 * ((failed ? 1 : 0) - fleet_failure_share_);
  if (!lost_in_transit) s.failure_streak = failed ? s.failure_streak + 1 : 0;
  if (s.ejected && now_ >= s.ejected_until) {
    if (!failed) {  // half-open, and it answered
      s.ejected = false;
      s.failure_share = 0;
      return;
    }
    Eject(s);
    return;
  }
  if (!failed) {
    if (s.failure_share < 0.05) s.ejections = 0;
    return;
  }
  const bool worse_than_peers = s.failure_share > 2 * fleet_failure_share_ + 0.1;
  if (!s.ejected && worse_than_peers &&
      (s.failure_share > kEjectShare || (!lost_in_transit && s.failure_streak >= streak) ||
       (hard && s.failure_streak >= 2))) {
    Eject(s);
  }
}

void Balancer::Core::Eject(Server& s) {
  if (!s.ejected) {
    int ejected = 0, listed = 0;
    for (const Server& o : servers_) {
      listed += o.availability == Availability::kUp;
      ejected += o.availability == Availability::kUp && o.ejected;
    }
    if (ejected + 1 > kMaxEjectedShare * listed) return;
  }
  s.ejected = true;
  // Shorter than the time between two looks, a spell would change nothing.
  const double look = kEjectSamples / std::max(SampleRate(), 0.25);
  const double spell = std::max(Seconds(kEjectMin), look) * std::exp2(std::min(s.ejections, 6));
  const double most = std::max(Seconds(kEjectMax), 4 * look);
  s.ejected_until = now_ + FromSeconds(std::min(spell, most) * (1 + 0.2 * Uniform()));
  ++s.ejections;
}

// A lost hall is told from a server in trouble.
void Balancer::Core::RecordZoneResult(Server& s, bool answered) {
  if (IsOrigin(s)) return;
  if (answered) return zones_.RecordAnswer(s.zone);
  if (!zones_.RecordFailure(s.zone, now_, s.counted_outage)) return;
  for (ServerId id : up_servers_) {  // what is open there leads nowhere
    if (servers_[id].zone == s.zone && !IsOrigin(servers_[id])) out_->push_back(CloseIdle{id});
  }
}

bool Balancer::Core::Healthy(const Server& s) const {
  if (ZoneDown(s)) return zones_.MayTry(s.zone, now_);
  return !s.ejected || (now_ >= s.ejected_until && s.trial_attempts == 0);
}

}  // namespace beechledge
