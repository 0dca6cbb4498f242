// What the schedule of a run decides without a socket: the work of a job, the size of a key, the faults'
// windows. Pure functions of the scenario and the id, so that both sides of a run, and two runs of one
// seed, agree on them.
#ifndef BRASSWOOD_LAB_BASE_PLAN_H_
#define BRASSWOOD_LAB_BASE_PLAN_H_

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "lab/base/rng.h"
#include "lab/base/scenario.h"

namespace brasswood::lab {

inline bool Active(const FaultPlan& f, Duration since_start) {
  return since_start >= f.at && since_start < f.at + f.length;
}

// Seconds of a core of speed 1.
inline double WorkOf(const Scenario& s, std::size_t job_class, std::uint64_t id, Duration since_start) {
  const ClassPlan& c = s.classes[job_class];
  Rng rng(Mix(id ^ s.seed), static_cast<std::uint64_t>(Stream::kWork));
  double work = LogNormal(rng, c.work_ms, c.work_cv) / 1000;
  // An unbounded tail would make a run's figures depend on one job.
  work = std::min(work, c.work_ms / 1000 * 30);
  for (const FaultPlan& f : s.faults) {
    if (f.kind == FaultKind::kHeavy && Active(f, since_start) && Chance(rng, f.share)) work *= f.size;
  }
  return work;
}

// Those of `all` that the fault hits: its count or its part of them, drawn by its number in the scenario.
template <class T>
std::vector<T> Victims(const Scenario& s, std::size_t number, std::vector<T> all) {
  const FaultPlan& f = s.faults[number];
  Rng rng = MakeRng(Mix(s.seed * 131 + number), Stream::kFaults);
  std::shuffle(all.begin(), all.end(), rng);
  const double part = f.kind == FaultKind::kHallCut ? 1 : f.part;
  const auto wanted = f.count > 0
                          ? static_cast<std::size_t>(f.count)
                          : static_cast<std::size_t>(std::ceil(part * static_cast<double>(all.size())));
  all.resize(std::min(all.size(), wanted));
  return all;
}

// The key of that rank of popularity.
inline std::string KeyName(long long rank) { return "pkg-" + std::to_string(rank); }

// Bytes of the value of a key.
inline std::size_t SizeOf(const Scenario& s, std::string_view key) {
  std::uint64_t h = 1469598103934665603ull;  // FNV-1a
  for (const char c : key) h = (h ^ static_cast<unsigned char>(c)) * 1099511628211ull;
  Rng rng(Mix(h ^ s.seed), static_cast<std::uint64_t>(Stream::kContents));
  return static_cast<std::size_t>(
      std::clamp(LogNormal(rng, s.load.size_bytes, s.load.size_cv), 64.0, 60000.0));
}

}  // namespace brasswood::lab

#endif  // BRASSWOOD_LAB_BASE_PLAN_H_
