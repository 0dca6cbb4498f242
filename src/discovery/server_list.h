// The server list as discovery tells it, whatever form it was told in.
#ifndef BRASSWOOD_DISCOVERY_SERVER_LIST_H_
#define BRASSWOOD_DISCOVERY_SERVER_LIST_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"
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

using SourceId = int;  // one address of discovery; whoever calls it maps them

// Where a list, or a part of one, comes from.
struct ListOrigin {
  SourceId source = 0;
  std::uint64_t call = 0;             // for the log
  std::optional<std::int64_t> since;  // the version that changes were asked from; none: the whole list
  Time begun{0};                      // when the call was made
  Time arrived{0};                    // when the list, or its part, was whole here
  Time told{0};                       // from when its news counts as told: then, or earlier
};

}  // namespace brasswood

#endif  // BRASSWOOD_DISCOVERY_SERVER_LIST_H_
