// The graceful shutdown of the client front end, driven by the state machine of core/shutdown.h.
#include <sys/socket.h>

#include <cerrno>
#include <utility>
#include <vector>

#include "base/log.h"
#include "net/client_front_end.h"

namespace brasswood {

void ClientFrontEnd::Stop(std::function<void()> done) {
  if (shutdown_.begun()) return;
  shutdown_.Begin(loop_.EarliestArrival());
  on_stopped_ = std::move(done);
  AdvanceAll();
  loop_.deadlines().Set(shutdown_.last_new_work(), [this] { StopListening(); });
  loop_.deadlines().Set(shutdown_.time_up(), [this] { ForceStop(); });
}

// Accepts the connections in the accept queue, so that closing the listener resets none of them: their
// clients see them as established. They are answered and then closed like the others. Returns false if some
// may be left for lack of descriptors or memory. Other errors of accept(2) concern a single connection and
// are skipped.
bool ClientFrontEnd::AcceptQueued() {
  constexpr int kMaxErrors = 64;
  const evutil_socket_t listening = evconnlistener_get_fd(listener_.get());
  for (int errors = 0; errors < kMaxErrors;) {
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

void ClientFrontEnd::StopListening() {
  if (listener_closed_) return;
  const bool queue_empty = AcceptQueued();
  if (!queue_empty && shutdown_.At(loop_.Now()) != Shutdown::Phase::kTimeUp) {
    constexpr std::chrono::milliseconds kRetryPause(10);
    loop_.deadlines().Set(loop_.Now() + kRetryPause, [this] { StopListening(); });
    return;
  }
  listener_closed_ = true;
  listener_.reset();
  LogLine(Level::kInfo) << "no new work from now on; open requests: " << engine_.open_requests()
                        << ", clients: " << clients_.size();
  StopWhenDone(false);
}

// The time for the shutdown is up: open requests are failed, so that each one is answered, and the process
// ends after Limits::shutdown_flush_time, whether or not the clients have received their answers.
void ClientFrontEnd::ForceStop() {
  StopListening();
  const std::size_t failed = engine_.FailAll();
  counters_.failed_stopping += failed;
  LogLine(failed == 0 ? Level::kInfo : Level::kWarn)
      << "the shutdown's time is up; requests failed: " << failed << ", clients: " << clients_.size();
  loop_.deadlines().Set(loop_.Now() + limits_.shutdown_flush_time, [this] { on_stopped_(); });
}

// Checks repeatedly until two consecutive checks, 25 ms apart, find nothing open, and then ends the
// shutdown: what was in transit when the listener closed is still read and answered, and the answers are
// received (a client that receives nothing is closed after Limits::client_close_timeout).
void ClientFrontEnd::StopWhenDone(bool done_before) {
  const bool done = IsDone();
  if (done && done_before) return on_stopped_();
  constexpr std::chrono::milliseconds kCheckInterval(25);
  loop_.deadlines().Set(loop_.Now() + kCheckInterval, [this, done] { StopWhenDone(done); });
}

// Whether no request is open and every answer was received. A connection that has not sent a command yet is
// waited for as at any other time (Limits::command_timeout): a close that crosses its first command would
// lose it.
bool ClientFrontEnd::IsDone() {
  bool done = engine_.open_requests() == 0;
  clients_.Each([&done](std::uint64_t, const auto& client) {
    done = done && client->write_shut && UnacknowledgedBytes(bufferevent_getfd(client->buffer.get())) == 0;
  });
  return done;
}

}  // namespace brasswood
