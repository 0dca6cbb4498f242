#include "admin/operator_state_file.h"

#include <sys/stat.h>

#include <chrono>
#include <cstdlib>

#include "state/atomic_file.h"
#include "state/file_lock.h"

namespace brasswood {

std::string StateDirectory() {
  const char* directory = std::getenv("TMPDIR");
  return directory == nullptr || *directory == '\0' ? std::string("/tmp") : std::string(directory);
}

OperatorStateFile::OperatorStateFile(const std::string& directory, const std::string& name)
    : path_(directory + "/brasswood-" + (name.empty() ? std::string("router") : name) + ".operator") {}

std::optional<OperatorState> OperatorStateFile::Read(std::string& error) const {
  constexpr std::size_t kMaxBytes = 1 << 20;  // far above any real state; a larger file is not ours
  const auto text = ReadFile(path_, kMaxBytes, error);
  if (!text) return std::nullopt;
  auto state = Decode(*text);
  if (!state) error = path_ + ": torn or of another layout";
  return state;
}

// What cannot be read is not merged: the file is replaced by what this process knows. Guards against a
// write that blocks on something that is no regular file.
void OperatorStateFile::MergeStored(OperatorState& state) const {
  struct stat status {};
  if (::stat(path_.c_str(), &status) != 0 || !S_ISREG(status.st_mode)) return;
  std::string ignored;
  if (const auto stored = Read(ignored)) state.Merge(*stored);
}

// Without locks two processes that write at the same moment may overwrite each other's change for a while:
// each of them writes again once it reads that the file lacks its own.
bool OperatorStateFile::MergeAndWrite(OperatorState& state, std::string& error) const {
  constexpr std::chrono::milliseconds kLockWait(100);
  const FileLock lock(path_ + ".lock", kLockWait);
  if (lock.result() == FileLock::Result::kBusy) {
    error = path_ + ": another process is writing it";
    return false;
  }
  MergeStored(state);
  return WriteFileAtomically(path_, Encode(state), error);
}

}  // namespace brasswood
