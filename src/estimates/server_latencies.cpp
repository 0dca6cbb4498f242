#include "estimates/server_latencies.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace beechledge {
namespace {

using std::chrono::milliseconds;

constexpr double kGroupPriorSamples = 25;  // weight of the group's mean in a server's estimate, in samples
constexpr double kFleetPriorSamples = 6;   // weight of the fleet's mean in a group's estimate
constexpr Duration kStepInterval = milliseconds(500);
constexpr double kMaxWeightStep = 0.1;  // of the log weight; about that share of the server's keys moves
// A smaller difference of the log weight is ignored: it may be chance, and keys would move for nothing.
constexpr double kMinWeightChange = 0.2;
// A server's weight falls with this power of its latency. At 0.7 utilization the latencies of servers with
// one core and with four differ only by a factor of two; a power of one would leave the small ones
// overloaded.
constexpr double kLatencyExponent = 4;
constexpr double kMaxRestoredSamples = 1000;
constexpr double kMaxSizeRatio = 64;  // bound of a stated size relative to the mean, in both directions

}  // namespace

void ServerLatencies::MeanLatency::Add(Time now, double log_time) {
  samples.Add(now, kTau, 1);
  sum.Add(now, kTau, log_time);
}

double ServerLatencies::MeanLatency::Mean(Time now, double prior, double prior_samples) const {
  const double n = samples.Read(now, kTau);
  return (sum.Read(now, kTau) + prior_samples * prior) / (n + prior_samples);
}

// Bounded: a list that keeps naming new kinds must not grow the table, so further kinds share the last
// group.
std::size_t ServerLatencies::GroupOf(int kind, int zone) {
  const auto it = group_numbers_.find({kind, zone});
  if (it != group_numbers_.end()) return it->second;
  const std::size_t number = std::min(groups_.size(), kMaxGroups - 1);
  if (number == groups_.size()) {
    groups_.emplace_back();
    group_numbers_.emplace(std::pair(kind, zone), number);
  }
  return number;
}

// Stated sizes are only comparable with each other, so the mean of their logarithms is subtracted.
double ServerLatencies::RelativeSize(const Server& s) const {
  if (!s.size_listed || size_count_ == 0) return 0;
  const double max_log = std::log(kMaxSizeRatio);
  return std::clamp(s.log_size - log_size_sum_ / size_count_, -max_log, max_log);
}
void ServerLatencies::SetListedSize(Server& s, double size) {
  if (!std::isfinite(size) || size <= 0) return;
  s.size_listed = true;
  s.log_size = std::log(size);
  log_size_sum_ += s.log_size;
  ++size_count_;
}
void ServerLatencies::ClearListedSize(Server& s) {
  if (!std::exchange(s.size_listed, false)) return;
  log_size_sum_ -= s.log_size;
  if (--size_count_ == 0) log_size_sum_ = 0;
}

void ServerLatencies::Add(ServerId id, int kind, int zone, double size) {
  if (id >= servers_.size()) servers_.resize(id + 1);
  Server& s = servers_[id];
  ClearListedSize(s);
  s = {};
  s.active = true;
  s.group = GroupOf(kind, zone);
  SetListedSize(s, size);
  // Starts from its group's mean: the successor of a small server is likely to be small, too.
  s.log_weight = std::clamp(RelativeSize(s) + groups_[s.group].learned_offset, std::log(kMinWeight),
                            std::log(kMaxWeight));
  s.weight = std::exp(s.log_weight);
}

void ServerLatencies::SetSize(ServerId id, double size) {
  if (id >= servers_.size()) return;
  Server& s = servers_[id];
  s.active = true;
  ClearListedSize(s);
  SetListedSize(s, size);
}

void ServerLatencies::Remove(ServerId id) {
  if (id >= servers_.size()) return;
  ClearListedSize(servers_[id]);
  servers_[id].active = false;
}

void ServerLatencies::RecordAnswer(ServerId id, Time now, Duration took, bool cold) {
  if (id >= servers_.size() || !servers_[id].active) return;
  const double log_time = std::log(std::max(1e-4, Seconds(took)));
  servers_[id].latency.Add(now, log_time);
  if (cold) return cold_latency_.Add(now, log_time);
  groups_[servers_[id].group].latency.Add(now, log_time);
  fleet_latency_.Add(now, log_time);
}

void ServerLatencies::RecordMiss(ServerId id, Time now, Duration took, bool cold) {
  if (id >= servers_.size() || !servers_[id].active || fleet_latency_.samples.Read(now, kTau) < 1) return;
  const double log_time = std::max(FleetMean(now), std::log(std::max(1e-4, Seconds(took))));
  servers_[id].latency.Add(now, log_time);
  if (cold) cold_latency_.Add(now, log_time);
}

double ServerLatencies::FleetMean(Time now) const {
  return fleet_latency_.sum.Read(now, kTau) / fleet_latency_.samples.Read(now, kTau);
}

double ServerLatencies::ColdRelativeLatency(Time now) const {
  return fleet_latency_.samples.Read(now, kTau) < 1
             ? 0
             : cold_latency_.Mean(now, FleetMean(now), 1) - FleetMean(now);
}

double ServerLatencies::Samples(ServerId id, Time now) const {
  return id < servers_.size() ? servers_[id].latency.samples.Read(now, kTau) : 0;
}

double ServerLatencies::RelativeLatency(ServerId id, Time now) const {
  if (id >= servers_.size() || !servers_[id].active) return 0;
  if (fleet_latency_.samples.Read(now, kTau) < 1) return 0;
  const double fleet = FleetMean(now);
  const double group = groups_[servers_[id].group].latency.Mean(now, fleet, kFleetPriorSamples);
  return servers_[id].latency.Mean(now, group, kGroupPriorSamples) - fleet;
}

LearnedState::Server ServerLatencies::Export(ServerId id, Time now) const {
  LearnedState::Server kept;
  kept.id = id;
  if (id >= servers_.size() || !servers_[id].active) return kept;
  const Server& s = servers_[id];
  kept.samples = s.latency.samples.Read(now, kTau);
  kept.log_latency = kept.samples > 0 ? s.latency.sum.Read(now, kTau) / kept.samples : 0;
  kept.log_weight = s.log_weight;
  return kept;
}

void ServerLatencies::Restore(const LearnedState::Server& kept, Time now, double confidence) {
  const bool finite =
      std::isfinite(kept.samples) && std::isfinite(kept.log_latency) && std::isfinite(kept.log_weight);
  if (kept.id >= servers_.size() || !servers_[kept.id].active || !finite) return;
  Server& s = servers_[kept.id];
  const double samples = confidence * std::clamp(kept.samples, 0.0, kMaxRestoredSamples);
  const double log_time = std::clamp(kept.log_latency, std::log(1e-4), std::log(60.0));
  for (MeanLatency* latency : {&s.latency, &groups_[s.group].latency, &fleet_latency_}) {
    latency->samples.Add(now, kTau, samples);
    latency->sum.Add(now, kTau, samples * log_time);
  }
  s.log_weight +=
      confidence * (std::clamp(kept.log_weight, std::log(kMinWeight), std::log(kMaxWeight)) - s.log_weight);
  s.weight = std::exp(s.log_weight);
}

double ServerLatencies::TargetLogWeight(ServerId id, Time now) const {
  const Server& s = servers_[id];
  return std::clamp(RelativeSize(s) - kLatencyExponent * RelativeLatency(id, now), std::log(kMinWeight),
                    std::log(kMaxWeight));
}

bool ServerLatencies::AdjustWeights(Time now) {
  if (now - last_step_ < kStepInterval) return false;
  last_step_ = now;
  bool changed = false;
  std::vector<std::pair<double, int>> offsets(groups_.size());
  for (ServerId id = 0; id < servers_.size(); ++id) {
    Server& s = servers_[id];
    if (!s.active) continue;
    const double relative_size = RelativeSize(s);
    const double change = TargetLogWeight(id, now) - s.log_weight;
    if (std::abs(change) >= kMinWeightChange) {
      s.log_weight += std::clamp(change, -kMaxWeightStep, kMaxWeightStep);
      s.weight = std::exp(s.log_weight);
      changed = true;
    }
    offsets[s.group].first += s.log_weight - relative_size;
    ++offsets[s.group].second;
  }
  for (std::size_t g = 0; g < groups_.size(); ++g) {
    if (offsets[g].second > 0) groups_[g].learned_offset = offsets[g].first / offsets[g].second;
  }
  return changed;
}

}  // namespace beechledge
