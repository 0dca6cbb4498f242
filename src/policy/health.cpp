// Outlier detection: which servers and zones are avoided after failures, and for how long.
#include "policy/core.h"

namespace beechledge {

// Records the outcome of an attempt and ejects the server if it is an outlier. An attempt lost in transit
// counts in the failure share but not in the streak: the server works, and a few network errors by chance
// must not eject it. (Resets on all servers alike once used up kMaxEjectedShare, so that a hung server was
// not ejected.)
void Balancer::Core::RecordHealth(Server& s, bool failed, bool connect_failed, bool lost_in_transit) {
  // The streak required shrinks with the number of samples per kEjectMin. If that is one or less, a single
  // failure is all the evidence there will be; waiting for three would cost that many requests at each
  // balancer of the fleet.
  const double samples = SampleRate() * Seconds(kEjectMin);
  const int streak = std::clamp(1 + static_cast<int>(samples), 1, kEjectStreak);
  s.failure_share +=
      (samples < 1 && !lost_in_transit ? 0.5 : kHealthStep) * ((failed ? 1 : 0) - s.failure_share);
  fleet_failure_share_ += kHealthStep / 10 * ((failed ? 1 : 0) - fleet_failure_share_);
  if (!lost_in_transit) s.failure_streak = failed ? s.failure_streak + 1 : 0;
  if (s.ejected && now_ >= s.ejected_until) {
    if (!failed) {  // half-open, and the trial was answered
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
       (connect_failed && s.failure_streak >= 2))) {
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
  // An ejection shorter than the time between two samples would have no effect.
  const double sample_interval = kEjectSamples / std::max(SampleRate(), 0.25);
  const double ejection =
      std::max(Seconds(kEjectMin), sample_interval) * std::exp2(std::min(s.ejections, 6));
  const double max_ejection = std::max(Seconds(kEjectMax), 4 * sample_interval);
  s.ejected_until = now_ + FromSeconds(std::min(ejection, max_ejection) * (1 + 0.2 * Uniform()));
  ++s.ejections;
}

// Records an answer or a failure for the server's zone; closes idle connections to the zone when it goes
// down.
void Balancer::Core::RecordZoneResult(Server& s, bool answered) {
  if (IsOrigin(s)) return;
  if (answered) return zones_.RecordAnswer(s.zone);
  if (!zones_.RecordFailure(s.zone, now_, s.counted_outage)) return;
  for (ServerId id : up_servers_) {  // idle connections there are useless
    if (servers_[id].zone == s.zone && !IsOrigin(servers_[id])) out_->push_back(CloseIdle{id});
  }
}

// Whether requests may be sent to this server: neither it nor its zone is avoided, or a trial is due.
bool Balancer::Core::Healthy(const Server& s) const {
  if (ZoneDown(s)) return zones_.MayTry(s.zone, now_);
  return !s.ejected || (now_ >= s.ejected_until && s.trial_attempts == 0);
}

}  // namespace beechledge
