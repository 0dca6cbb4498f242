// Which halls have fallen silent as a whole: told from a server in trouble by several of its servers
// failing in a row with no answer between them. Guards against learning server by server, at each balancer,
// what the first few have told. Free of I/O.
#ifndef BEECHLEDGE_SIGHT_HALLS_H_
#define BEECHLEDGE_SIGHT_HALLS_H_

#include <algorithm>
#include <array>
#include <cstdint>

#include "beechledge/balancer.h"

namespace beechledge {

class ZoneHealth {
 public:
  bool Down(int zone) const { return zones_[Index(zone)].failed_servers >= kDownServers; }
  // Of a lost one: may the next request try it, and one has.
  bool MayTry(int zone, Time now) const { return now >= zones_[Index(zone)].next_trial; }
  void RecordTrial(int zone, Time now) { zones_[Index(zone)].next_trial = now + kTrialInterval; }
  // Something there answered, or began: it is not lost.
  void RecordAnswer(int zone) {
    Zone& z = zones_[Index(zone)];
    if (z.failed_servers > 0) ++z.outage;
    z.failed_servers = 0;
  }
  // A server there failed; `counted` is that server's own, 0 at first, and tells whether it has been
  // counted in this spell. True: with this the hall is lost.
  bool RecordFailure(int zone, Time now, std::uint32_t& counted) {
    Zone& z = zones_[Index(zone)];
    if (counted == z.outage) return false;
    counted = z.outage;
    if (++z.failed_servers != kDownServers) return false;
    RecordTrial(zone, now);
    return true;
  }

 private:
  static constexpr int kMaxZones = 16;    // halls told apart; further ones share the last
  static constexpr int kDownServers = 4;  // servers of one hall that failed in a row
  static constexpr Duration kTrialInterval = std::chrono::seconds(1);  // how often a lost hall is tried
  struct Zone {
    int failed_servers = 0;    // servers that have failed since its last answer
    std::uint32_t outage = 1;  // counts its answers after silence
    Time next_trial{0};
  };
  static std::size_t Index(int zone) {
    return static_cast<std::size_t>(std::clamp(zone, 0, kMaxZones - 1));
  }
  std::array<Zone, kMaxZones> zones_;
};

}  // namespace beechledge

#endif  // BEECHLEDGE_SIGHT_HALLS_H_
