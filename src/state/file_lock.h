// An advisory lock on a file, held by one process at a time. The kernel releases it when its holder ends,
// however it ends. For use on the disk thread: it may block.
#ifndef BRASSWOOD_STATE_FILE_LOCK_H_
#define BRASSWOOD_STATE_FILE_LOCK_H_

#include <chrono>
#include <string>

namespace brasswood {

class FileLock {
 public:
  enum class Result {
    kHeld,
    kBusy,         // another process held it for the whole time
    kUnavailable,  // the file cannot be opened, or its file system has no locks
  };

  // Tries to take the lock on `path`, which is created if necessary, for at most `wait`.
  FileLock(const std::string& path, std::chrono::milliseconds wait);
  ~FileLock();
  FileLock(const FileLock&) = delete;
  FileLock& operator=(const FileLock&) = delete;

  Result result() const { return result_; }

 private:
  int fd_ = -1;
  Result result_ = Result::kUnavailable;
};

}  // namespace brasswood

#endif  // BRASSWOOD_STATE_FILE_LOCK_H_
