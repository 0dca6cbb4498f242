// The server list as received from discovery, independent of its encoding.
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
  std::string uid;       // stable id, the same at every router
  std::string endpoint;  // the address at which this router reaches it; may change
  int zone = 0, kind = 0, cell = 0;
  beechledge::Availability availability = beechledge::Availability::kUp;
  double scale = 1;
  beechledge::Time started{0};
};

struct ServerList {
  std::int64_t version = -1;
  bool is_whole = true;  // a whole list; false: only the changes
  std::vector<ServerEntry> entries;
};

using SourceId = int;  // one address of discovery; the caller maps ids to addresses

// Where and when a list, or a part of one, was received.
struct ListOrigin {
  SourceId source = 0;
  std::uint64_t call = 0;             // the call's id, for the log
  std::optional<std::int64_t> since;  // changes since this version were requested; none: the whole list
  Time requested_at{0};               // when the call was made
  Time received_at{0};                // when the list, or the part, had been received completely
  Time notified_at{0};  // from when the router counts as notified of its contents: received_at or earlier
};

}  // namespace brasswood

#endif  // BRASSWOOD_DISCOVERY_SERVER_LIST_H_
