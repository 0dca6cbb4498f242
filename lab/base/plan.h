// The parts of a run that follow from the scenario alone: the work of a request, the size of a value, the
// time windows and victims of faults. They are pure functions of the scenario and an id, so the load
// generator and the emulator agree on them, and so do two runs with the same seed.
#ifndef BRASSWOOD_LAB_BASE_PLAN_H_
#define BRASSWOOD_LAB_BASE_PLAN_H_

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "lab/base/rng.h"
#include "lab/base/scenario.h"

namespace brasswood::lab {

inline bool Active(const FaultPlan& f, Duration since_start) {
  return since_start >= f.at && since_start < f.at + f.length;
}

// The work of a request, in seconds of a core of speed 1.
inline double WorkOf(const Scenario& s, std::size_t request_class, std::uint64_t id, Duration since_start) {
  const ClassPlan& c = s.classes[request_class];
  Rng rng(Mix(id ^ s.seed), static_cast<std::uint64_t>(Stream::kWork));
  double work = LogNormal(rng, c.work_ms, c.work_cv) / 1000;
  // Capped at 30 times the mean: with an unbounded tail a single request could decide a run's figures.
  work = std::min(work, c.work_ms / 1000 * 30);
  for (const FaultPlan& f : s.faults) {
    if (f.kind == FaultKind::kHeavy && Active(f, since_start) && Chance(rng, f.share)) work *= f.size;
  }
  return work;
}

// When the fault is over; for restarts this is when the last router is started for the last time.
inline Duration EndOf(const FaultPlan& f) {
  if (f.kind != FaultKind::kRestart) return f.at + f.length;
  return f.at + f.length + f.down + f.every * std::max<std::int64_t>(0, std::llround(f.size) - 1);
}

// Selects the members of `all` that the fault affects: `count` of them, or the share `part`. The random
// draw depends on the fault's number in the scenario.
template <class T>
std::vector<T> Victims(const Scenario& s, std::size_t number, std::vector<T> all) {
  const FaultPlan& f = s.faults[number];
  Rng rng = MakeRng(Mix(s.seed * 131 + number), Stream::kFaults);
  std::shuffle(all.begin(), all.end(), rng);
  const double part = f.kind == FaultKind::kHallCut ? 1 : f.part;
  const auto victim_count =
      f.count > 0 ? static_cast<std::size_t>(f.count)
                  : static_cast<std::size_t>(std::ceil(part * static_cast<double>(all.size())));
  all.resize(std::min(all.size(), victim_count));
  return all;
}

// The routers that a link fault affects: a share of all routers, drawn independently of its cache servers.
inline std::vector<int> VictimRouters(const Scenario& s, std::size_t number) {
  const int all = static_cast<int>(s.halls.size()) * s.routers.per_hall;
  std::vector<int> routers;
  for (int r = 0; r < all; ++r) routers.push_back(r);
  Rng rng = MakeRng(Mix(s.seed * 137 + number), Stream::kFaults);
  std::shuffle(routers.begin(), routers.end(), rng);
  routers.resize(static_cast<std::size_t>(std::ceil(s.faults[number].router_part * all)));
  return routers;
}

// The relative weight of each router in the traffic of its zone. The busy routers are drawn from the seed.
inline std::vector<double> RouterWeights(const Scenario& s) {
  std::vector<double> weights(s.halls.size() * static_cast<std::size_t>(s.routers.per_hall), 1);
  std::vector<std::size_t> order(weights.size());
  for (std::size_t r = 0; r < order.size(); ++r) order[r] = r;
  Rng rng = MakeRng(Mix(s.seed * 149), Stream::kClients);
  std::shuffle(order.begin(), order.end(), rng);
  order.resize(static_cast<std::size_t>(std::lround(s.load.busy_part * static_cast<double>(order.size()))));
  for (const std::size_t r : order) weights[r] = s.load.busy_times;
  return weights;
}

// The partition group of each of `count` routers (or cache servers). Group sizes differ by at most one.
inline std::vector<int> Groups(const Scenario& s, std::size_t number, std::size_t count,
                               std::uint64_t salt) {
  std::vector<int> groups;
  for (std::size_t i = 0; i < count; ++i) {
    groups.push_back(static_cast<int>(i % static_cast<std::size_t>(s.faults[number].size)));
  }
  Rng rng = MakeRng(Mix(s.seed * 139 + number * 3 + salt), Stream::kFaults);
  std::shuffle(groups.begin(), groups.end(), rng);
  return groups;
}

// The cache servers that a machine_drop fault removes, each with the router on the same machine. Only cache
// servers present at the start of the run are considered; they are numbered from 1, as machines are.
inline std::vector<std::pair<int, int>> Dropped(const Scenario& s, std::size_t number) {
  std::vector<std::pair<int, int>> all;
  std::vector<int> in_hall(s.halls.size());
  int node = 0;
  for (const NodePlan& plan : s.nodes) {
    for (int i = 0; i < plan.count; ++i) {
      const auto hall = static_cast<std::size_t>(plan.hall);
      const int router = plan.hall * s.routers.per_hall + in_hall[hall]++ % s.routers.per_hall;
      ++node;
      if (s.faults[number].hall < 0 || s.faults[number].hall == plan.hall) all.emplace_back(node, router);
    }
  }
  return Victims(s, number, std::move(all));
}

// The key with popularity rank `rank`.
inline std::string KeyName(long long rank) { return "pkg-" + std::to_string(rank); }

// The size of a key's value, in bytes.
inline std::size_t SizeOf(const Scenario& s, std::string_view key) {
  std::uint64_t h = 1469598103934665603ull;  // FNV-1a
  for (const char c : key) h = (h ^ static_cast<unsigned char>(c)) * 1099511628211ull;
  Rng rng(Mix(h ^ s.seed), static_cast<std::uint64_t>(Stream::kContents));
  return static_cast<std::size_t>(
      std::clamp(LogNormal(rng, s.load.size_bytes, s.load.size_cv), 64.0, 60000.0));
}

}  // namespace brasswood::lab

#endif  // BRASSWOOD_LAB_BASE_PLAN_H_
