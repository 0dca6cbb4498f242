// The operator state on disk: one small file in $TMPDIR, which the processes of one router share. A change
// is merged with what is stored, under a lock, and written to a temporary file that is then renamed over
// the old one: no process loses another one's change, wherever one of them is killed, and any reader sees
// the complete old or the complete new state.
#ifndef BRASSWOOD_ADMIN_OPERATOR_STATE_FILE_H_
#define BRASSWOOD_ADMIN_OPERATOR_STATE_FILE_H_

#include <optional>
#include <string>

#include "admin/operator_state.h"

namespace brasswood {

class OperatorStateFile {
 public:
  // `name`: the router's, the same in both processes of a replacement.
  OperatorStateFile(const std::string& directory, const std::string& name);

  // Returns nothing and leaves `error` empty if there is no file, because no state was ever stored. Returns
  // nothing and sets `error` if the file cannot be read, is incomplete or has another format.
  std::optional<OperatorState> Read(std::string& error) const;
  // Merges `state` with the file and writes the result to both. Returns false and sets `error` if it could
  // not be written; `state` may be merged all the same.
  bool MergeAndWrite(OperatorState& state, std::string& error) const;

  const std::string& path() const { return path_; }

 private:
  void MergeStored(OperatorState& state) const;

  std::string path_;
};

// $TMPDIR, or /tmp if that is not set.
std::string StateDirectory();

}  // namespace brasswood

#endif  // BRASSWOOD_ADMIN_OPERATOR_STATE_FILE_H_
