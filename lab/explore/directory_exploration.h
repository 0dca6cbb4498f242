// Exploration of what is known of servers, in virtual time: a directory before a model of discovery with
// several sources that lag, answers taken early and delivered late, twice, in part or out of order, changes
// whose base is not held, servers that drain, return and are removed, and restarts on older state. The same
// seed plays the same run.
//
// A ledger of its own, fed with the answers as they are delivered, holds the newest version's word of each
// server. Held in each run:
//   out       a server whose newest word is a drain or removal is not sent to once the grace is over,
//   counted
//             from the first delivery of that drain
//   in        a server whose newest word is that it is in service is in service, unless an older list that
//             was asked for later casts doubt
//   start     its start is the newest that was told with that word, or later
//   restart   a discovery that began anew is taken as the truth 15 s later
#ifndef BRASSWOOD_LAB_EXPLORE_DIRECTORY_EXPLORATION_H_
#define BRASSWOOD_LAB_EXPLORE_DIRECTORY_EXPLORATION_H_

#include <array>
#include <cstdint>
#include <iosfwd>
#include <string>

namespace brasswood::lab {

// A directory built wrong on purpose, which the exploration has to catch.
enum class DirectoryFault : std::size_t {
  kNone,
  kVersionNotCompared,   // lists count in the order of their arrival
  kGraceMovedByRemoval,  // a server that drains and is removed has its grace anew
  kPartUndoneByWhole,    // a whole list takes back the drains of a newer part
  kBaseForgotten,        // changes count whatever version they are from
  kCount
};
inline constexpr std::array<const char*, static_cast<std::size_t>(DirectoryFault::kCount)>
    kDirectoryFaultNames = {"none", "version not compared", "grace moved by removal",
                            "part undone by whole", "base forgotten"};

// Plays one seed; what broke, or nothing. With `trace`, a line for each event goes there.
std::string ExploreDirectorySeed(std::uint64_t seed, DirectoryFault fault, std::ostream* trace = nullptr);

// Plays seeds one after the other and says what broke, the first with its trace. Returns how many broke.
int ExploreDirectory(std::uint64_t first, std::uint64_t last, DirectoryFault fault, std::ostream& out);

}  // namespace brasswood::lab

#endif  // BRASSWOOD_LAB_EXPLORE_DIRECTORY_EXPLORATION_H_
