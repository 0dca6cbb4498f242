// Loaded into a router's process by the laboratory (LD_PRELOAD). While a small file that both processes map
// says so, a share of its socket calls fails with errors that Linux documents, or does less than asked, and
// its wall clock is off. Errors that end a connection are returned only for connections that the process
// opened itself, and really end them: a client whose own connection broke would have no right to an answer.
// Files and pipes are not affected.
#include <dlfcn.h>
#include <fcntl.h>
#include <poll.h>
#include <sys/epoll.h>
#include <sys/ioctl.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <sys/uio.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <cstdlib>
#include <ctime>

#include "lab/preload/call_mode.h"

namespace {

using brasswood::lab::CallMode;

template <class F>
F Next(const char* name) {
  return reinterpret_cast<F>(::dlsym(RTLD_NEXT, name));
}

const CallMode* Mode() {
  static const CallMode* shared = [] {
    const char* path = std::getenv("BRASSWOOD_LAB_CALL_MODE");
    const int fd = path == nullptr ? -1 : ::open(path, O_RDONLY | O_CLOEXEC);
    if (fd < 0) return static_cast<const CallMode*>(nullptr);
    void* at = ::mmap(nullptr, sizeof(CallMode), PROT_READ, MAP_SHARED, fd, 0);
    ::close(fd);
    return at == MAP_FAILED ? nullptr : static_cast<const CallMode*>(at);
  }();
  return shared;
}

// A pseudorandom number from the seed in the environment and a counter of calls. The seed is given to each
// process separately, so that the numbers of a run do not depend on its process ids.
std::uint64_t Draw() {
  static const std::uint64_t seed = [] {
    const char* text = std::getenv("BRASSWOOD_LAB_CALL_SEED");
    return text == nullptr ? 1 : std::strtoull(text, nullptr, 10);
  }();
  static std::atomic<std::uint64_t> calls{0};
  std::uint64_t x = seed + ++calls * 0x9e3779b97f4a7c15ull;
  x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ull;
  x = (x ^ (x >> 27)) * 0x94d049bb133111ebull;
  return x ^ (x >> 31);
}

bool ShouldFail() {
  const CallMode* mode = Mode();
  const std::uint32_t share = mode == nullptr ? 0 : mode->per_mille.load();
  return share > 0 && Draw() % 1000 < share;
}

template <std::size_t N>
int FailWith(const int (&errors)[N]) {
  errno = errors[Draw() % N];
  return -1;
}

constexpr int kMaxDescriptors = 1 << 16;
std::atomic<bool> g_connected[kMaxDescriptors];  // sockets on which this process called connect

std::atomic<bool> g_timed_out[kMaxDescriptors];  // of these, those whose connection a fault has ended

bool IsTracked(int fd) { return fd >= 0 && fd < kMaxDescriptors; }
bool IsOutgoing(int fd) { return IsTracked(fd) && g_connected[fd]; }
bool HasTimedOut(int fd) { return IsTracked(fd) && g_timed_out[fd]; }

// A new socket has this descriptor, or the process calls connect on it.
void Track(int fd, bool connected) {
  if (!IsTracked(fd)) return;
  g_connected[fd] = connected;
  g_timed_out[fd] = false;
}

// Ends the connection as the kernel does when it times out.
void TimeOut(int fd) {
  g_timed_out[fd] = true;
  ::shutdown(fd, SHUT_RDWR);
}

bool HasUnreadInput(int fd) {
  int bytes = 0;
  return ::ioctl(fd, FIONREAD, &bytes) == 0 && bytes > 0;
}

enum class TransferFault { kNone, kInterrupted, kShort, kTimedOut };

TransferFault PickTransferFault(int fd) {
  if (!ShouldFail()) return TransferFault::kNone;
  const std::uint64_t which = Draw() % 8;
  if (which == 0 && IsOutgoing(fd)) return TransferFault::kTimedOut;
  return which < 4 ? TransferFault::kInterrupted : TransferFault::kShort;
}

using Transfer = ssize_t (*)(int, const iovec*, int);

// Does a readv or writev, with or without a fault.
ssize_t TransferWithFault(Transfer next, int fd, const iovec* parts, int count) {
  switch (PickTransferFault(fd)) {
    case TransferFault::kInterrupted:
      return FailWith({EINTR});
    case TransferFault::kTimedOut:
      TimeOut(fd);
      return FailWith({ETIMEDOUT});
    case TransferFault::kShort: {
      const iovec less{parts[0].iov_base, std::min<std::size_t>(parts[0].iov_len, 1 + Draw() % 7)};
      return next(fd, &less, 1);
    }
    default:
      return next(fd, parts, count);
  }
}

}  // namespace

extern "C" {

int accept4(int fd, sockaddr* address, socklen_t* size, int flags) {
  static const auto next = Next<int (*)(int, sockaddr*, socklen_t*, int)>("accept4");
  if (ShouldFail()) return FailWith({ECONNABORTED, EMFILE, ENFILE, ENOBUFS, EINTR});
  const int got = next(fd, address, size, flags);
  Track(got, false);
  return got;
}

int socket(int domain, int type, int protocol) {
  static const auto next = Next<int (*)(int, int, int)>("socket");
  if (domain == AF_INET && ShouldFail()) return FailWith({EMFILE, ENFILE, ENOBUFS});
  const int got = next(domain, type, protocol);
  Track(got, false);
  return got;
}

int connect(int fd, const sockaddr* address, socklen_t size) {
  static const auto next = Next<int (*)(int, const sockaddr*, socklen_t)>("connect");
  if (ShouldFail()) return FailWith({EADDRNOTAVAIL, ENETUNREACH, EHOSTUNREACH, ETIMEDOUT});
  Track(fd, true);
  return next(fd, address, size);
}

// What had arrived before its connection timed out is still read: the kernel reports the error of a
// connection only once its receive queue is empty.
ssize_t readv(int fd, const iovec* parts, int count) {
  static const auto next = Next<Transfer>("readv");
  if (!HasTimedOut(fd)) {
    const ssize_t n = TransferWithFault(next, fd, parts, count);
    if (n >= 0 || errno != ETIMEDOUT) return n;
  }
  if (HasUnreadInput(fd)) return next(fd, parts, count);
  return FailWith({ETIMEDOUT});
}

ssize_t writev(int fd, const iovec* parts, int count) {
  static const auto next = Next<Transfer>("writev");
  return TransferWithFault(next, fd, parts, count);
}

ssize_t recv(int fd, void* data, size_t size, int flags) {
  static const auto next = Next<ssize_t (*)(int, void*, size_t, int)>("recv");
  if (ShouldFail()) return FailWith({EINTR});
  return next(fd, data, size, flags);
}

int poll(pollfd* polled, nfds_t count, int timeout) {
  static const auto next = Next<int (*)(pollfd*, nfds_t, int)>("poll");
  if (ShouldFail()) return FailWith({EINTR});
  return next(polled, count, timeout);
}

int epoll_wait(int fd, epoll_event* events, int max_events, int timeout) {
  static const auto next = Next<int (*)(int, epoll_event*, int, int)>("epoll_wait");
  if (ShouldFail()) return FailWith({EINTR});
  return next(fd, events, max_events, timeout);
}

int clock_gettime(clockid_t clock, timespec* time) {
  static const auto next = Next<int (*)(clockid_t, timespec*)>("clock_gettime");
  const int got = next(clock, time);
  const CallMode* mode = Mode();
  if (got != 0 || mode == nullptr || (clock != CLOCK_REALTIME && clock != CLOCK_REALTIME_COARSE))
    return got;
  constexpr std::int64_t kSecond = 1000000000;
  const std::int64_t at = time->tv_sec * kSecond + time->tv_nsec + mode->wall_step_ns.load();
  time->tv_sec = at / kSecond;
  time->tv_nsec = at % kSecond;
  return 0;
}

int gettimeofday(timeval* __restrict time, void* __restrict) noexcept {
  timespec at{};
  const int got = clock_gettime(CLOCK_REALTIME, &at);
  time->tv_sec = at.tv_sec;
  time->tv_usec = at.tv_nsec / 1000;
  return got;
}

}  // extern "C"
