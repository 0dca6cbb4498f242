// The module's records of servers, attempts and requests.
#ifndef BEECHLEDGE_POLICY_RECORDS_H_
#define BEECHLEDGE_POLICY_RECORDS_H_

#include <algorithm>
#include <vector>

#include "beechledge/balancer.h"
#include "estimates/smoothed.h"

namespace beechledge::policy {

struct Server {
  bool known = false;   // has been listed under this name
  bool listed = false;  // is in the current list, draining or not
  std::uint64_t hash = 0;
  int zone = 0, kind = 0, cell = 0;
  Availability availability = Availability::kRemoved;
  // Its last start, never in the future; and the start that the list states, which may be in the future.
  Time started{0}, listed_start{0};
  std::uint32_t incarnation = 0;  // counts restarts: what an earlier incarnation held is gone

  int inflight = 0;
  Time last_activity{0};  // its last answer, or a send to it while it was idle
  Time last_answer{-1};   // negative: none yet
  Smoothed load;          // smoothed in-flight count of this instance
  LoadReport report;
  Time report_at{-1};

  Smoothed sends;  // decaying count over kRateTau: the evidence behind its load
  double failure_share = 0;
  int failure_streak = 0;
  int ejections = 0;
  Time ejected_until{0};
  bool ejected = false;
  int trial_attempts = 0;  // half-open: outstanding trial attempts

  double cold_tokens = 0;
  Time cold_at{0};
  double expected_share = 1;         // scratch of Choose: its share of the load; 1: a warm average server
  std::uint32_t counted_outage = 0;  // the outage of its zone that its failure was last counted in
  Time close_idle_until{0};          // it refused a connection: idle connections are closed until then
};

struct Attempt {
  ServerId server;
  Time sent;
  bool fetch = false;  // expected to cause a request to the origin
  bool outstanding = true;
  bool may_have_run = true;
  bool overdue = false;           // cancelled for taking too long
  bool answering = false;         // its answer has begun to arrive, and is buffered
  std::uint32_t incarnation = 0;  // of its server, when it was sent
  // It failed on the network path (malformed answer, broken or unresponsive connection) while its server
  // was answering other requests.
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
  bool awaits_fetch = false;  // held until its fetch is allowed
  bool shed = false;          // rejected by admission: only a cold server with budget left may serve it
  bool missed = false;        // cache-aside: a server has answered that it lacks the key

  bool MayHaveRun() const {
    return std::any_of(attempts.begin(), attempts.end(), [](const Attempt& a) { return a.may_have_run; });
  }
  // Whether an attempt at this server has failed or is outstanding. One attempt lost in transit does not
  // count, so that a key's holder is not left, and its content fetched again, for a network error; a second
  // one counts.
  bool HasTried(ServerId s) const {
    int lost = 0;
    return std::any_of(attempts.begin(), attempts.end(), [&](const Attempt& a) {
      return a.server == s && (!a.lost_in_transit || ++lost > 1);
    });
  }
};

enum class TimerKind { kDeadline, kHedge, kHeld, kListCall, kWatch };

}  // namespace beechledge::policy

#endif  // BEECHLEDGE_POLICY_RECORDS_H_
