#include "state/file_lock.h"

#include <fcntl.h>
#include <sys/file.h>
#include <unistd.h>

#include <cerrno>
#include <thread>

namespace brasswood {
namespace {

constexpr std::chrono::milliseconds kRetryInterval(5);

}  // namespace

FileLock::FileLock(const std::string& path, std::chrono::milliseconds wait)
    : fd_(::open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC | O_NONBLOCK, 0644)) {
  if (fd_ < 0) return;
  const auto give_up = std::chrono::steady_clock::now() + wait;
  for (;;) {
    if (::flock(fd_, LOCK_EX | LOCK_NB) == 0) {
      result_ = Result::kHeld;
      return;
    }
    if (errno == EINTR) continue;
    if (errno != EWOULDBLOCK) return;  // ENOLCK, or the file system has no locks
    if (std::chrono::steady_clock::now() >= give_up) break;
    std::this_thread::sleep_for(kRetryInterval);
  }
  result_ = Result::kBusy;
}

FileLock::~FileLock() {
  if (fd_ >= 0) ::close(fd_);  // releases the lock
}

}  // namespace brasswood
