// Detects the outage of a whole zone: several of its servers fail in a row with no answer in between.
// Without this, each balancer would have to find out server by server that the zone is gone. Performs no
// I/O.
#ifndef BEECHLEDGE_ESTIMATES_ZONE_HEALTH_H_
#define BEECHLEDGE_ESTIMATES_ZONE_HEALTH_H_

#include <algorithm>
#include <array>
#include <cstdint>

#include "beechledge/balancer.h"

namespace beechledge {

class ZoneHealth {
 public:
  bool Down(int zone) const { return zones_[Index(zone)].failed_servers >= kDownServers; }
  // For a zone that is down: whether the next request may be a trial; and one has been sent.
  bool MayTry(int zone, Time now) const { return now >= zones_[Index(zone)].next_trial; }
  void RecordTrial(int zone, Time now) { zones_[Index(zone)].next_trial = now + kTrialInterval; }
  // A server of the zone answered, or started: the zone is up.
  void RecordAnswer(int zone) {
    Zone& z = zones_[Index(zone)];
    if (z.failed_servers > 0) ++z.outage;
    z.failed_servers = 0;
  }
  // A server of the zone failed. `counted` belongs to that server (initially 0) and records in which outage
  // it was last counted, so that each server counts once. Returns true if the zone goes down with this
  // failure.
  bool RecordFailure(int zone, Time now, std::uint32_t& counted) {
    Zone& z = zones_[Index(zone)];
    if (counted == z.outage) return false;
    counted = z.outage;
    if (++z.failed_servers != kDownServers) return false;
    RecordTrial(zone, now);
    return true;
  }

 private:
  static constexpr int kMaxZones = 16;    // zones tracked separately; further ones share the last
  static constexpr int kDownServers = 4;  // servers of a zone that failed in a row
  static constexpr Duration kTrialInterval = std::chrono::seconds(1);  // between two trials
  struct Zone {
    int failed_servers = 0;    // since the last answer from the zone
    std::uint32_t outage = 1;  // incremented when the zone answers after failures
    Time next_trial{0};
  };
  static std::size_t Index(int zone) {
    return static_cast<std::size_t>(std::clamp(zone, 0, kMaxZones - 1));
  }
  std::array<Zone, kMaxZones> zones_;
};

}  // namespace beechledge

#endif  // BEECHLEDGE_ESTIMATES_ZONE_HEALTH_H_
