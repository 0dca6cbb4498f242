// What operators have said and a replacement must keep: the cache servers taken out by hand. Written to a
// small file under $TMPDIR, which an old and a new process of one router share; read at the start and
// whenever it changes. Pure: the text form here, the file in admin/state_file.
#ifndef BRASSWOOD_ADMIN_OPERATOR_STATE_H_
#define BRASSWOOD_ADMIN_OPERATOR_STATE_H_

#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace brasswood {

struct OperatorState {
  std::set<std::string> suspended;  // uids; a flag each: one resume undoes any number of suspends
  bool operator==(const OperatorState&) const = default;
};

// The first line names the layout and its version; one `suspended UID` line follows for each.
std::string Encode(const OperatorState& state);
// Nothing where the text is torn, empty or of another layout: the caller keeps what it has and says so.
std::optional<OperatorState> Decode(std::string_view text);

}  // namespace brasswood

#endif  // BRASSWOOD_ADMIN_OPERATOR_STATE_H_
