// Load estimates from in-flight requests and server reports, and the budgets of cold servers.
#include "policy/core.h"

namespace beechledge {

double Balancer::Core::RawLoad(const Server& s) const {
  const bool fresh = s.report_at >= Time(0) && now_ - s.report_at < kReportMaxAge;
  if (fresh && s.report.inflight) return *s.report.inflight / settings_.balancers;
  double own = s.load.value;
  if (s.inflight != 0 || own > 1e-6) own = s.load.Read(now_, kLoadTau, s.inflight);
  if (fresh && s.report.queue) own += std::max(0.0, *s.report.queue) / settings_.balancers;
  return own;
}

void Balancer::Core::ApplyReport(Server& s, const LoadReport& report) {
  s.report = report;
  s.report_at = now_;
}

void Balancer::Core::AdjustInflight(Server& s, int change) {
  s.load.Advance(now_, kLoadTau, s.inflight);
  if (s.inflight == 0) s.last_activity = now_;
  s.inflight = std::max(0, s.inflight + change);
}

// How many answers per second this instance gets from one warm server, on average. In a large fleet this is
// low: each balancer has few samples of each server. The decaying count of an instance that has just
// started is corrected for its age (from one second on): otherwise it would underestimate its own traffic,
// and with it the budgets of cold servers and the evidence about health.
double Balancer::Core::SampleRate() const {
  const Duration age = std::max<Duration>(seconds(1), now_ - first_event_);
  const double window = Seconds(kRateTau) * (1 - std::exp(-Seconds(age) / Seconds(kRateTau)));
  return answers_.Read(now_, kRateTau) / window / std::max(1, warm_servers_);
}

// The ramp of a cold server, from cold_start_share to 1. Each instance sends a cold server this share (with
// a margin) of what it sends a warm one: summed over all instances that is relative to the load that warm
// servers sustain, which is less than their capacity.
double Balancer::Core::RampFraction(const Server& s) const {
  const double age = std::clamp(Seconds(now_ - s.started) / Seconds(settings_.rules.ramp), 0.0, 1.0);
  return settings_.rules.cold_start_share + (1 - settings_.rules.cold_start_share) * age;
}

void Balancer::Core::RefillColdTokens(Server& s) const {
  const double share = RampFraction(s);
  // A lightly loaded cold server gets a larger margin, so that warm servers are not overloaded beside idle
  // cold ones. Excess load shows as slow answers long before the server fails.
  const ServerId id = static_cast<ServerId>(&s - servers_.data());
  const bool own_samples = latencies_.Samples(id, now_) >= kColdSamples;
  const bool lightly_loaded = own_samples ? latencies_.RelativeLatency(id, now_) < kColdLightLoad
                                          : latencies_.ColdSamples(now_) >= kColdSamples &&
                                                latencies_.ColdRelativeLatency(now_) < kColdLightLoad;
  const double margin = lightly_loaded ? kColdMarginLightLoad : kColdMargin;
  const double rate = margin * settings_.rules.overload_multiple * share * SustainedRate();
  const double capacity =
      std::max(1.0, rate * Seconds(settings_.rules.overload_window) / (lightly_loaded ? 4 : 2));
  s.cold_tokens = std::min(capacity, s.cold_tokens + rate * Seconds(now_ - s.cold_at));
  s.cold_at = now_;
}

bool Balancer::Core::HasColdToken(Server& s) const {
  if (!IsCold(s)) return true;
  RefillColdTokens(s);
  return s.cold_tokens >= 1;
}

// At one instance of hundreds a single request more or less is chance: a load above the mean counts in
// proportion to the evidence behind it.
double Balancer::Core::EvidenceWeightedLoad(const Server& s, double load) const {
  if (load <= kLIdle) return load;
  const double samples = s.sends.Read(now_, kRateTau);
  const double chance = kLoadEvidence / (samples + kLoadEvidence);
  return kMeanLoad + (load - kMeanLoad) * (1 - chance) - kChanceAllowance * chance;
}

}  // namespace beechledge
