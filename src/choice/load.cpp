// How loaded a server is, by the own requests out and what it reports; and what a cold one may be sent.
#include "choice/core.h"

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

// How often this instance is answered by one warm server, a second. In a large fleet each balancer meets
// a server seldom: what it knows of one comes from few looks.
// What a young instance has not had the time to see is allowed for, from its first second on: it would
// take itself for one that sends nothing, and cold servers and health with it.
double Balancer::Core::SampleRate() const {
  const Duration age = std::max<Duration>(seconds(1), now_ - first_event_);
  const double seen = Seconds(kRateTau) * (1 - std::exp(-Seconds(age) / Seconds(kRateTau)));
  return answers_.Read(now_, kRateTau) / seen / std::max(1, warm_servers_);
}

// This instance's share of what a cold server bears is in proportion to what it sends a warm one: summed
// over all instances that is the load that warm servers are seen to bear, and less than their capacity.
double Balancer::Core::RampFraction(const Server& s) const {
  const double age = std::clamp(Seconds(now_ - s.started) / Seconds(settings_.rules.ramp), 0.0, 1.0);
  return settings_.rules.cold_from + (1 - settings_.rules.cold_from) * age;
}

void Balancer::Core::RefillColdTokens(Server& s) const {
  const double share = RampFraction(s);
  // Guards against warm servers that drown beside cold ones at ease: what is sent to one in excess shows
  // as slow answers long before it falls.
  const ServerId id = static_cast<ServerId>(&s - servers_.data());
  const bool own = latencies_.Samples(id, now_) >= kColdSamples;
  const bool at_ease = own ? latencies_.RelativeLatency(id, now_) < kColdLightLoad
                           : latencies_.ColdSamples(now_) >= kColdSamples &&
                                 latencies_.ColdRelativeLatency(now_) < kColdLightLoad;
  const double margin = at_ease ? kColdMarginLightLoad : kColdMargin;
  const double rate = margin * settings_.rules.fall_multiple * share * SustainedRate();
  const double most = std::max(1.0, rate * Seconds(settings_.rules.fall) / (at_ease ? 4 : 2));
  s.cold_tokens = std::min(most, s.cold_tokens + rate * Seconds(now_ - s.cold_at));
  s.cold_at = now_;
}

bool Balancer::Core::HasColdToken(Server& s) const {
  if (!IsCold(s)) return true;
  RefillColdTokens(s);
  return s.cold_tokens >= 1;
}

// One request more or less at one instance of hundreds is chance: a load above the mean counts in
// proportion to its evidence.
double Balancer::Core::EvidenceWeightedLoad(const Server& s, double load) const {
  if (load <= kLIdle) return load;
  const double looks = s.sends.Read(now_, kRateTau);
  const double chance = kLoadEvidence / (looks + kLoadEvidence);
  return kMeanLoad + (load - kMeanLoad) * (1 - chance) - kChanceAllowance * chance;
}

}  // namespace beechledge
