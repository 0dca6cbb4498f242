// What the module keeps of servers, halls and requests.
#ifndef BEECHLEDGE_CHOICE_RECORDS_H_
#define BEECHLEDGE_CHOICE_RECORDS_H_

#include <algorithm>
#include <vector>

#include "beechledge/balancer.h"
#include "sight/smoothed.h"

namespace beechledge::choice {

struct Server {
  bool known = false;   // has been listed, under this name
  bool listed = false;  // in the list now, draining or not
  std::uint64_t hash = 0;
  int zone = 0, kind = 0, cell = 0;
  Availability availability = Availability::kRemoved;
  Time started{0}, listed_start{0};  // its last start; as the list has it, be it in the future
  std::uint32_t incarnation = 0;     // counts restarts: what it held before is gone

  int inflight = 0;
  Time last_activity{0};  // when it last answered anything, or was given work while it had none
  Time last_answer{-1};   // when it last answered anything
  Smoothed load;          // of own in-flight
  LoadReport report;
  Time report_at{-1};

  Smoothed sends;  // decaying over kRateTau: how much evidence its load is
  double failure_share = 0;
  int failure_streak = 0;
  int ejections = 0;
  Time ejected_until{0};
  bool ejected = false;
  int trial_attempts = 0;  // half-open: attempts out on trial

  double cold_tokens = 0;
  Time cold_at{0};
  double expected_share =
      1;  // scratch of Choose: what it is to carry, 1 for a warm server of mean capacity
  std::uint32_t counted_outage = 0;  // the spell of its hall's silence that it has been counted in
  Time close_idle_until{0};          // it refused a connection: idle ones are given back
};

struct Attempt {
  ServerId server;
  Time sent;
  bool fetch = false;  // a miss is likely: the origin will be asked
  bool outstanding = true;
  bool may_have_run = true;
  bool overdue = false;           // taken back for taking too long
  std::uint32_t incarnation = 0;  // of its server, when it was sent
  // It ended by something on its way, a spoilt answer or a broken or silent connection, while its server
  // was at work for others.
  bool lost_in_transit = false;
};

struct Request {
  RequestId id = 0;
  int request_class = 0;
  bool keyed = false;
  bool write = false;
  std::uint64_t key = 0;
  Time arrived{0}, deadline{0};
  std::vector<Attempt> attempts;
  int outstanding = 0;
  bool ended = false;
  bool streaming = false;
  bool held = false;
  bool awaits_fetch = false;  // held for want of room for its fetch
  bool shed = false;          // turned away from warm servers: only a cold one with room may serve it
  bool missed = false;        // aside: a server has said that it lacks the key

  bool MayHaveRun() const {
    return std::any_of(attempts.begin(), attempts.end(), [](const Attempt& a) { return a.may_have_run; });
  }
  // Has this server failed it? Guards against leaving a key's holder, and fetching what it holds, for one
  // attempt that went astray; a second one counts.
  bool HasTried(ServerId s) const {
    int lost_in_transit = 0;
    return std::any_of(attempts.begin(), attempts.end(), [&](const Attempt& a) {
      return a.server == s && (!a.lost_in_transit || ++lost_in_transit > 1);
    });
  }
};

enum class TimerKind { kDeadline, kHedge, kHeld, kListCall, kWatch };

}  // namespace beechledge::choice

#endif  // BEECHLEDGE_CHOICE_RECORDS_H_
