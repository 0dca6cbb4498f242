#include "net/startup.h"

#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <cstring>

namespace brasswood {
namespace {

// epoll, its pipe for signals, a pair for the disk's thread, the listeners, and some to spare.
constexpr std::size_t kLoopDescriptors = 12;

// Shortages and interruptions pass; a wrong address, or one that is taken, does not.
bool Passes(int error) {
  switch (error) {
    case EMFILE:
    case ENFILE:
    case ENOBUFS:
    case ENOMEM:
    case EAGAIN:
    case EINTR:
      return true;
    default:
      return false;
  }
}

}  // namespace

StartError::StartError(const std::string& what, int error)
    : std::runtime_error(what + ": " + std::strerror(error)), passing_(Passes(error)) {}

void ProbeDescriptors() {
  std::array<int, kLoopDescriptors> probes{};
  std::size_t had = 0;
  int error = 0;
  while (had < probes.size() && error == 0) {
    const int fd = ::open("/dev/null", O_RDONLY | O_CLOEXEC);
    if (fd < 0) {
      error = errno;
    } else {
      probes[had++] = fd;
    }
  }
  for (std::size_t i = 0; i < had; ++i) ::close(probes[i]);
  if (error != 0) throw StartError("no descriptors to start with", error);
}

}  // namespace brasswood
