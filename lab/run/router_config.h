// The configuration file of a router under test: its settings as the scenario has them. Does no I/O.
#ifndef BRASSWOOD_LAB_RUN_ROUTER_CONFIG_H_
#define BRASSWOOD_LAB_RUN_ROUTER_CONFIG_H_

#include <cstdint>
#include <string>

#include "lab/base/scenario.h"

namespace brasswood::lab {

// What is particular to one process of one router.
struct RouterIdentity {
  int number = 0;             // of the router, from 0 over all zones
  std::uint64_t process = 0;  // distinguishes all starts of all routers
  std::string listen;         // its address for clients
  std::string discovery;      // the address of discovery
  std::string known;          // the initial server list, in discovery's format
};

// The configuration as JSON.
std::string FormatRouterConfig(const Scenario& scenario, const RouterIdentity& router);

}  // namespace brasswood::lab

#endif  // BRASSWOOD_LAB_RUN_ROUTER_CONFIG_H_
