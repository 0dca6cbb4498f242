// The shutdown of the clients' front, by the state machine of core/shutdown.h.
#include <sys/socket.h>

#include <cerrno>
#include <utility>
#include <vector>

#include "base/log.h"
#include "net/client_front.h"

namespace brasswood {

void ClientFront::Stop(std::function<void()> done) {
  if (shutdown_.begun()) return;
  shutdown_.Begin(loop_.EarliestArrival());
  stopped_ = std::move(done);
  WakeAll();
  loop_.deadlines().Set(shutdown_.last_new_work(), [this] { StopListening(); });
  loop_.deadlines().Set(shutdown_.time_up(), [this] { StopNow(); });
}

// Connections that the kernel has taken count as taken by the router: none is left behind in the queue of a
// closing listener. They are answered and then closed like the others. False: some may be left, for want of
// descriptors or memory (accept(2) names further errors, of the connection itself, that are passed over).
bool ClientFront::TakeWaiting() {
  constexpr int kMostErrors = 64;
  const evutil_socket_t listening = evconnlistener_get_fd(listener_.get());
  for (int errors = 0; errors < kMostErrors;) {
    const int fd = accept4(listening, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd >= 0) {
      Accept(fd);
      continue;
    }
    if (errno == EAGAIN || errno == EWOULDBLOCK) return true;
    if (errno == EMFILE || errno == ENFILE || errno == ENOBUFS || errno == ENOMEM) return false;
    ++errors;
  }
  return false;
}

void ClientFront::StopListening() {
  if (listener_closed_) return;
  const bool taken = TakeWaiting();
  if (!taken && shutdown_.At(loop_.Now()) != Shutdown::Phase::kTimeUp) {
    constexpr std::chrono::milliseconds kAgain(10);
    loop_.deadlines().Set(loop_.Now() + kAgain, [this] { StopListening(); });
    return;
  }
  listener_closed_ = true;
  listener_.reset();
  LogLine(Level::kInfo) << "no new work from now on; open requests: " << engine_.open_requests()
                        << ", clients: " << clients_.size();
  EndWhenQuiet(false);
}

// The time of the shutdown is up: what is open is failed, so that each request has its answer, and the
// process ends a moment later, whatever its clients take of it.
void ClientFront::StopNow() {
  StopListening();
  const std::size_t failed = engine_.FailAll();
  counters_.failed_stopping += failed;
  LogLine(failed == 0 ? Level::kInfo : Level::kWarn)
      << "the shutdown's time is up; requests failed: " << failed << ", clients: " << clients_.size();
  loop_.deadlines().Set(loop_.Now() + limits_.last_words, [this] { stopped_(); });
}

// Looks again and again until two looks in a row, a short while apart, find nothing open: what was on its
// way when the listener closed is still read and answered, and what was answered is taken (a client that
// takes nothing is closed after Limits::hang_up).
void ClientFront::EndWhenQuiet(bool quiet_before) {
  const bool quiet = Quiet();
  if (quiet && quiet_before) return stopped_();
  constexpr std::chrono::milliseconds kBetween(25);
  loop_.deadlines().Set(loop_.Now() + kBetween, [this, quiet] { EndWhenQuiet(quiet); });
}

// Is nothing owed to anybody any more? A connection that has not spoken yet is waited for as at any other
// time (Limits::speak): a close that crosses its first command would lose that one.
bool ClientFront::Quiet() {
  bool quiet = engine_.open_requests() == 0;
  clients_.Each([&quiet](std::uint64_t, const auto& s) {
    quiet = quiet && s->shut && UnacknowledgedBytes(bufferevent_getfd(s->buffer.get())) == 0;
  });
  return quiet;
}

}  // namespace brasswood
