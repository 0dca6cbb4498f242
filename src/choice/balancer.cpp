// The module's entry: settings made sound, events handed on.
#include "choice/core.h"

namespace beechledge {

Balancer::Core::Core(const Settings& settings, std::uint64_t seed) : set_(settings), random_(seed) {
  set_.balancers = std::max(1, set_.balancers);
  set_.allowed.max_attempts = std::max(1, set_.allowed.max_attempts);
  set_.rules.cold_from = std::clamp(set_.rules.cold_from, 0.0, 1.0);
  set_.rules.ramp = std::max(set_.rules.ramp, Duration(1));
  // Guards against a fleet that started together and asks again together: refusals spread as first calls
  // do.
  backoff_ = std::max<Duration>(seconds(1), Spread());
  for (const RequestClass& c : set_.classes) longest_aim_ = std::max(longest_aim_, c.aim);
}

void Balancer::Core::Handle(Time now, const Event& event, Actions& out) {
  now_ = std::max(now_, now);  // a clock that steps back stands still
  if (began_ == Time(0)) began_ = now_;
  out_ = &out;
  std::visit([this](const auto& e) { On(e); }, event);
  out_ = nullptr;
}

bool Balancer::Core::Avoids(ServerId id) const {
  if (id >= servers_.size() || servers_[id].availability != Availability::kUp) return false;
  return servers_[id].kind != set_.origin_kind && !Healthy(servers_[id]);
}
std::size_t Balancer::Core::Avoided() const {
  return static_cast<std::size_t>(
      std::count_if(up_.begin(), up_.end(), [&](ServerId id) { return Avoids(id); }));
}

Balancer::Balancer(const Settings& settings, std::uint64_t seed)
    : core_(std::make_unique<Core>(settings, seed)) {}
Balancer::~Balancer() = default;
Balancer::Balancer(Balancer&&) noexcept = default;
Balancer& Balancer::operator=(Balancer&&) noexcept = default;
void Balancer::Handle(Time now, const Event& event, Actions& out) { core_->Handle(now, event, out); }
std::size_t Balancer::Avoided() const { return core_->Avoided(); }
bool Balancer::Avoids(ServerId id) const { return core_->Avoids(id); }

}  // namespace beechledge
