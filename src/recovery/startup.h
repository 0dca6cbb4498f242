// The start of a router, as a small state machine: what the list it serves from is worth by now. Free of
// I/O.
//
//   listening  --a remembered list-->  remembered  --discovery's word-->  confirmed
//   listening  --discovery's word--->  confirmed
//
// While a remembered list is old, servers in it may have been replaced and their addresses given to
// others: it says what to try carefully, never that something is up. Each of its servers gets one attempt
// at a time until it has answered. A fresh one, or a confirmed one, is served from without more ado.
#ifndef BRASSWOOD_RECOVERY_STARTUP_H_
#define BRASSWOOD_RECOVERY_STARTUP_H_

#include "beechledge/balancer.h"

namespace beechledge {

class Startup {
 public:
  enum class Phase { kListening, kRemembered, kConfirmed };

  // A list has come; `old`: a remembered one that is older than servers live unchanged.
  void Listed(ListKind kind, bool old) {
    if (kind == ListKind::kRemembered && phase_ != Phase::kConfirmed) {
      phase_ = Phase::kRemembered;
      list_is_old_ = old;
    } else if (kind == ListKind::kAll || kind == ListKind::kChanges) {
      phase_ = Phase::kConfirmed;
    }
  }
  Phase phase() const { return phase_; }
  // May another attempt go to a server that has so many out and has, or has not, answered in this process?
  bool MayTry(int outstanding, bool answered) const {
    return phase_ != Phase::kRemembered || !list_is_old_ || answered || outstanding == 0;
  }

 private:
  Phase phase_ = Phase::kListening;
  bool list_is_old_ = false;
};

}  // namespace beechledge

#endif  // BRASSWOOD_RECOVERY_STARTUP_H_
