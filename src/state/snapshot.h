// The state that a router with a disk preserves over a restart: the server list with its version, the
// servers that operators suspended, and what the decision module has learnt. This file only encodes and
// decodes it; state/snapshot_keeper.h decides when and where it is written.
//
// The first line contains the format's name and version, and the size and checksum (CRC-32) of the body.
// The body is JSON.
#ifndef BRASSWOOD_STATE_SNAPSHOT_H_
#define BRASSWOOD_STATE_SNAPSHOT_H_

#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "beechledge/learned_state.h"
#include "discovery/server_list.h"

namespace brasswood {

struct Snapshot {
  std::string router;  // the name of the router that wrote it
  Time taken_at{0};    // Unix time
  ServerList list;     // the whole list as last received from discovery
  std::set<std::string> suspended;
  // Server ids in it are indexes into list.entries.
  beechledge::LearnedState module_state;
};

constexpr int kSnapshotLayout = 1;
constexpr std::size_t kMaxSnapshotBytes = 16 << 20;  // bytes; a larger file is not a snapshot of ours

std::string EncodeSnapshot(const Snapshot& snapshot);
// Returns nothing, and sets `why`, if the text is truncated, has another layout or is invalid. Never
// throws, whatever the text.
std::optional<Snapshot> DecodeSnapshot(std::string_view text, std::string& why);

// The confidence, from 1 to 0, in what was learnt `age` ago: it halves with each `half_life`, and is 0 if
// `age` is negative (the snapshot is from the future) or over `max_age`.
double SnapshotConfidence(Duration age, Duration half_life, Duration max_age);

}  // namespace brasswood

#endif  // BRASSWOOD_STATE_SNAPSHOT_H_
