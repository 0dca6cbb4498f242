// The faults to inject into a router's system calls and wall clock. The laboratory writes them to a small
// file that it and the router's process both map.
#ifndef BRASSWOOD_LAB_PRELOAD_CALL_MODE_H_
#define BRASSWOOD_LAB_PRELOAD_CALL_MODE_H_

#include <atomic>
#include <cstdint>

namespace brasswood::lab {

struct CallMode {
  std::atomic<std::uint32_t> per_mille;    // share of the calls that fail or do less than asked; 0: none
  std::atomic<std::int64_t> wall_step_ns;  // added to CLOCK_REALTIME
};

}  // namespace brasswood::lab

#endif  // BRASSWOOD_LAB_PRELOAD_CALL_MODE_H_
