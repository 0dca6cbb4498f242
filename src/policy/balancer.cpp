// The module's entry points: validates settings and dispatches events.
#include "policy/core.h"

namespace beechledge {

Balancer::Core::Core(const Settings& settings, std::uint64_t seed)
    : settings_(settings), random_(seed), list_calls_(settings) {
  settings_.balancers = std::max(1, settings_.balancers);
  settings_.allowed.max_attempts = std::max(1, settings_.allowed.max_attempts);
  settings_.rules.cold_start_share = std::clamp(settings_.rules.cold_start_share, 0.0, 1.0);
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

LearnedState Balancer::Core::ExportState(Time now, std::size_t max_keys) const {
  LearnedState state;
  for (ServerId id : up_servers_) {
    if (IsOrigin(servers_[id])) continue;
    state.servers.push_back(latencies_.Export(id, now));
    if (servers_[id].ejected)
      state.servers.back().ejection_left = std::max(Duration(0), servers_[id].ejected_until - now);
  }
  key_table_.ForEach(max_keys, [&](const KeyTable::Entry& entry) {
    LearnedState::Key key{entry.key, {}};
    for (const Holder& h : entry.holders) {
      if (servers_[h.server].listed && servers_[h.server].incarnation == h.incarnation)
        key.holders.push_back(h.server);
    }
    if (!key.holders.empty()) state.keys.push_back(std::move(key));
  });
  state.origin = origin_limiter_.Export();
  return state;
}

// Restored holders are mapped but not confirmed: the key belongs there, but may no longer be there.
void Balancer::Core::RestoreState(Time now, const LearnedState& state, double confidence) {
  now_ = std::max(now_, now);
  confidence = std::clamp(confidence, 0.0, 1.0);
  origin_limiter_.Restore(state.origin, confidence);
  for (const LearnedState::Server& s : state.servers) {
    if (s.id >= servers_.size() || !servers_[s.id].listed) continue;
    latencies_.Restore(s, now_, confidence);
    if (s.ejection_left <= Duration(0)) continue;
    servers_[s.id].ejected = true;  // half-open afterwards: a single trial attempt
    servers_[s.id].ejected_until = now_ + std::min(s.ejection_left, kEjectMax);
  }
  for (auto key = state.keys.rbegin(); key != state.keys.rend(); ++key) {
    KeyTable::Entry& entry = key_table_.Touch(key->key, now_);
    if (!entry.holders.empty()) continue;
    for (ServerId id : key->holders) {
      if (id < servers_.size() && servers_[id].listed)
        entry.holders.push_back({id, servers_[id].incarnation});
    }
  }
}

bool Balancer::Core::IsAvoided(ServerId id) const {
  if (id >= servers_.size() || servers_[id].availability != Availability::kUp) return false;
  return servers_[id].kind != settings_.origin_kind && !Healthy(servers_[id]);
}
std::size_t Balancer::Core::AvoidedCount() const {
  return static_cast<std::size_t>(
      std::count_if(up_servers_.begin(), up_servers_.end(), [&](ServerId id) { return IsAvoided(id); }));
}

Balancer::Balancer(const Settings& settings, std::uint64_t seed)
    : core_(std::make_unique<Core>(settings, seed)) {}
Balancer::~Balancer() = default;
Balancer::Balancer(Balancer&&) noexcept = default;
Balancer& Balancer::operator=(Balancer&&) noexcept = default;
void Balancer::Handle(Time now, const Event& event, Actions& out) { core_->Handle(now, event, out); }
std::size_t Balancer::AvoidedCount() const { return core_->AvoidedCount(); }
LearnedState Balancer::ExportState(Time now, std::size_t max_keys) const {
  return core_->ExportState(now, max_keys);
}
void Balancer::RestoreState(Time now, const LearnedState& state, double confidence) {
  core_->RestoreState(now, state, confidence);
}
bool Balancer::IsAvoided(ServerId id) const { return core_->IsAvoided(id); }

}  // namespace beechledge
