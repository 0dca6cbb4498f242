// The operator state on disk: one small file under $TMPDIR, written whole to a side file and renamed over
// the old one, so that a reader, the other process of a replacement among them, sees the old or the new
// state and never half of one.
#ifndef BRASSWOOD_ADMIN_STATE_FILE_H_
#define BRASSWOOD_ADMIN_STATE_FILE_H_

#include <optional>
#include <string>

#include "admin/operator_state.h"

namespace brasswood {

class StateFile {
 public:
  // `directory`: $TMPDIR, or /tmp where it is not set; `name`: the router's, the same in both processes.
  StateFile(const std::string& directory, const std::string& name);

  // Nothing, with `why` empty: there is no file (nothing was said yet). Nothing with `why`: it cannot be
  // read or is torn, or of another layout.
  std::optional<OperatorState> Read(std::string& why) const;
  // False, with `why`, where it could not be written; the state in memory holds all the same.
  bool Write(const OperatorState& state, std::string& why) const;

  const std::string& path() const { return path_; }

 private:
  std::string path_;
};

// $TMPDIR, or /tmp.
std::string StateDirectory();

}  // namespace brasswood

#endif  // BRASSWOOD_ADMIN_STATE_FILE_H_
