// The figures of a run, computed from its recorded truth: how requests ended, latencies measured from the
// intended send time, load and hits per cache server, the origin's load, and the cost of each fault and the
// time to recover from it.
#ifndef BRASSWOOD_LAB_REPORT_FIGURES_H_
#define BRASSWOOD_LAB_REPORT_FIGURES_H_

#include <string>
#include <vector>

#include "lab/report/service.h"
#include "lab/report/spread.h"
#include "lab/run/experiment.h"

namespace brasswood::lab {

// How an intended request ended, over all its tries.
enum class Ending { kInTime, kLate, kRefused, kFailed, kUnanswered };
constexpr std::size_t kEndingCount = 5;
inline constexpr std::string_view kEndingNames[] = {"in time", "late", "refused", "failed", "unanswered"};

struct LatencyFigures {  // of served requests, in ms from the intended send time
  std::uint64_t count = 0;
  double p50 = 0, p90 = 0, p99 = 0, p999 = 0;
};

struct ClassFigures {
  std::string name;
  std::uint64_t asked = 0;
  std::uint64_t endings[kEndingCount] = {};
  LatencyFigures latency;
  double in_time() const {
    return asked == 0 ? 0 : static_cast<double>(endings[0]) / static_cast<double>(asked);
  }
};

struct Bin {  // one time interval of the run; requests count by their intended send time
  double at_s = 0;
  std::uint64_t asked = 0;
  std::uint64_t endings[kEndingCount] = {};
  LatencyFigures latency;
  double origin_load = 0;  // work sent to it, as a share of its capacity
  std::uint64_t fetches = 0, attempts = 0, tries = 0;
};

struct NodeFigures {
  std::string uid, hall;
  bool cold_start = false;
  std::uint64_t attempts = 0, hits = 0, misses = 0, turned_away = 0;
  double load = 0;  // work sent to it, as a share of its warm capacity while it was running
};

struct FaultFigures {
  std::string kind;
  double from_s = 0, until_s = 0;
  double before = 0;  // share in time before the fault
  double lowest = 0;  // share in time of the worst second after its start
  // Time from the fault's start, and from its end, until the share in time over two seconds is within 0.01
  // of the share before the fault; negative: not before the run ended.
  double recovered_s = 0, recovered_after_s = 0;
  double lost = 0;           // requests that the share before would have answered in time
  double extra_fetches = 0;  // at the origin, beyond the rate before
  ServiceFigures service;    // time to full service
};

struct RouterFigures {
  double cpu_share = 0;  // of a core, over the whole run
  double memory_mb = 0;  // maximum
  int descriptors = 0;   // maximum
};

struct Figures {
  double length_s = 0;  // of the counted part, without the warm-up
  std::uint64_t asked = 0;
  ClassFigures all;
  std::vector<ClassFigures> classes, tenants, halls;
  double worth_in_time = 0;  // share of the total worth of all requests
  double tries_per_request = 0, attempts_per_request = 0, fetches_per_request = 0;
  double hit_share = 0;                // of attempts at cache servers
  double cross_zone_share = 0;         // of attempts that went to another zone
  double reused_share = 0;             // of tries that reused a connection
  double connections_per_request = 0;  // opened by clients
  double closed_idle_share = 0;        // of tries sent on an idle connection that the router had closed
  double cpu_us_per_request = 0;       // CPU time of the routers
  double origin_peak = 0;              // the origin's highest load in any second
  std::uint64_t origin_falls = 0;
  SpreadFigures spread;
  double ready_s = 0;  // from the start of the first router until all were ready
  std::vector<Bin> bins;
  std::vector<NodeFigures> nodes;
  std::vector<FaultFigures> faults;
  std::vector<RouterFigures> routers;
};

Figures Measure(const Outcome& outcome);

// A named figure that studies compare. Every run of a scenario gives the same list.
struct Metric {
  std::string name, unit;
  bool more_is_better = true;
  double value = 0;
};
std::vector<Metric> Metrics(const Figures& figures);

}  // namespace brasswood::lab

#endif  // BRASSWOOD_LAB_REPORT_FIGURES_H_
