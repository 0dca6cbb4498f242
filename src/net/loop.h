// The event loop: libevent's base, with one timer that follows the earliest of all deadlines.
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
  // Guards against what the last turn left undone: a callback put off to a later turn holds on to its
  // bufferevent. All that it could call is gone by now.
  void operator()(event_base* b) const {
    event_base_loop(b, EVLOOP_NONBLOCK);
    event_base_free(b);
  }
  // bufferevent_free leaves the closing to a later turn of the loop. An attempt that was given up must be
  // off its server before the next one of its request goes out, so the socket is closed here and now.
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
  // Timers are true to a millisecond; `precise` ones to some ten microseconds, at one more system call a
  // turn.
  explicit Loop(bool precise = false);
  event_base* base() { return base_.get(); }
  Deadlines& deadlines() { return deadlines_; }
  Time Now() const { return clock_.Now(); }
  void Run();
  // To be called first by each callback from outside (a socket, a signal, the timer).
  void RecordPollReturn() {
    if (!polls_.has_returned()) polls_.Returned(PollReturned());
  }
  // The earliest moment at which what is read in this turn of the loop can have arrived: long before now
  // where the process was held up. At most now.
  Time EarliestArrival() {
    RecordPollReturn();
    return std::min(polls_.Arrived(), Now());
  }
  // For good. Guards against a stop that comes before Run: libevent forgets such a one, and Run would wait
  // for ever.
  void Stop() {
    stopped_ = true;
    event_base_loopbreak(base_.get());
  }
  // Runs `call` on each of that signal.
  void OnSignal(int number, std::function<void()> call);

 private:
  void Arm();
  void RunDeadlines();
  Time PollReturned();

  Clock clock_;
  PollTimes polls_;
  bool stopped_ = false;
  bool put_off_ = false;  // overdue deadlines wait for one more turn
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

// What poll(2) says of one descriptor now, interrupted or not. Changes nothing: a recv, even a peek, takes
// a pending error away, and a later read would then take the reset for an orderly end.
inline short PollOnce(evutil_socket_t fd, short events) {
  constexpr int kMostInterruptions = 100;
  pollfd p{fd, events, 0};
  int got = -1;
  for (int i = 0; got < 0 && i < kMostInterruptions; ++i) {
    got = ::poll(&p, 1, 0);
    if (got < 0 && errno != EINTR) break;
  }
  return got == 1 ? p.revents : short{0};
}

// Does anything wait unread on this socket, be it bytes or the other side's close?
inline bool HasUnreadInput(evutil_socket_t fd) { return PollOnce(fd, POLLIN) != 0; }

// Has the other side closed, or ended its sending? Tells it also while bytes that came before wait unread.
inline bool PeerClosed(evutil_socket_t fd) {
  return (PollOnce(fd, POLLRDHUP) & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

// How long ago the kernel took the last byte from the other side; nothing where it does not tell.
inline std::optional<Duration> TimeSinceLastByte(evutil_socket_t fd) {
  tcp_info info{};
  socklen_t size = sizeof info;
  if (::getsockopt(fd, IPPROTO_TCP, TCP_INFO, &info, &size) != 0) return std::nullopt;
  return std::chrono::milliseconds(info.tcpi_last_data_recv);
}

// Bytes that were written and that the other side's kernel has not taken yet; 0 where that is not told.
inline int UnacknowledgedBytes(evutil_socket_t fd) {
  int bytes = 0;
  return ::ioctl(fd, SIOCOUTQ, &bytes) == 0 ? bytes : 0;
}

// All that a bufferevent has read, in one piece.
inline std::string_view Gathered(bufferevent* b) {
  evbuffer* in = bufferevent_get_input(b);
  const std::size_t n = evbuffer_get_length(in);
  if (n == 0) return {};
  return {reinterpret_cast<const char*>(evbuffer_pullup(in, -1)), n};
}

}  // namespace brasswood

#endif  // BRASSWOOD_NET_LOOP_H_
