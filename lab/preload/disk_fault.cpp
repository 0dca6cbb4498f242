// Loaded into a router's process by the laboratory (LD_PRELOAD). While a small file that both processes map
// says so, calls on files in one folder behave as on a disk that is full, failing, stalled or read-only, or
// lose part of what is written. Files elsewhere, sockets and pipes are not affected.
#include <dlfcn.h>
#include <fcntl.h>
#include <limits.h>
#include <sys/mman.h>
#include <sys/stat.h>
#include <unistd.h>

#include <atomic>
#include <cerrno>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <ctime>

#include "lab/preload/disk_mode.h"

namespace {

using brasswood::lab::DiskMode;

template <class F>
F Next(const char* name) {
  return reinterpret_cast<F>(::dlsym(RTLD_NEXT, name));
}

DiskMode Mode() {
  static const std::atomic<int>* shared = [] {
    const char* path = std::getenv("BRASSWOOD_LAB_DISK_MODE");
    if (path == nullptr) return static_cast<const std::atomic<int>*>(nullptr);
    static const auto open_file = Next<int (*)(const char*, int, ...)>("open");
    const int fd = open_file(path, O_RDONLY | O_CLOEXEC);
    if (fd < 0) return static_cast<const std::atomic<int>*>(nullptr);
    void* at = ::mmap(nullptr, sizeof(int), PROT_READ, MAP_SHARED, fd, 0);
    ::close(fd);
    return at == MAP_FAILED ? nullptr : static_cast<const std::atomic<int>*>(at);
  }();
  return shared == nullptr ? DiskMode::kHealthy : static_cast<DiskMode>(shared->load());
}

bool PathInFolder(const char* path) {
  static const char* folder = std::getenv("BRASSWOOD_LAB_DISK_FOLDER");
  if (folder == nullptr || path == nullptr) return false;
  const std::size_t n = std::strlen(folder);
  return std::strncmp(path, folder, n) == 0 && (path[n] == '/' || path[n] == '\0');
}

bool FileInFolder(int fd) {
  const int before = errno;
  char link[64], path[PATH_MAX];
  std::snprintf(link, sizeof link, "/proc/self/fd/%d", fd);
  const ssize_t n = ::readlink(link, path, sizeof path - 1);
  errno = before;
  if (n <= 0) return false;
  path[n] = '\0';
  return PathInFolder(path);
}

// A stalled disk: blocks until the fault is over.
void WaitWhileStalled() {
  while (Mode() == DiskMode::kStall) {
    const timespec pause{0, 5000000};
    ::nanosleep(&pause, nullptr);
  }
}

int FailWith(int error) {
  errno = error;
  return -1;
}

// The error for a rename or fsync in the folder; 0: none.
int ChangeError() {
  WaitWhileStalled();
  switch (Mode()) {
    case DiskMode::kReadOnly:
      return EROFS;
    case DiskMode::kError:
      return EIO;
    default:
      return 0;
  }
}

}  // namespace

extern "C" {

int open(const char* path, int flags, ...) {
  std::va_list more;
  va_start(more, flags);
  const mode_t mode = (flags & (O_CREAT | O_TMPFILE)) != 0 ? va_arg(more, mode_t) : 0;
  va_end(more);
  static const auto next = Next<int (*)(const char*, int, ...)>("open");
  if (PathInFolder(path)) {
    WaitWhileStalled();
    const bool writes = (flags & O_ACCMODE) != O_RDONLY;
    if (writes && Mode() == DiskMode::kReadOnly) return FailWith(EROFS);
    if (writes && Mode() == DiskMode::kFull && (flags & O_CREAT) != 0) return FailWith(ENOSPC);
  }
  return next(path, flags, mode);
}

ssize_t write(int fd, const void* data, size_t size) {
  static const auto next = Next<ssize_t (*)(int, const void*, size_t)>("write");
  if (Mode() != DiskMode::kHealthy && FileInFolder(fd)) {
    WaitWhileStalled();
    switch (Mode()) {
      case DiskMode::kFull:
        return FailWith(ENOSPC);
      case DiskMode::kError:
        return FailWith(EIO);
      case DiskMode::kShort:  // reports success, but half of the bytes are lost: the file is too short
        (void)!next(fd, data, size / 2);
        return static_cast<ssize_t>(size);
      default:
        break;
    }
  }
  return next(fd, data, size);
}

ssize_t read(int fd, void* data, size_t size) {
  static const auto next = Next<ssize_t (*)(int, void*, size_t)>("read");
  if (Mode() == DiskMode::kStall && FileInFolder(fd)) WaitWhileStalled();
  return next(fd, data, size);
}

int fsync(int fd) {
  static const auto next = Next<int (*)(int)>("fsync");
  if (Mode() != DiskMode::kHealthy && FileInFolder(fd)) {
    if (const int error = ChangeError()) return FailWith(error);
  }
  return next(fd);
}

int rename(const char* from, const char* to) {
  static const auto next = Next<int (*)(const char*, const char*)>("rename");
  if (PathInFolder(to)) {
    if (const int error = ChangeError()) return FailWith(error);
  }
  return next(from, to);
}

}  // extern "C"
