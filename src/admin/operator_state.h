// The operator state, which must survive a replacement of the process: the cache servers that operators
// have suspended. It is written to a small file in $TMPDIR, which the old and the new process of one router
// share, and read at the start and regularly after that. This file has the text format only;
// admin/operator_state_file reads and writes the file.
#ifndef BRASSWOOD_ADMIN_OPERATOR_STATE_H_
#define BRASSWOOD_ADMIN_OPERATOR_STATE_H_

#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace brasswood {

struct OperatorState {
  std::set<std::string> suspended;  // uids; a set, so one resume undoes any number of suspends
  bool operator==(const OperatorState&) const = default;
};

// The first line names the format and its version; then come one line `suspended UID` for each server, and
// a last line `end`.
std::string Encode(const OperatorState& state);
// Returns nothing if the text is incomplete, empty or in another format; the caller then keeps its state
// and logs the reason.
std::optional<OperatorState> Decode(std::string_view text);

}  // namespace brasswood

#endif  // BRASSWOOD_ADMIN_OPERATOR_STATE_H_
