// The event loop: a libevent event base with one timer, always armed for the earliest deadline.
#ifndef BRASSWOOD_NET_LOOP_H_
#define BRASSWOOD_NET_LOOP_H_

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <functional>
#include <memory>
#include <optional>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "base/poll_times.h"
#include "core/deadlines.h"

namespace brasswood {

struct EventDeleter {
  void operator()(event* e) const { event_free(e); }
  // Guards against a leak of deferred callbacks: one that is still queued holds a reference to its
  // bufferevent, so a last non-blocking iteration runs them. Everything they could call is gone by now.
  void operator()(event_base* b) const {
    event_base_loop(b, EVLOOP_NONBLOCK);
    event_base_free(b);
  }
  // bufferevent_free defers closing the socket to a later iteration of the loop. An abandoned attempt must
  // be closed at its server before the next attempt of its request is sent, so the socket is closed here.
  void operator()(bufferevent* b) const {
    const evutil_socket_t fd = bufferevent_getfd(b);
    bufferevent_disable(b, EV_READ | EV_WRITE);
    if (fd >= 0) {
      bufferevent_setfd(b, -1);
      evutil_closesocket(fd);
    }
    bufferevent_free(b);
  }
};
using EventPtr = std::unique_ptr<event, EventDeleter>;
using BufferPtr = std::unique_ptr<bufferevent, EventDeleter>;

class Loop {
 public:
  // Timers are accurate to a millisecond; with `precise`, to some ten microseconds, at the cost of one more
  // system call per iteration.
  explicit Loop(bool precise = false);
  event_base* base() { return base_.get(); }
  Deadlines& deadlines() { return deadlines_; }
  Time Now() const { return clock_.Now(); }
  void Run();
  // Every callback from libevent (a socket, a signal, the timer) calls this first. It records when the poll
  // of this iteration returned.
  void RecordPollReturn() {
    if (!polls_.has_returned()) polls_.PollReturned(PollReturned());
  }
  // The earliest time at which data read in this iteration can have arrived; never after now. It is long
  // before now if the process was not scheduled or was stopped.
  Time EarliestArrival() {
    RecordPollReturn();
    return std::min(polls_.EarliestArrival(), Now());
  }
  // Stops the loop permanently. Guards against a stop before Run: libevent does not remember it, and Run
  // would block forever.
  void Stop() {
    stopped_ = true;
    event_base_loopbreak(base_.get());
  }
  // Runs `call` each time the signal `number` is received.
  void OnSignal(int number, std::function<void()> call);

 private:
  void ArmTimer();
  void RunDeadlines();
  Time PollReturned();

  Clock clock_;
  PollTimes polls_;
  bool stopped_ = false;
  bool deferred_ = false;  // overdue deadlines were deferred by one iteration
  std::unique_ptr<event_base, EventDeleter> base_;
  Deadlines deadlines_;
  EventPtr timer_;
  struct Signal {
    Loop* loop = nullptr;
    EventPtr event;
    std::function<void()> call;
  };
  std::vector<std::unique_ptr<Signal>> signals_;
};

// Polls one descriptor without blocking, retrying when interrupted, and returns its events. A recv is not
// used, not even with MSG_PEEK: it would clear a pending socket error, and a later read would then mistake
// the reset for an orderly close.
inline short PollOnce(evutil_socket_t fd, short events) {
  constexpr int kMaxInterruptions = 100;
  pollfd p{fd, events, 0};
  int got = -1;
  for (int i = 0; got < 0 && i < kMaxInterruptions; ++i) {
    got = ::poll(&p, 1, 0);
    if (got < 0 && errno != EINTR) break;
  }
  return got == 1 ? p.revents : short{0};
}

// Whether this socket has unread data or an unread close from the peer.
inline bool HasUnreadInput(evutil_socket_t fd) { return PollOnce(fd, POLLIN) != 0; }

// Whether the peer has closed the connection or its sending side, even if earlier bytes are still unread.
inline bool PeerClosed(evutil_socket_t fd) {
  return (PollOnce(fd, POLLRDHUP) & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

// How long ago the kernel received the last byte from the peer; empty if the kernel does not report it.
inline std::optional<Duration> TimeSinceLastByte(evutil_socket_t fd) {
  tcp_info info{};
  socklen_t size = sizeof info;
  if (::getsockopt(fd, IPPROTO_TCP, TCP_INFO, &info, &size) != 0) return std::nullopt;
  return std::chrono::milliseconds(info.tcpi_last_data_recv);
}

// Bytes that were written and that the peer's kernel has not acknowledged yet; 0 if that is unknown.
inline int UnacknowledgedBytes(evutil_socket_t fd) {
  int bytes = 0;
  return ::ioctl(fd, SIOCOUTQ, &bytes) == 0 ? bytes : 0;
}

// Everything in a bufferevent's input buffer, as one contiguous piece.
inline std::string_view ContiguousInput(bufferevent* b) {
  evbuffer* in = bufferevent_get_input(b);
  const std::size_t n = evbuffer_get_length(in);
  if (n == 0) return {};
  return {reinterpret_cast<const char*>(evbuffer_pullup(in, -1)), n};
}

}  // namespace brasswood

#endif  // BRASSWOOD_NET_LOOP_H_
