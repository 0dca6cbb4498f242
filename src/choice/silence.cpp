// What is out and will not be answered in time: found, and taken back where a repeat does no harm.
#include "choice/core.h"

namespace beechledge {

// Guards against servers that take requests and answer none. Their requests would be found out only as
// the clients give up, far too late for another try. A busy server that has said nothing for several
// times a usual answer is ejected at once, and what it was to answer goes elsewhere where a repeat is
// harmless and the retry budget has room. A merely loaded server still answers something, and where all
// are slow the measure grows with them.
void Balancer::Core::EjectUnresponsive() {
  if (!answer_times_.HasEnoughSamples() || !settings_.allowed.cancel) return;
  const Duration most = std::max<Duration>(MinPatience(longest_aim_), 2 * answer_times_.Quantile(0.95));
  for (ServerId id : up_servers_) {
    Server& s = servers_[id];
    const bool trial = s.ejected && s.trial_attempts > 0;
    if (s.inflight < (trial ? 1 : kUnresponsiveAttempts) || now_ - s.last_activity < most || IsOrigin(s))
      continue;
    if (s.ejected && !trial) continue;  // known already
    s.last_activity = now_;
    Eject(s);
    if (s.ejected) CancelAttemptsAt(id);
  }
}

// What the retry budget still bears beside what this very event takes back already. Guards against taking
// back more than can be asked again: the rest would be refused, though an answer might have come.
double Balancer::Core::RemainingRetryBudget() const {
  return retry_tokens_ - static_cast<double>(std::count_if(out_->begin(), out_->end(), [](const Action& a) {
           return std::holds_alternative<Cancel>(a);
         }));
}

// Cancels what is out at a server, the newest first: their clients wait longest.
void Balancer::Core::CancelAttemptsAt(ServerId id) {
  std::vector<Request*> there;
  for (auto& [key, r] : requests_) {
    if (r.ended || r.streaming || r.outstanding != 1 || ClassOf(r).effect != Effect::kSafe) continue;
    if (r.attempts.back().outstanding && r.attempts.back().server == id) there.push_back(&r);
  }
  std::sort(there.begin(), there.end(), [](const Request* a, const Request* b) {
    return a->arrived != b->arrived ? a->arrived > b->arrived : a->id > b->id;
  });
  double room = RemainingRetryBudget();
  for (Request* r : there) {
    if ((room -= 1) < 0) break;
    r->attempts.back().overdue = true;
    out_->emplace_back(Cancel{r->id, static_cast<int>(r->attempts.size()) - 1});
  }
}

// Guards against attempts that nothing will ever answer, or not in time, while another one would be: the
// server is slow or hangs, or the connection has fallen silent. A safe request, or a keyed one within its
// rules, is taken back once, as soon as another attempt is clearly likelier to be in time than this one,
// by what answers take here and by how second attempts have fared; and while the retry budget lasts. In a
// tier that is merely slow neither is likelier, and nothing is sent twice. The origin goes on with what
// it was sent: it gets longer than answers ever take, and keeps all while it is strained.
void Balancer::Core::CancelOverdue() {
  if (!answer_times_.HasEnoughSamples() || !settings_.allowed.cancel) return;
  const Duration slowest = FromSeconds(kOriginPatience * Seconds(answer_times_.Quantile(0.99)));
  double room = RemainingRetryBudget();
  for (auto& [key, r] : requests_) {
    if (r.ended || r.streaming || r.outstanding != 1 || !r.attempts.back().outstanding) continue;
    Attempt& a = r.attempts.back();
    const Server& s = servers_[a.server];
    const RequestClass& c = ClassOf(r);
    const Time last = LatestUsefulTime(r);
    const Duration out = now_ - a.sent;
    if (out < MinPatience(c.aim)) continue;
    if (std::any_of(r.attempts.begin(), r.attempts.end(), [](const Attempt& o) { return o.overdue; }))
      continue;
    if (static_cast<int>(r.attempts.size()) >= settings_.allowed.max_attempts) continue;
    // A miss may come between, and a fetch after it: half as much again as one answer takes.
    const double again =
        retry_success_share_ * answer_times_.ChanceWithin(Duration(0), 2 * (last - now_) / 3);
    if (IsOrigin(s)) {
      if (out < slowest || origin_limiter_.Overloaded() || again < 0.5) continue;
    } else {
      const double stay =
          ZoneDown(s) ? 0 : (1 - s.failure_share) * answer_times_.ChanceWithin(out, last - now_);
      if (again < stay + kRetryMinGain) continue;
    }
    const bool keyed = c.effect == Effect::kKeyed && c.group == Group::kAll && now_ - a.sent < c.window / 2;
    if (c.effect != Effect::kSafe && !keyed) continue;
    if ((room -= 1) < 0) break;
    a.overdue = true;
    a.lost_in_transit = s.last_answer > a.sent;
    out_->emplace_back(Cancel{r.id, static_cast<int>(r.attempts.size()) - 1});
  }
}

// Until when an answer is worth anything.
Time Balancer::Core::LatestUsefulTime(const Request& r) const {
  const Duration aim = ClassOf(r).aim;
  return aim > Duration(0) ? std::min(r.deadline, r.arrived + aim) : r.deadline;
}

}  // namespace beechledge
