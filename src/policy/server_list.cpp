// The server list: applies updates and schedules the calls to discovery.
#include "policy/core.h"

namespace beechledge {

void Balancer::Core::HandleEvent(const ServerList& e) {
  const bool first = !list_received_;
  list_received_ = true;
  startup_.ListReceived(e.kind, e.stale);
  if (e.kind == ListKind::kRefused) {
    subscribed_ = false;
    ScheduleListCall(list_calls_.RetryDelay(now_, Uniform()));
  } else {
    if (e.kind == ListKind::kAll || e.kind == ListKind::kPersisted) {
      for (Server& s : servers_) s.listed = false;
    }
    for (const ServerEntry& entry : e.entries) ApplyEntry(entry);
    for (ServerId id = 0; id < servers_.size(); ++id) {
      if (servers_[id].listed) continue;
      servers_[id].availability = Availability::kRemoved;
      latencies_.Remove(id);  // otherwise it would still count in the mean of the sizes
    }
    RebuildUpServers();
    if (e.kind != ListKind::kPersisted) list_calls_.Confirmed(now_);
  }
  if (first && settings_.list_by_request) ScheduleListCall(list_calls_.FirstDelay(Uniform()));
}

void Balancer::Core::ApplyEntry(const ServerEntry& entry) {
  if (entry.id >= servers_.size()) servers_.resize(entry.id + 1);
  Server& s = servers_[entry.id];
  const std::uint64_t hash = StableHash(entry.name);
  if (s.hash != 0 && s.hash != hash) {                    // the id has been reused for another server
    const std::uint32_t incarnation = s.incarnation + 1;  // it holds none of the keys of its predecessor
    s = {};
    s.incarnation = incarnation;
  }
  s.hash = hash;
  s.listed = entry.availability != Availability::kRemoved;
  s.zone = entry.zone;
  s.kind = entry.kind;
  s.cell = entry.cell;
  s.availability = entry.availability;
  if (s.listed_start != entry.started || !s.known) {
    latencies_.Add(entry.id, s.kind, s.zone, ListedSize(entry));
  } else {
    latencies_.SetSize(entry.id, ListedSize(entry));
  }
  s.known = true;
  if (s.listed_start != entry.started) {
    s.listed_start = entry.started;
    // A start in the future (a wrong clock) is treated as now; otherwise the server would stay cold until
    // then.
    s.started = std::min(entry.started, now_);
    ++s.incarnation;
    s.ejected = false;
    s.failure_share = 0;
    s.failure_streak = 0;
    s.close_idle_until = Time(0);
    RecordZoneResult(s, true);
    s.cold_tokens = Uniform();  // random, so that many instances do not send their first request at once
    s.cold_at = now_;
  }
}

// The stated size, or 0 if it varies with the current load and so says nothing lasting about capacity.
double Balancer::Core::ListedSize(const ServerEntry& entry) const {
  return settings_.weights == Weights::kNominal || settings_.weights == Weights::kRough ? entry.scale : 0;
}

// Recomputes the set of servers that are up, and dispatches held requests.
void Balancer::Core::RebuildUpServers() {
  up_servers_.clear();
  origin_count_ = 0;
  for (ServerId id = 0; id < servers_.size(); ++id) {
    if (servers_[id].availability != Availability::kUp) continue;
    up_servers_.push_back(id);
    origin_count_ += IsOrigin(servers_[id]);
  }
  if (!held_requests_.empty()) ReleaseHeld();
}

void Balancer::Core::ScheduleListCall(Duration wait) {
  SetRequestTimer(TimerKind::kListCall, 0, now_ + wait);
}

void Balancer::Core::SubscribeToList() {
  if (subscribed_) return;
  subscribed_ = true;
  out_->push_back(Subscribe{true});
}

}  // namespace beechledge
