// The module's entry points: validates settings and dispatches events.
#include "choice/core.h"

namespace beechledge {

Balancer::Core::Core(const Settings& settings, std::uint64_t seed)
    : settings_(settings), random_(seed), list_calls_(settings) {
  settings_.balancers = std::max(1, settings_.balancers);
  settings_.allowed.max_attempts = std::max(1, settings_.allowed.max_attempts);
  settings_.rules.cold_from = std::clamp(settings_.rules.cold_from, 0.0, 1.0);
  settings_.rules.ramp = std::max(settings_.rules.ramp, Duration(1));
  origin_limiter_.Start(settings_.balancers);
  for (const RequestClass& c : settings_.classes) longest_aim_ = std::max(longest_aim_, c.aim);
}

void Balancer::Core::Handle(Time now, const Event& event, Actions& out) {
  now_ = std::max(now_, now);  // a clock that steps back is treated as stopped
  if (first_event_ == Time(0)) first_event_ = now_;
  out_ = &out;
  std::visit([this](const auto& e) { HandleEvent(e); }, event);
  out_ = nullptr;
}

Kept Balancer::Core::Keep(Time now, std::size_t max_keys) const {
  Kept kept;
  for (ServerId id : up_servers_) {
    if (IsOrigin(servers_[id])) continue;
    kept.servers.push_back(latencies_.Export(id, now));
    if (servers_[id].ejected)
      kept.servers.back().avoid = std::max(Duration(0), servers_[id].ejected_until - now);
  }
  key_table_.ForEach(max_keys, [&](const KeyTable::Entry& entry) {
    Kept::Key key{entry.key, {}};
    for (const Holder& h : entry.holders) {
      if (servers_[h.server].listed && servers_[h.server].incarnation == h.incarnation)
        key.holders.push_back(h.server);
    }
    if (!key.holders.empty()) kept.keys.push_back(std::move(key));
  });
  kept.origin = origin_limiter_.Export();
  return kept;
}

// Restored holders are mapped but not confirmed: the key belongs there, but may no longer be there.
void Balancer::Core::Recall(Time now, const Kept& kept, double confidence) {
  now_ = std::max(now_, now);
  confidence = std::clamp(confidence, 0.0, 1.0);
  origin_limiter_.Restore(kept.origin, confidence);
  for (const Kept::Server& s : kept.servers) {
    if (s.id >= servers_.size() || !servers_[s.id].listed) continue;
    latencies_.Restore(s, now_, confidence);
    if (s.avoid <= Duration(0)) continue;
    servers_[s.id].ejected = true;  // half-open afterwards: a single trial attempt
    servers_[s.id].ejected_until = now_ + std::min(s.avoid, kEjectMax);
  }
  for (auto key = kept.keys.rbegin(); key != kept.keys.rend(); ++key) {
    KeyTable::Entry& entry = key_table_.Touch(key->key, now_);
    if (!entry.holders.empty()) continue;
    for (ServerId id : key->holders) {
      if (id < servers_.size() && servers_[id].listed)
        entry.holders.push_back({id, servers_[id].incarnation});
    }
  }
}

bool Balancer::Core::Avoids(ServerId id) const {
  if (id >= servers_.size() || servers_[id].availability != Availability::kUp) return false;
  return servers_[id].kind != settings_.origin_kind && !Healthy(servers_[id]);
}
std::size_t Balancer::Core::Avoided() const {
  return static_cast<std::size_t>(
      std::count_if(up_servers_.begin(), up_servers_.end(), [&](ServerId id) { return Avoids(id); }));
}

Balancer::Balancer(const Settings& settings, std::uint64_t seed)
    : core_(std::make_unique<Core>(settings, seed)) {}
Balancer::~Balancer() = default;
Balancer::Balancer(Balancer&&) noexcept = default;
Balancer& Balancer::operator=(Balancer&&) noexcept = default;
void Balancer::Handle(Time now, const Event& event, Actions& out) { core_->Handle(now, event, out); }
std::size_t Balancer::Avoided() const { return core_->Avoided(); }
Kept Balancer::Keep(Time now, std::size_t max_keys) const { return core_->Keep(now, max_keys); }
void Balancer::Recall(Time now, const Kept& kept, double confidence) {
  core_->Recall(now, kept, confidence);
}
bool Balancer::Avoids(ServerId id) const { return core_->Avoids(id); }

}  // namespace beechledge
