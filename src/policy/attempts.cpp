// The life of a request from its arrival to its end: sends, holds, outcomes, timers.
#include "policy/core.h"

namespace beechledge {

// Sends the request to the best server, or holds it, or ends it.
void Balancer::Core::Dispatch(Request& r) {
  if (settings_.origin == Origin::kCacheAside &&
      (r.write || r.missed || up_servers_.size() == origin_count_)) {
    if (SendToOrigin(r)) return;
  } else {
    int best = Choose(r, false);
    if (best < 0) best = Choose(r, true);
    if (best >= 0 && SendTo(r, static_cast<ServerId>(best))) return;
  }
  if (r.outstanding > 0) return;
  if (r.shed && r.attempts.empty()) return EndRequest(r);
  Hold(r);
}

// The origin's capacity is scarce. A fetch waits while another fetch of its key is in progress
// (single-flight) and while as many fetches are outstanding as the origin sustains: fetches that fail or
// come late would only take capacity from useful ones.
bool Balancer::Core::MayFetch(const KeyTable::Entry* entry) const {
  return origin_limiter_.MayFetch(now_) && (entry == nullptr || now_ >= entry->fetch_until);
}

// Whether a request that was held for its fetch may be dispatched: a server holds its key by now, or the
// fetch is allowed.
bool Balancer::Core::HeldFetchReady(const Request& r) {
  const KeyTable::Entry* entry = key_table_.Find(r.key);
  if (MayFetch(entry)) return true;
  return entry != nullptr && std::any_of(entry->holders.begin(), entry->holders.end(),
                                         [](const Holder& h) { return h.confirmed; });
}

bool Balancer::Core::SendTo(Request& r, ServerId id) {
  KeyTable::Entry* entry = r.keyed && !r.write ? &key_table_.Touch(r.key, now_) : nullptr;
  const Holder* holder = FindHolder(entry, id, servers_[id]);
  const bool held = holder != nullptr && holder->confirmed;
  const bool fetch = settings_.origin == Origin::kReadThrough && entry != nullptr && !held;
  r.awaits_fetch = fetch && !MayFetch(entry);
  if (r.awaits_fetch) return false;
  if (!TrySend(r, id, fetch)) return false;
  if (fetch) entry->fetch_until = now_ + FromSeconds(2 * origin_limiter_.UsualSeconds());
  if (entry != nullptr) AddHolder(*entry, id);
  if (r.attempts.size() == 1 && settings_.allowed.parallel_tries && ClassOf(r).effect == Effect::kSafe &&
      answer_times_.HasEnoughSamples()) {
    SetRequestTimer(TimerKind::kHedge, r.id, now_ + answer_times_.Quantile(0.95) * 5 / 4);
  }
  return true;
}

bool Balancer::Core::SendToOrigin(Request& r) {
  if (!r.write && !MayFetch(nullptr)) return false;
  for (ServerId id : up_servers_) {
    if (IsOrigin(servers_[id]) && TrySend(r, id, !r.write)) return true;
  }
  return false;
}

// No server can take the request now: holds it until one can, unless another attempt is not allowed anyway.
void Balancer::Core::Hold(Request& r) {
  if (static_cast<int>(r.attempts.size()) >= settings_.allowed.max_attempts ||
      (ClassOf(r).effect != Effect::kSafe && r.MayHaveRun())) {
    EndRequest(r);
    return;
  }
  r.held = true;
  held_requests_.push_back(r.id);
  if (!held_timer_set_) SetRequestTimer(TimerKind::kHeld, 0, now_ + kHoldRetryInterval);
  held_timer_set_ = true;
}

void Balancer::Core::ReleaseHeld() {
  std::vector<RequestId> held;
  held.swap(held_requests_);
  // Newest first: if not all can be served, these are likeliest to still be in time.
  for (auto id = held.rbegin(); id != held.rend(); ++id) {
    const auto it = requests_.find(*id);
    if (it == requests_.end()) continue;
    Request& r = it->second;
    if (r.ended || !r.held) continue;
    r.held = false;
    if (now_ - r.arrived >= MaxHoldTime(r) && MayRefuse(r)) {
      EndRequest(r);
    } else if (r.awaits_fetch && !HeldFetchReady(r)) {
      Hold(r);
    } else {
      Dispatch(r);
    }
    EraseIfDone(it);
  }
  std::reverse(held_requests_.begin(), held_requests_.end());
}

void Balancer::Core::SetRequestTimer(TimerKind kind, RequestId id, Time at) {
  timers_.emplace(++last_token_, std::pair(kind, id));
  out_->push_back(SetTimer{last_token_, at});
}

void Balancer::Core::HandleEvent(const NewRequest& e) {
  const auto [it, fresh] = requests_.try_emplace(e.id);
  if (!fresh) return;  // duplicate id: an error of the host, ignored
  Request& r = it->second;
  r.id = e.id;
  r.request_class = e.request_class;
  r.write = e.write;
  r.keyed = e.key.has_value();
  r.key = e.key ? StableHash(*e.key) : random_();
  r.arrived = now_;
  r.deadline = now_ + std::clamp(e.ttl, Duration(0), Duration(seconds(86400)));
  retry_tokens_ = std::min(kRetryBurst, retry_tokens_ + kRetryBudget);
  SetRequestTimer(TimerKind::kDeadline, r.id, r.deadline);
  latencies_.AdjustWeights(now_);
  sustained_answers_.Advance(now_, kSustainedTau, SampleRate());
  if (!watch_timer_set_) SetRequestTimer(TimerKind::kWatch, 0, now_ + kWatchInterval);
  watch_timer_set_ = true;
  r.shed = ShouldShed(r);
  if (r.shed && origin_limiter_.Overloaded()) {
    EndRequest(r);
  } else {
    Dispatch(r);
  }
  EraseIfDone(it);
}

void Balancer::Core::HandleEvent(const ClientGone& e) {
  const auto it = requests_.find(e.id);
  if (it == requests_.end()) return;
  MarkEnded(it->second);
  EraseIfDone(it);
}

void Balancer::Core::HandleEvent(const Outcome& e) {
  if (e.server >= servers_.size()) return;
  Server& s = servers_[e.server];
  if (e.report) ApplyReport(s, *e.report);
  const auto it = requests_.find(e.id);
  if (it == requests_.end()) return;
  Request& r = it->second;
  const auto i = static_cast<std::size_t>(e.attempt);
  if (e.attempt < 0 || i >= r.attempts.size() || !r.attempts[i].outstanding) return;
  Attempt& a = r.attempts[i];
  if (e.result != Result::kTimeout && e.result != Result::kCancelled)
    s.last_activity = s.last_answer = now_;
  a.outstanding = false;
  a.may_have_run = !DidNotRun(e.result);
  a.lost_in_transit |= e.result == Result::kMalformed || e.result == Result::kReset;
  --r.outstanding;
  AdjustInflight(s, -1);
  if (s.trial_attempts > 0) --s.trial_attempts;
  // Servers accept a limited number of connections. If one refuses a connection, idle connections to it are
  // closed to leave room for other balancers; if it is gone, they are useless. Other servers are not
  // affected: otherwise one lost server would cost every balancer a handshake with each attempt at any
  // server.
  if (e.result == Result::kConnectFailed) s.close_idle_until = now_ + kCloseIdleTime;
  if (s.inflight == 0 && now_ < s.close_idle_until) out_->push_back(CloseIdle{e.server});
  if (e.complete) MarkEnded(r);
  const bool answered = e.result != Result::kTimeout && e.result != Result::kConnectFailed;
  if (e.result != Result::kObsolete && (e.result != Result::kCancelled || a.overdue)) {
    RecordZoneResult(s, answered && !a.overdue);
  }
  LearnServerResult(s, r, a, e);
  LearnFetchResult(r, a, e);
  LearnRetryResult(r, a, e.result);
  if (!r.ended && !r.streaming) RetryOrEnd(r, e.result);
  EraseIfDone(it);
}

// Called when an attempt has ended without ending its request.
void Balancer::Core::RetryOrEnd(Request& r, Result result) {
  if (result == Result::kMiss) {
    r.missed = true;
    Dispatch(r);
    return;
  }
  if (r.outstanding > 0) return;  // another attempt may still answer
  const bool exempt_from_budget =
      r.attempts.size() == 1 && (result == Result::kConnectFailed || result == Result::kReset);
  if (now_ < r.deadline && (exempt_from_budget || retry_tokens_ >= 1)) {
    if (!exempt_from_budget) retry_tokens_ -= 1;
    Dispatch(r);
    if (r.outstanding > 0 || r.held) return;
  }
  EndRequest(r);
}

void Balancer::Core::HandleEvent(const FirstByte& e) {
  const auto it = requests_.find(e.id);
  if (it == requests_.end()) return;
  Request& r = it->second;
  const auto i = static_cast<std::size_t>(e.attempt);
  if (e.committed) {
    r.streaming = true;
  } else if (e.attempt >= 0 && i < r.attempts.size()) {
    r.attempts[i].answering = true;
  }
}

void Balancer::Core::HandleEvent(const ProbeResult& e) {
  if (e.server < servers_.size() && e.report) ApplyReport(servers_[e.server], *e.report);
}

void Balancer::Core::HandleEvent(const TimerFired& e) {
  const auto timer = timers_.find(e.token);
  if (timer == timers_.end()) return;
  const auto [kind, id] = timer->second;
  timers_.erase(timer);
  if (kind == TimerKind::kHeld) {
    held_timer_set_ = false;
    return ReleaseHeld();
  }
  if (kind == TimerKind::kListCall) return SubscribeToList();
  if (kind == TimerKind::kWatch) {
    EjectUnresponsive();
    CancelOverdue();
    watch_timer_set_ = !requests_.empty();
    if (watch_timer_set_) SetRequestTimer(TimerKind::kWatch, 0, now_ + kWatchInterval);
    return;
  }
  const auto it = requests_.find(id);
  if (it == requests_.end() || it->second.ended || it->second.streaming) return;
  Request& r = it->second;
  if (kind == TimerKind::kDeadline) {
    EndRequest(r);
  } else if (kind == TimerKind::kHedge && r.outstanding == 1 && retry_tokens_ >= 1 &&
             !r.attempts.back().answering) {
    const int best = Choose(r, false);
    if (best >= 0 && !r.HasTried(static_cast<ServerId>(best)) && SendTo(r, static_cast<ServerId>(best))) {
      retry_tokens_ -= 1;
    }
  }
  EraseIfDone(it);
}

}  // namespace beechledge
