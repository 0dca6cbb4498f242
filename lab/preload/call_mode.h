// What ails a router's system calls and its wall clock: a small file that the laboratory and the router's
// process both map.
#ifndef BRASSWOOD_LAB_PRELOAD_CALL_MODE_H_
#define BRASSWOOD_LAB_PRELOAD_CALL_MODE_H_

#include <atomic>
#include <cstdint>

namespace brasswood::lab {

struct CallMode {
  std::atomic<std::uint32_t> per_mille;    // of the calls that fail or come short; 0: none
  std::atomic<std::int64_t> wall_step_ns;  // by which CLOCK_REALTIME is off
};

}  // namespace brasswood::lab

#endif  // BRASSWOOD_LAB_PRELOAD_CALL_MODE_H_
