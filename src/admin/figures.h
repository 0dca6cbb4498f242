// The figures of GET /v1/metrics, one `name:value|type` line each: `c` a count since the process began,
// `g` a level now. Rendering only; the engine and the pools keep the numbers.
#ifndef BRASSWOOD_ADMIN_FIGURES_H_
#define BRASSWOOD_ADMIN_FIGURES_H_

#include <cstdint>
#include <string>
#include <vector>

namespace brasswood {

struct ClassFigures {
  std::string name;                                        // as the settings name the class
  std::uint64_t passed = 0, dropped = 0, bad_gateway = 0;  // served, refused, failed
};

struct Figures {
  std::vector<ClassFigures> classes;
  std::uint64_t upstream_tries = 0;  // attempts written whole, to cache servers and the origin
  std::uint64_t in_progress = 0;     // requests taken and not yet answered
  std::uint64_t known_cache_servers = 0, skipped_cache_servers = 0;
};

// router.passed.C, router.dropped.C and router.bad_gateway.C for each class C in the settings' order, then
// router.upstream_tries, router.in_progress, router.known_cache_servers, router.skipped_cache_servers.
std::string Render(const Figures& figures);

}  // namespace brasswood

#endif  // BRASSWOOD_ADMIN_FIGURES_H_
