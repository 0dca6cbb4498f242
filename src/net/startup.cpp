#include "net/startup.h"

#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <cstring>

namespace brasswood {
namespace {

// The epoll descriptor, libevent's signal pipe, a pair for the disk thread, the listeners, and some spare.
constexpr std::size_t kLoopDescriptors = 12;

// Resource shortages and interruptions are transient; an invalid address, or one in use, is not.
bool IsTransient(int error) {
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
    : std::runtime_error(what + ": " + std::strerror(error)), transient_(IsTransient(error)) {}

void CheckDescriptorsAvailable() {
  std::array<int, kLoopDescriptors> probes{};
  std::size_t opened = 0;
  int error = 0;
  while (opened < probes.size() && error == 0) {
    const int fd = ::open("/dev/null", O_RDONLY | O_CLOEXEC);
    if (fd < 0) {
      error = errno;
    } else {
      probes[opened++] = fd;
    }
  }
  for (std::size_t i = 0; i < opened; ++i) ::close(probes[i]);
  if (error != 0) throw StartError("not enough file descriptors to start", error);
}

}  // namespace brasswood
