// Exploration of the server directory in virtual time. It runs a directory against a model of discovery:
// several sources that lag, answers created early and delivered late, twice, partially or out of order,
// changes whose base version is not held, servers that drain, return and are removed, and restarts from an
// older state. The same seed gives the same run.
//
// An independent record, fed with the answers as they are delivered, holds the newest version's state of
// each server. Checked in each run:
//
//   out:     a server whose newest state is a drain or removal is not sent to once the grace period is
//   over;
//            the period is counted from the first delivery of that drain
//   in:      a server whose newest state is in service is in service, unless an older list that was
//            requested later puts it in doubt
//   start:   its start time is the newest one that was delivered with that state, or later
//   restart: the versions of a discovery that restarted are in use 15 s later
#ifndef BRASSWOOD_LAB_EXPLORE_DIRECTORY_EXPLORATION_H_
#define BRASSWOOD_LAB_EXPLORE_DIRECTORY_EXPLORATION_H_

#include <array>
#include <cstdint>
#include <iosfwd>
#include <string>

namespace brasswood::lab {

// A deliberate fault in the directory, which the exploration has to find.
enum class DirectoryFault : std::size_t {
  kNone,
  kVersionNotCompared,   // lists are applied in the order of their arrival
  kGraceMovedByRemoval,  // the removal of a draining server starts its grace period again
  kPartUndoneByWhole,    // a whole list undoes the drains of a newer partial answer
  kBaseForgotten,        // changes are applied whatever their base version is
  kCount
};
inline constexpr std::array<const char*, static_cast<std::size_t>(DirectoryFault::kCount)>
    kDirectoryFaultNames = {"none", "version not compared", "grace moved by removal",
                            "part undone by whole", "base forgotten"};

// Runs one seed and returns the first violation, or an empty string. Writes a line for each event to
// `trace`.
std::string ExploreDirectorySeed(std::uint64_t seed, DirectoryFault fault, std::ostream* trace = nullptr);

// Runs the seeds and writes each violation to `out`, the first one with its trace. Returns the number of
// seeds with a violation.
int ExploreDirectory(std::uint64_t first, std::uint64_t last, DirectoryFault fault, std::ostream& out);

}  // namespace brasswood::lab

#endif  // BRASSWOOD_LAB_EXPLORE_DIRECTORY_EXPLORATION_H_
