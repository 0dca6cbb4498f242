// What operators have told a router: which cache servers are suspended, and whether the router is drained.
// The processes of one router share it in a small file ($TMPDIR), which survives a replacement. This file
// has the state and its text format only; admin/operator_state_file reads and writes the file.
//
// Two processes may change the state at the same time, and each sees the other's change later. So every
// entry has a version from a hybrid logical clock: it exceeds all versions that its writer had seen, and it
// is not below the time of the change, so that of two changes whose writers had not seen each other's the
// later one is newer. The writer's id is the tie-break. States are merged entry by entry, the newer one
// wins: merging is commutative, associative and idempotent, so that it does not matter in which order
// changes arrive, how often, or by way of which process.
#ifndef BRASSWOOD_ADMIN_OPERATOR_STATE_H_
#define BRASSWOOD_ADMIN_OPERATOR_STATE_H_

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "base/clock.h"

namespace brasswood {

// The process that makes a change, and when.
struct ChangeOrigin {
  std::string writer;  // an id without spaces that no other process has
  Time at{0};
};

// The order of the changes of one entry. Version 0 is older than any change: nothing is known, or it comes
// from a source without versions.
struct ChangeVersion {
  std::uint64_t number = 0;  // the time of the change, in ns since the epoch, or above all that were seen
  std::string writer;
  auto operator<=>(const ChangeVersion&) const = default;
};

// A flag that operators set and clear; the last change counts, not the number of changes.
struct OperatorFlag {
  bool set = false;
  ChangeVersion version;
  bool operator==(const OperatorFlag&) const = default;
};

class OperatorState {
 public:
  // Beyond this number of servers the oldest resumptions are forgotten.
  static constexpr std::size_t kMaxServers = 4096;

  // By uid. A resumed server keeps its entry, so that an older suspension does not come back.
  const std::map<std::string, OperatorFlag>& suspended() const { return suspended_; }
  const OperatorFlag& drained() const { return drained_; }

  void SetSuspended(const std::string& uid, bool suspended, const ChangeOrigin& origin);
  void SetDrained(bool drained, const ChangeOrigin& origin);
  // Takes over a suspension from a source without versions: every change by operators is newer.
  void AdoptSuspended(const std::string& uid);

  // Takes over whatever is newer in `other`.
  void Merge(const OperatorState& other);
  // Whether merging `other` would change nothing.
  bool Includes(const OperatorState& other) const;

  bool operator==(const OperatorState&) const = default;

 private:
  friend std::optional<OperatorState> Decode(std::string_view text);
  ChangeVersion NextVersion(const ChangeOrigin& origin) const;
  void Prune();

  std::map<std::string, OperatorFlag> suspended_;
  OperatorFlag drained_;
};

// The first line names the format and its version; then come lines `server UID suspended|resumed VERSION
// WRITER` and at most one line `router drained|active VERSION WRITER`; the last line is `end`.
std::string Encode(const OperatorState& state);
// Also reads the former format, which has lines `suspended UID` without versions. Returns nothing if the
// text is incomplete, empty or in another format; the caller then keeps its state and logs the reason.
std::optional<OperatorState> Decode(std::string_view text);

}  // namespace brasswood

#endif  // BRASSWOOD_ADMIN_OPERATOR_STATE_H_
