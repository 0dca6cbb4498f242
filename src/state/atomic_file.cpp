#include "state/atomic_file.h"

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>
#include <cstdio>
#include <cstring>
#include <utility>

namespace brasswood {
namespace {

class File {
 public:
  explicit File(int fd) : fd_(fd) {}
  ~File() { Close(); }
  File(const File&) = delete;
  File& operator=(const File&) = delete;
  int get() const { return fd_; }
  bool Close() { return fd_ < 0 || ::close(std::exchange(fd_, -1)) == 0; }

 private:
  int fd_;
};

// Makes a rename in the folder of `path` durable. File systems without support for that report EINVAL.
bool SyncFolderOf(const std::string& path) {
  const std::size_t slash = path.rfind('/');
  const std::string folder = slash == path.npos ? "." : path.substr(0, slash + 1);
  File at(::open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC));
  return at.get() >= 0 && (::fsync(at.get()) == 0 || errno == EINVAL);
}

bool WriteAll(int fd, std::string_view content) {
  while (!content.empty()) {
    const ssize_t n = ::write(fd, content.data(), content.size());
    if (n < 0 && errno == EINTR) continue;
    if (n <= 0) return false;
    content.remove_prefix(static_cast<std::size_t>(n));
  }
  return true;
}

}  // namespace

bool WriteFileAtomically(const std::string& path, std::string_view content, std::string& why) {
  const std::string temporary = path + "." + std::to_string(::getpid()) + ".new";
  const auto failed = [&](const std::string& at) {
    why = at + ": " + std::strerror(errno);
    ::unlink(temporary.c_str());
    return false;
  };
  File file(::open(temporary.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0644));
  if (file.get() < 0) return failed(temporary);
  // A full disk may be reported by any of these calls, including close.
  if (!WriteAll(file.get(), content) || ::fsync(file.get()) != 0 || !file.Close()) return failed(temporary);
  if (::rename(temporary.c_str(), path.c_str()) != 0 || !SyncFolderOf(path)) return failed(path);
  return true;
}

std::optional<std::string> ReadFile(const std::string& path, std::size_t max_bytes, std::string& why) {
  why.clear();
  File file(::open(path.c_str(), O_RDONLY | O_CLOEXEC));
  if (file.get() < 0) {
    if (errno != ENOENT) why = path + ": " + std::strerror(errno);
    return std::nullopt;
  }
  std::string text;
  char buffer[65536];
  for (;;) {
    const ssize_t n = ::read(file.get(), buffer, sizeof buffer);
    if (n < 0 && errno == EINTR) continue;
    if (n < 0) {
      why = path + ": " + std::strerror(errno);
      return std::nullopt;
    }
    if (n == 0) return text;
    text.append(buffer, static_cast<std::size_t>(n));
    if (text.size() <= max_bytes) continue;
    why = path + ": too large";
    return std::nullopt;
  }
}

}  // namespace brasswood
