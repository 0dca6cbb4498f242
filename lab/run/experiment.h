// One run of a scenario: the platform and the load on threads of their own, the routers as processes, and
// afterwards what really happened.
#ifndef BRASSWOOD_LAB_RUN_EXPERIMENT_H_
#define BRASSWOOD_LAB_RUN_EXPERIMENT_H_

#include <atomic>
#include <functional>
#include <string>
#include <vector>

#include "lab/run/router_process.h"
#include "lab/truth/judge.h"

namespace brasswood::lab {

struct Sample {
  Duration at{0};  // from the start of the load
  int router = 0;
  Usage usage;
};

struct RunOptions {
  std::vector<std::string> router{"build/brasswood"};  // the program and its arguments
  std::string folder;   // made where it is missing; logs and configurations go there
  bool direct = false;  // no router: clients speak to the first node themselves
  const std::atomic<bool>* interrupted = nullptr;  // set: the run ends early, its result is partial
  std::function<void(Duration, std::uint64_t sent, std::uint64_t served)> progress;  // some times a second
};

struct Outcome {
  Truth truth;
  std::vector<Sample> samples;
  std::vector<Breach> breaches;
  std::vector<std::string> troubles;  // routers that would not start, crashed or would not stop
  double ready_s = 0;                 // from the first start until all routers were ready
  double router_cpu_s = 0;            // of all router processes together
  bool partial = false;               // it was interrupted
  // Why the figures mean nothing, where they do: the laboratory itself could not keep up.
  std::vector<std::string> void_because;
};

// Throws std::runtime_error where the platform cannot be set up at all.
// What the machine had left while the load ran.
struct Spare {
  double idle = 1;      // share of its cores' time
  double played_s = 0;  // for so long
};
// Says why the figures mean nothing, if so: load, emulator or machine could not keep up.
void Weigh(Outcome& outcome, const Spare& spare);

Outcome RunOnce(const Scenario& scenario, const RunOptions& options);

}  // namespace brasswood::lab

#endif  // BRASSWOOD_LAB_RUN_EXPERIMENT_H_
