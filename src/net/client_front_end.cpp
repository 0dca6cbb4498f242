#include "net/client_front_end.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <stdexcept>
#include <utility>
#include <vector>

#include "base/log.h"
#include "net/startup.h"
#include "protocol/address.h"

namespace brasswood {
namespace {

// How long accepting pauses when the client table is full, and after a first failure of accept.
constexpr Duration kFullPause = std::chrono::milliseconds(20);
constexpr Duration kMinPause = std::chrono::milliseconds(1);

}  // namespace

ClientFrontEnd::ClientFrontEnd(Loop& loop, Engine& engine, const Limits& limits, const SettingNames& names,
                               Counters& counters, const std::string& address)
    : loop_(loop),
      engine_(engine),
      limits_(limits),
      names_(names),
      counters_(counters),
      listener_(nullptr, evconnlistener_free),
      answer_memory_(limits),
      shutdown_(limits),
      drain_(limits) {
  answer_memory_.OnRoom([this] { ScheduleResume(); });
  idle_used_once_.max_size = limits_.max_idle_clients;
  idle_reused_.max_size = limits_.max_idle_reused_clients;
  const auto at = ParseAddress(address);
  if (!at) throw std::runtime_error("not an address to listen on: " + address);
  listener_.reset(evconnlistener_new_bind(
      loop_.base(),
      [](evconnlistener*, evutil_socket_t fd, sockaddr*, int, void* self) {
        static_cast<ClientFrontEnd*>(self)->Accept(fd);
      },
      this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_REUSEABLE_PORT | LEV_OPT_CLOSE_ON_EXEC,
      1024, reinterpret_cast<const sockaddr*>(&*at), sizeof *at));
  if (!listener_) throw StartError("cannot listen on " + address, errno);
  evconnlistener_set_error_cb(listener_.get(), [](evconnlistener*, void* self) {
    // Out of descriptors: the connection stays in the accept queue, and the listener stays readable.
    LogLine(Level::kWarn) << "cannot accept: " << std::strerror(EVUTIL_SOCKET_ERROR());
    static_cast<ClientFrontEnd*>(self)->OnAcceptFailed();
  });
}

ClientFrontEnd::~ClientFrontEnd() = default;

std::uint16_t ClientFrontEnd::port() const {
  sockaddr_in at{};
  socklen_t size = sizeof at;
  getsockname(evconnlistener_get_fd(listener_.get()), reinterpret_cast<sockaddr*>(&at), &size);
  return ntohs(at.sin_port);
}

void ClientFrontEnd::ResumeAccepting() {
  if (listening_ || listener_closed_) return;
  listening_ = true;
  evconnlistener_enable(listener_.get());
  // One iteration of the loop accepts every queued connection, unless accepting pauses again.
  constexpr std::chrono::milliseconds kOneIteration(5);
  accept_queue_drained_ =
      loop_.deadlines().Set(loop_.Now() + kOneIteration, [this] { accept_queue_empty_at_ = Time(0); });
  EvictIfFull();
}

// The order in which clients are evicted from a full table, lowest first: 0, those that have their last
// answer; 1, those that connected and sent nothing; 2, those that were served and are idle; 3, those that
// are slow to complete a command. -1: never evicted, because it waits for an answer, or has just connected
// or begun a command and is about to send the rest.
int ClientFrontEnd::EvictionRank(const Client& client, Time now) const {
  if (client.write_shut) return 0;
  if (!client.pending.empty() || evbuffer_get_length(bufferevent_get_output(client.buffer.get())) != 0)
    return -1;
  if (client.partial_since != Time(0))
    return now - client.partial_since > limits_.evict_silent_after ? 3 : -1;
  if (!client.used()) return now - client.last_active > limits_.evict_silent_after ? 1 : -1;
  return 2;
}

// Evicts a client if the table is full. Guards against idle connections that fill the table: a connection
// that the router does not accept waits unread in the kernel, although its client sees it as established.
// Among clients of the same rank, the one idle for longest is evicted. If a command is in transit at that
// moment, its client sends it again. A client is not evicted if unread input has arrived, or if its kernel
// has not acknowledged its last answer: a command that crosses the close would cause a reset, and the
// answer would be lost.
void ClientFrontEnd::EvictIfFull() {
  if (clients_.size() < limits_.max_clients) return;
  const Time now = loop_.Now();
  std::uint64_t chosen = 0;
  std::pair<int, Time> lowest{4, Time(0)};
  clients_.Each([&](std::uint64_t id, auto& client) {
    const std::pair<int, Time> at{EvictionRank(*client, now), client->last_active};
    if (at.first < 0 || at >= lowest) return;
    const evutil_socket_t fd = bufferevent_getfd(client->buffer.get());
    if ((at.first > 0 && HasUnreadInput(fd)) || UnacknowledgedBytes(fd) != 0) return;
    chosen = id;
    lowest = at;
  });
  if (chosen == 0) return PauseAccepting(kFullPause);  // no client may be evicted
  ++counters_.made_way;
  Close(chosen, ClientEndReason::kEvicted);
}

// Guards against requests that wait in the accept queue although a shortage has passed: after one failure
// accepting is retried after a millisecond, and only consecutive failures lead to longer pauses.
void ClientFrontEnd::OnAcceptFailed() {
  Duration pause = kMinPause;
  for (int i = 0; i < accept_failures_ && pause < kFullPause; ++i) pause *= 2;
  ++accept_failures_;
  PauseAccepting(std::min(pause, kFullPause));
}

// Accepts no connections for the time of `pause`. Otherwise a loop that cannot accept would busy-loop on
// the readable listener.
void ClientFrontEnd::PauseAccepting(Duration pause) {
  if (!listening_) return;
  listening_ = false;
  loop_.deadlines().Cancel(accept_queue_drained_);
  if (accept_queue_empty_at_ == Time(0)) accept_queue_empty_at_ = loop_.Now();
  evconnlistener_disable(listener_.get());
  loop_.deadlines().Set(loop_.Now() + pause, [this] { ResumeAccepting(); });
}

bool ClientFrontEnd::IsIdle(const Client& client) {
  return client.pending.empty() && evbuffer_get_length(bufferevent_get_output(client.buffer.get())) == 0 &&
         (client.closing || evbuffer_get_length(bufferevent_get_input(client.buffer.get())) == 0);
}

void ClientFrontEnd::Accept(evutil_socket_t fd) {
  loop_.RecordPollReturn();
  accept_failures_ = 0;
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  auto owned = std::make_unique<Client>(answer_memory_);
  Client& client = *owned;
  client.front = this;
  client.buffer.reset(bufferevent_socket_new(loop_.base(), fd, BEV_OPT_CLOSE_ON_FREE));
  if (!client.buffer) {
    evutil_closesocket(fd);
    ++counters_.clients_ended[static_cast<std::size_t>(ClientEndReason::kNoMemory)];
    return;
  }
  client.last_active = loop_.Now();
  client.queued_since = accept_queue_empty_at_;
  client.id = clients_.Add(std::move(owned));
  ++counters_.clients;
  bufferevent_setcb(
      client.buffer.get(),
      [](bufferevent*, void* p) {
        auto* at = static_cast<Client*>(p);
        at->front->loop_.RecordPollReturn();
        at->read_resumed = false;
        at->front->ReadCommands(*at);
      },
      [](bufferevent*, void* p) {  // all written
        auto* at = static_cast<Client*>(p);
        at->front->loop_.RecordPollReturn();
        at->front->Advance(at->id);
      },
      [](bufferevent*, short what, void* p) {
        auto* at = static_cast<Client*>(p);
        at->front->loop_.RecordPollReturn();
        if (what & BEV_EVENT_TIMEOUT) return at->front->Close(at->id, ClientEndReason::kClientStalled);
        if (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR))
          at->front->Close(at->id, ClientEndReason::kClosedByClient);
      },
      &client);
  evbuffer_add_cb(
      bufferevent_get_output(client.buffer.get()),
      [](evbuffer*, const evbuffer_cb_info* change, void* p) {
        static_cast<Client*>(p)->answers.SetUnsent(change->orig_size + change->n_added - change->n_deleted);
      },
      &client);
  // Buffers at most one command of the largest size and a little more; the rest waits in the kernel.
  bufferevent_setwatermark(client.buffer.get(), EV_READ, 0, limits_.max_value + 2 * limits_.max_line);
  const auto stall = std::chrono::duration_cast<std::chrono::seconds>(limits_.write_stall_timeout).count();
  const timeval write_timeout{static_cast<time_t>(stall), 0};
  bufferevent_set_timeouts(client.buffer.get(), nullptr, &write_timeout);
  bufferevent_enable(client.buffer.get(), EV_READ | EV_WRITE);
  SetTimeout(client);
  EvictIfFull();
}

// Checks at intervals whether a client that is not being read has closed its connection, which no event
// would report. Guards against further work for it: its attempts are abandoned like those of any other
// client that closes.
void ClientFrontEnd::ScheduleCloseCheck(Client& client) {
  loop_.deadlines().Cancel(client.close_check);
  client.close_check =
      loop_.deadlines().Set(loop_.Now() + limits_.client_gone_check_interval, [this, id = client.id] {
        Client& at = **clients_.Find(id);
        at.close_check = {};
        if (PeerClosed(bufferevent_getfd(at.buffer.get())))
          return Close(id, ClientEndReason::kClosedByClient);
        if (at.read_paused || at.closing) ScheduleCloseCheck(at);
      });
}

// Continues with a client after its answers were sent or its state changed: resumes reading it, closes it
// if that is due, or sets its timeout.
void ClientFrontEnd::Advance(std::uint64_t id) {
  auto* found = clients_.Find(id);
  if (found == nullptr) return;
  Client& client = **found;
  client.advance_due = false;
  if (client.value_truncated && !client.pending.empty()) CancelPending(client, client.close_reason);
  if (client.closing) return LingeringClose(client);
  if (client.read_paused && !IsFull(client)) {
    client.read_paused = false;
    client.read_resumed_at = loop_.Now();
    bufferevent_enable(client.buffer.get(), EV_READ);
    client.read_resumed = true;
    return ReadCommands(client);
  }
  if (ShouldEnd(client)) {
    return CloseGracefully(client,
                           shutdown_.begun() ? ClientEndReason::kShutdown : ClientEndReason::kDraining);
  }
  SetTimeout(client);
}

}  // namespace brasswood
