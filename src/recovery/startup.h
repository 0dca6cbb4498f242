// The start of a router as a small state machine: how far its server list can be trusted. Performs no I/O.
//
//   no list  --persisted list-->        persisted  --list from discovery-->  confirmed
//   no list  --list from discovery-->   confirmed
//
// If a persisted list is old, its servers may have been replaced and their addresses reused. It then only
// suggests what to try: each of its servers gets one attempt at a time until it has answered. A recent or
// confirmed list is used without this limit.
#ifndef BRASSWOOD_RECOVERY_STARTUP_H_
#define BRASSWOOD_RECOVERY_STARTUP_H_

#include "beechledge/balancer.h"

namespace beechledge {

class Startup {
 public:
  enum class Phase { kNoList, kPersisted, kConfirmed };

  // A list was received. `stale`: a persisted list so old that servers may have been replaced since.
  void ListReceived(ListKind kind, bool stale) {
    if (kind == ListKind::kPersisted && phase_ != Phase::kConfirmed) {
      phase_ = Phase::kPersisted;
      list_is_stale_ = stale;
    } else if (kind == ListKind::kAll || kind == ListKind::kChanges) {
      phase_ = Phase::kConfirmed;
    }
  }
  Phase phase() const { return phase_; }
  // Whether a server with this many outstanding attempts may get another one. `answered`: it has answered
  // since this process started.
  bool MayTry(int outstanding, bool answered) const {
    return phase_ != Phase::kPersisted || !list_is_stale_ || answered || outstanding == 0;
  }

 private:
  Phase phase_ = Phase::kNoList;
  bool list_is_stale_ = false;
};

}  // namespace beechledge

#endif  // BRASSWOOD_RECOVERY_STARTUP_H_
