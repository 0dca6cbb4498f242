// The metrics of GET /v1/metrics as text, one `name:value|type` line each. The type is `c` for a counter
// since the process started, `g` for a gauge. Formatting only: the values come from the engine and the
// counters.
#ifndef BRASSWOOD_ADMIN_METRICS_H_
#define BRASSWOOD_ADMIN_METRICS_H_

#include <cstdint>
#include <string>
#include <vector>

namespace brasswood {

// The metrics of one request class.
struct ClassMetrics {
  std::string name;                                        // of the request class, from the settings
  std::uint64_t passed = 0, dropped = 0, bad_gateway = 0;  // served, refused, failed
};

struct Metrics {
  std::vector<ClassMetrics> classes;
  std::uint64_t upstream_tries = 0;         // attempts sent completely, to cache servers and the origin
  std::uint64_t in_progress = 0;            // requests accepted and not yet answered
  std::uint64_t known_cache_servers = 0;    // listed in service or terminating
  std::uint64_t skipped_cache_servers = 0;  // of those, suspended by operators or avoided by the module
};

// Writes router.passed.C, router.dropped.C and router.bad_gateway.C for each class C in the order of the
// settings, then router.upstream_tries, router.in_progress, router.known_cache_servers and
// router.skipped_cache_servers.
std::string FormatMetrics(const Metrics& metrics);

}  // namespace brasswood

#endif  // BRASSWOOD_ADMIN_METRICS_H_
