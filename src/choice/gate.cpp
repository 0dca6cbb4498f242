// The gate: every send passes here, and each of the rules is kept here; the one place that ends requests.
#include "choice/core.h"

namespace beechledge {

const RequestClass& Balancer::Core::ClassOf(const Request& r) const {
  static const RequestClass unknown{};  // unsafe, without worth
  const auto i = static_cast<std::size_t>(r.request_class);
  return r.request_class >= 0 && i < settings_.classes.size() ? settings_.classes[i] : unknown;
}

// May this request go to this server now? (Cold budget apart.)
bool Balancer::Core::Allowed(const Request& r, ServerId id) const {
  const Server& s = servers_[id];
  if (r.ended || r.streaming || now_ >= r.deadline) return false;      // answered, or too late
  if (!s.listed || s.availability != Availability::kUp) return false;  // drains are kept
  if (static_cast<int>(r.attempts.size()) >= settings_.allowed.max_attempts) return false;
  if (r.outstanding > 0 && !settings_.allowed.parallel_tries) return false;
  const RequestClass& c = ClassOf(r);
  if (c.effect == Effect::kSafe) return true;
  for (const Attempt& a : r.attempts) {  // no effect twice
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

// Guards against a fleet that answers nobody in time because it is asked more than it can serve: a part of
// the reads is told at once to come later, those of little worth first and none wholly. Not writes: they
// are few, and worth more than a try.
bool Balancer::Core::ShouldShed(const Request& r) {
  if (r.write || ClassOf(r).effect != Effect::kSafe) return false;
  admission_.RecordRead(now_);
  const double worth = std::max(0.01, ClassOf(r).worth);
  mean_worth_ += (mean_worth_ > 0 ? 0.01 : 1) * (worth - mean_worth_);
  const double share = admission_.AdmittedShare(now_);
  if (share >= 1) return false;
  const double against = settings_.worth_by_work ? 1 : std::clamp(mean_worth_ / worth, 0.5, 2.0);
  return Uniform() < 1 - std::pow(share, against);
}

// When a refused client should come back. One whose aim has passed can earn nothing more with this
// request: its next try had better wait as long as clients will. Else about the time in which what is
// held now gets its turn, spread a little, lest all come back at once.
Duration Balancer::Core::RetryAfter(const Request& r) {
  if (!settings_.allowed.retry_after) return Duration(0);
  const Duration most = settings_.allowed.max_retry_after;
  const Duration aim = ClassOf(r).aim;
  if (aim > Duration(0) && now_ - r.arrived >= aim) return most;
  const double turns = 1 + static_cast<double>(held_requests_.size()), any = Uniform();
  const double crowd =
      (1 - admission_.AdmittedShare(now_)) * Seconds(most) / 2;  // grows with what is turned away
  return std::min(most, FromSeconds(typical_seconds_ * turns * (0.8 + 0.4 * any) + crowd * (0.5 + any)));
}

// How long a request may be held. Guards against the late refusal of what was never tried: from half of
// its time on that costs its client more than a refusal at once.
Duration Balancer::Core::MaxHoldTime(const Request& r) const {
  const Duration half = (r.deadline - r.arrived) / 2 - 2 * kHoldRetryInterval;
  const Duration aim = ClassOf(r).aim > Duration(0) ? ClassOf(r).aim : r.deadline - r.arrived;
  return r.attempts.empty() ? std::min(aim, half) : aim;
}

// The one place that ends requests.
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
