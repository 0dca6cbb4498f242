// The start of a router as a small state machine: how far its server list can be trusted. Performs no I/O.
//
//   listening  --persisted list-->        remembered  --list from discovery-->  confirmed
//   listening  --list from discovery-->   confirmed
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
  enum class Phase { kListening, kRemembered, kConfirmed };

  // A list was received. `old`: a persisted list so old that servers may have been replaced since.
  void Listed(ListKind kind, bool old) {
    if (kind == ListKind::kRemembered && phase_ != Phase::kConfirmed) {
      phase_ = Phase::kRemembered;
      list_is_old_ = old;
    } else if (kind == ListKind::kAll || kind == ListKind::kChanges) {
      phase_ = Phase::kConfirmed;
    }
  }
  Phase phase() const { return phase_; }
  // Whether a server with this many outstanding attempts may get another one. `answered`: it has answered
  // since this process started.
  bool MayTry(int outstanding, bool answered) const {
    return phase_ != Phase::kRemembered || !list_is_old_ || answered || outstanding == 0;
  }

 private:
  Phase phase_ = Phase::kListening;
  bool list_is_old_ = false;
};

}  // namespace beechledge

#endif  // BRASSWOOD_RECOVERY_STARTUP_H_
