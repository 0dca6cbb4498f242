// What a router keeps over a restart where it has a disk: the server list with its version, the operators'
// bans, and what the module had learnt. Pure: the text form here, when and where it is written in
// state/keeper.
//
// The first line names the layout, its version, the body's size and its checksum (CRC-32); the body is
// JSON.
#ifndef BRASSWOOD_STATE_SNAPSHOT_H_
#define BRASSWOOD_STATE_SNAPSHOT_H_

#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "beechledge/kept.h"
#include "discovery/server_list.h"

namespace brasswood {

struct Snapshot {
  std::string router;  // whose it is
  Time taken{0};       // Unix time
  ServerList list;     // as discovery last told it, whole
  std::set<std::string> suspended;
  // Servers in it are places in list.entries.
  beechledge::Kept learnt;
};

constexpr int kSnapshotLayout = 1;
constexpr std::size_t kMostSnapshot = 16 << 20;  // bytes; what is larger is not ours

std::string Encode(const Snapshot& snapshot);
// Nothing, and why: torn, of another layout, or not sound. Never throws, whatever the text.
std::optional<Snapshot> DecodeSnapshot(std::string_view text, std::string& why);

// How far what was learnt `age` ago is believed, 1 to 0: half of it after `half`, nothing from the future
// or older than `most`.
double Faith(Duration age, Duration half, Duration most);

}  // namespace brasswood

#endif  // BRASSWOOD_STATE_SNAPSHOT_H_
