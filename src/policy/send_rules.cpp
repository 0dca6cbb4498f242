// The gate: every send passes TrySend, which enforces all rules; also admission and the end of requests.
#include "policy/core.h"

namespace beechledge {

const RequestClass& Balancer::Core::ClassOf(const Request& r) const {
  static const RequestClass unknown{};  // unsafe, no aim
  const auto i = static_cast<std::size_t>(r.request_class);
  return r.request_class >= 0 && i < settings_.classes.size() ? settings_.classes[i] : unknown;
}

// Whether this request may be sent to this server now, apart from the budget of cold servers.
bool Balancer::Core::Allowed(const Request& r, ServerId id) const {
  const Server& s = servers_[id];
  if (r.ended || r.streaming || now_ >= r.deadline) return false;      // answered, or too late
  if (!s.listed || s.availability != Availability::kUp) return false;  // draining or removed
  if (static_cast<int>(r.attempts.size()) >= settings_.allowed.max_attempts) return false;
  if (r.outstanding > 0 && !settings_.allowed.parallel_tries) return false;
  const RequestClass& c = ClassOf(r);
  if (c.effect == Effect::kSafe) return true;
  for (const Attempt& a : r.attempts) {  // no effect may happen twice
    if (!a.may_have_run) continue;
    if (c.effect == Effect::kUnsafe) return false;
    const Server& first = servers_[a.server];
    if (c.group == Group::kZone && first.zone != s.zone) return false;
    if (c.group == Group::kCell && first.cell != s.cell) return false;
    if (now_ - a.sent >= c.window) return false;
  }
  return true;
}

bool Balancer::Core::TrySend(Request& r, ServerId id, bool fetch) {
  Server& s = servers_[id];
  if (!Allowed(r, id) || !HasColdToken(s)) return false;
  if (IsCold(s)) s.cold_tokens -= 1;
  if (s.ejected) ++s.trial_attempts;
  if (ZoneDown(s)) zones_.RecordTrial(s.zone, now_);
  AdjustInflight(s, +1);
  s.sends.Add(now_, kRateTau, 1);
  r.attempts.push_back({id, now_, fetch});
  r.attempts.back().incarnation = s.incarnation;
  if (fetch) origin_limiter_.FetchStarted(now_);
  ++r.outstanding;
  out_->push_back(Send{r.id, id, Duration(0)});
  return true;
}

bool Balancer::Core::MayRefuse(const Request& r) const {
  const RequestClass& c = ClassOf(r);
  if (c.effect == Effect::kSafe || !r.MayHaveRun()) return true;
  return c.effect == Effect::kKeyed && c.group == Group::kAll;
}

// Whether to reject this read at once because the fleet is overloaded: otherwise requests beyond its
// capacity would make all answers late. Classes of low worth are rejected first, but none completely.
// Writes are not rejected: they are few, and worth more than a read.
bool Balancer::Core::ShouldShed(const Request& r) {
  if (r.write || ClassOf(r).effect != Effect::kSafe) return false;
  admission_.RecordRead(now_);
  const double worth = std::max(0.01, ClassOf(r).worth);
  mean_worth_ += (mean_worth_ > 0 ? 0.01 : 1) * (worth - mean_worth_);
  const double share = admission_.AdmittedShare(now_);
  if (share >= 1) return false;
  const double exponent = settings_.worth_by_work ? 1 : std::clamp(mean_worth_ / worth, 0.5, 2.0);
  return Uniform() < 1 - std::pow(share, exponent);
}

// How long a refused client should wait before it retries. If the aim has passed, the request can earn
// nothing more, so its retry waits as long as clients accept. Otherwise about the time until the requests
// held now have been served, with jitter so that clients do not all return at once.
Duration Balancer::Core::RetryAfter(const Request& r) {
  if (!settings_.allowed.retry_after) return Duration(0);
  const Duration max_wait = settings_.allowed.max_retry_after;
  const Duration aim = ClassOf(r).aim;
  if (aim > Duration(0) && now_ - r.arrived >= aim) return max_wait;
  const double turns = 1 + static_cast<double>(held_requests_.size()), random = Uniform();
  // Grows with the share of reads that is rejected.
  const double overload = (1 - admission_.AdmittedShare(now_)) * Seconds(max_wait) / 2;
  return std::min(max_wait,
                  FromSeconds(typical_seconds_ * turns * (0.8 + 0.4 * random) + overload * (0.5 + random)));
}

// How long a request may be held. A request that was never sent is refused before half of its time has
// passed: a later refusal costs its client more than one at once.
Duration Balancer::Core::MaxHoldTime(const Request& r) const {
  const Duration half = (r.deadline - r.arrived) / 2 - 2 * kHoldRetryInterval;
  const Duration aim = ClassOf(r).aim > Duration(0) ? ClassOf(r).aim : r.deadline - r.arrived;
  return r.attempts.empty() ? std::min(aim, half) : aim;
}

// Ends a request: refuses it if a retry by the client is safe, else fails it. The only place that does so.
void Balancer::Core::EndRequest(Request& r) {
  if (r.ended) return;
  MarkEnded(r);
  if (MayRefuse(r)) {
    out_->push_back(Refuse{r.id, RetryAfter(r)});
  } else {
    out_->push_back(Fail{r.id});
  }
}

}  // namespace beechledge
