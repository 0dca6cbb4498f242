// The server list as the core knows it, whatever form it was told in.
#ifndef BRASSWOOD_CORE_SERVER_LIST_H_
#define BRASSWOOD_CORE_SERVER_LIST_H_

#include <cstdint>
#include <string>
#include <vector>

#include "beechledge/balancer.h"

namespace brasswood {

struct ServerEntry {
  std::string uid;       // the stable name, the same at every router
  std::string endpoint;  // where this router reaches it; may change
  int zone = 0, kind = 0, cell = 0;
  beechledge::Availability availability = beechledge::Availability::kUp;
  double scale = 1;
  beechledge::Time started{0};
};

struct ServerList {
  std::int64_t rev = -1;
  bool all = true;  // the whole list; else only what changed
  std::vector<ServerEntry> entries;
};

}  // namespace brasswood

#endif  // BRASSWOOD_CORE_SERVER_LIST_H_
