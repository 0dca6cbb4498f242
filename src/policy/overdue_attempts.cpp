// Finds outstanding attempts that will not be answered in time and cancels them where a retry is safe.
#include "policy/core.h"

namespace beechledge {

// Ejects servers that accept requests but do not answer. Otherwise these would be noticed only when clients
// give up, too late for a retry. A busy server that has not answered for several usual answer times is
// ejected at once; its requests are retried elsewhere if a repeat is safe and the retry budget allows it. A
// server that is merely loaded still answers something, and if all servers are slow the time limit grows
// with them.
void Balancer::Core::EjectUnresponsive() {
  if (!answer_times_.HasEnoughSamples() || !settings_.allowed.cancel) return;
  const Duration max_silence =
      std::max<Duration>(MinPatience(longest_aim_), 2 * answer_times_.Quantile(0.95));
  for (ServerId id : up_servers_) {
    Server& s = servers_[id];
    const bool trial = s.ejected && s.trial_attempts > 0;
    if (s.inflight < (trial ? 1 : kUnresponsiveAttempts) || now_ - s.last_activity < max_silence ||
        IsOrigin(s))
      continue;
    if (s.ejected && !trial) continue;  // already ejected
    s.last_activity = now_;
    Eject(s);
    if (s.ejected) CancelAttemptsAt(id);
  }
}

// What is left of the retry budget after the cancellations already made in this event. Cancelling more than
// can be retried would refuse requests that might still be answered.
double Balancer::Core::RemainingRetryBudget() const {
  return retry_tokens_ - static_cast<double>(std::count_if(out_->begin(), out_->end(), [](const Action& a) {
           return std::holds_alternative<Cancel>(a);
         }));
}

// Cancels the outstanding attempts of safe requests (which may always be repeated) at a server, as far as
// the retry budget allows, newest request first: those clients will wait longest.
void Balancer::Core::CancelAttemptsAt(ServerId id) {
  std::vector<Request*> outstanding;
  for (auto& [key, r] : requests_) {
    if (r.ended || r.streaming || r.outstanding != 1 || ClassOf(r).effect != Effect::kSafe) continue;
    const Attempt& a = r.attempts.back();
    if (a.outstanding && !a.answering && a.server == id) outstanding.push_back(&r);
  }
  std::sort(outstanding.begin(), outstanding.end(), [](const Request* a, const Request* b) {
    return a->arrived != b->arrived ? a->arrived > b->arrived : a->id > b->id;
  });
  double budget = RemainingRetryBudget();
  for (Request* r : outstanding) {
    if ((budget -= 1) < 0) break;
    r->attempts.back().overdue = true;
    out_->emplace_back(Cancel{r->id, static_cast<int>(r->attempts.size()) - 1});
  }
}

// Cancels attempts that will probably not be answered in time (see LatestUsefulTime) although a retry
// probably would be: the server is slow or hangs, or the connection is unresponsive. Only a request that
// may be repeated is cancelled: a safe one, which may always be repeated, or a keyed one, whose repeats
// the servers recognize by its key within a window, if all servers do so and less than half of the window
// has passed since the attempt was sent. It is cancelled at most once, as soon as a retry is clearly
// likelier to be in time, judging by the answer times seen here and by how earlier retries fared, and
// while the retry budget lasts. If all servers are slow a retry is no likelier to be in time, and nothing
// is sent twice. The origin continues to work on a cancelled request, so an attempt at the origin is given
// more time than answers ever take (kOriginPatience), and none is cancelled while the origin is
// overloaded.
void Balancer::Core::CancelOverdue() {
  if (!answer_times_.HasEnoughSamples() || !settings_.allowed.cancel) return;
  const Duration slowest = FromSeconds(kOriginPatience * Seconds(answer_times_.Quantile(0.99)));
  double budget = RemainingRetryBudget();
  for (auto& [key, r] : requests_) {
    if (r.ended || r.streaming || r.outstanding != 1 || !r.attempts.back().outstanding) continue;
    Attempt& a = r.attempts.back();
    if (a.answering) continue;  // a retry would have to receive the whole answer again
    const Server& s = servers_[a.server];
    const RequestClass& c = ClassOf(r);
    const Time latest = LatestUsefulTime(r);
    const Duration age = now_ - a.sent;
    if (age < MinPatience(c.aim)) continue;
    if (std::any_of(r.attempts.begin(), r.attempts.end(), [](const Attempt& o) { return o.overdue; }))
      continue;
    if (static_cast<int>(r.attempts.size()) >= settings_.allowed.max_attempts) continue;
    // The retry may miss and need a fetch, so it is taken to need half as much time again as one answer.
    const double retry_chance =
        retry_success_share_ * answer_times_.ChanceWithin(Duration(0), 2 * (latest - now_) / 3);
    if (IsOrigin(s)) {
      if (age < slowest || origin_limiter_.Overloaded() || retry_chance < 0.5) continue;
    } else {
      const double answer_chance =
          ZoneDown(s) ? 0 : (1 - s.failure_share) * answer_times_.ChanceWithin(age, latest - now_);
      if (retry_chance < answer_chance + kRetryMinGain) continue;
    }
    const bool keyed_allowed =
        c.effect == Effect::kKeyed && c.group == Group::kAll && now_ - a.sent < c.window / 2;
    if (c.effect != Effect::kSafe && !keyed_allowed) continue;
    if ((budget -= 1) < 0) break;
    a.overdue = true;
    a.lost_in_transit = s.last_answer > a.sent;
    out_->emplace_back(Cancel{r.id, static_cast<int>(r.attempts.size()) - 1});
  }
}

// Until when an answer is worth anything: the end of the aim, or the deadline if there is no aim.
Time Balancer::Core::LatestUsefulTime(const Request& r) const {
  const Duration aim = ClassOf(r).aim;
  return aim > Duration(0) ? std::min(r.deadline, r.arrived + aim) : r.deadline;
}

}  // namespace beechledge
