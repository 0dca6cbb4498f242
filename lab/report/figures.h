// The figures of a run, from its truth: how the tries ended, latencies from the intended send, load and
// hits per node, the origin's load, what each fault cost and how long it took until things were back.
#ifndef BRASSWOOD_LAB_REPORT_FIGURES_H_
#define BRASSWOOD_LAB_REPORT_FIGURES_H_

#include <string>
#include <vector>

#include "lab/report/service.h"
#include "lab/report/spread.h"
#include "lab/run/experiment.h"

namespace brasswood::lab {

// How an intent ended, over all its tries.
enum class Ending { kInTime, kLate, kRefused, kFailed, kUnanswered };
constexpr std::size_t kEndings = 5;
inline constexpr std::string_view kEndingNames[] = {"in time", "late", "refused", "failed", "unanswered"};

struct LatencyFigures {  // of those served, in ms from the intended send
  std::uint64_t count = 0;
  double p50 = 0, p90 = 0, p99 = 0, p999 = 0;
};

struct ClassFigures {
  std::string name;
  std::uint64_t asked = 0;
  std::uint64_t endings[kEndings] = {};
  LatencyFigures latency;
  double in_time() const {
    return asked == 0 ? 0 : static_cast<double>(endings[0]) / static_cast<double>(asked);
  }
};

struct Bin {  // a part of the run, by the intended sends in it
  double at_s = 0;
  std::uint64_t asked = 0;
  std::uint64_t endings[kEndings] = {};
  LatencyFigures latency;
  double origin_load = 0;  // work sent to it, against what its cores can do
  std::uint64_t fetches = 0, attempts = 0, tries = 0;
};

struct NodeFigures {
  std::string uid, hall;
  bool cold_start = false;
  std::uint64_t attempts = 0, hits = 0, misses = 0, turned_away = 0;
  double load = 0;  // work sent to it, against what it can do warm, while it was there
};

struct FaultFigures {
  std::string kind;
  double from_s = 0, until_s = 0;
  double before = 0;  // share in time before it
  double lowest = 0;  // the worst second from then on
  // From the fault's start, and its end, until two whole seconds are back within 0.01 of before; below 0:
  // not before the run ended.
  double recovered_s = 0, recovered_after_s = 0;
  double lost = 0;           // fewer in time than at the share before
  double extra_fetches = 0;  // at the origin, above the rate before
  ServiceFigures service;    // time to full service
};

struct RouterFigures {
  double cpu_share = 0;  // of a core, over the run
  double memory_mb = 0;  // at most
  int descriptors = 0;   // at most
};

struct Figures {
  double length_s = 0;  // that is counted
  std::uint64_t asked = 0;
  ClassFigures all;
  std::vector<ClassFigures> classes, tenants, halls;
  double worth_in_time = 0;  // of the worth asked for
  double tries_per_request = 0, attempts_per_request = 0, fetches_per_request = 0;
  double hit_share = 0;                // of attempts at nodes
  double crossing_share = 0;           // of attempts that went to another hall
  double reused_share = 0;             // of tries that went out on a kept connection
  double connections_per_request = 0;  // opened by clients
  double crossed_share = 0;            // of tries that met a connection closed at rest
  double cpu_us_per_request = 0;       // of the routers
  double origin_peak = 0;              // the highest load of any second
  std::uint64_t origin_falls = 0;
  SpreadFigures spread;
  double ready_s = 0;  // from the first router's start until all were ready
  std::vector<Bin> bins;
  std::vector<NodeFigures> nodes;
  std::vector<FaultFigures> faults;
  std::vector<RouterFigures> routers;
};

Figures Measure(const Outcome& outcome);

// The figures that studies compare, by name; the same list for every run.
struct Metric {
  std::string name, unit;
  bool more_is_better = true;
  double value = 0;
};
std::vector<Metric> Metrics(const Figures& figures);

}  // namespace brasswood::lab

#endif  // BRASSWOOD_LAB_REPORT_FIGURES_H_
