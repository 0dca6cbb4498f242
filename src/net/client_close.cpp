// How client connections end: idle, timed out, evicted, drained, closing, closed.
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <utility>
#include <vector>

#include "base/log.h"
#include "net/client_front_end.h"

namespace brasswood {

// Sets the timeout of a client. Guards against clients that occupy a place in the table without sending a
// complete command: a command must be complete within Limits::command_timeout after the connection was
// accepted or after the command's first byte, and an idle connection is closed after
// Limits::client_idle_timeout.
void ClientFrontEnd::SetTimeout(Client& client) {
  loop_.deadlines().Cancel(client.deadline);
  // A client that waits for an answer, or is still receiving one, has no timeout here.
  if (!client.pending.empty() || evbuffer_get_length(bufferevent_get_output(client.buffer.get())) != 0)
    return;
  const Time at = !client.used()                    ? client.last_active + limits_.command_timeout
                  : client.partial_since != Time(0) ? client.partial_since + limits_.command_timeout
                                                    : loop_.Now() + limits_.client_idle_timeout;
  if (client.used() && client.partial_since == Time(0)) EnterIdleQueue(client);
  client.deadline = loop_.deadlines().Set(at, [this, id = client.id] { OnTimeout(id); });
}

// Adds a client to its idle queue. Guards against clients that open a new connection for each command and
// keep the old ones: the number of connections a client may hold is limited, and once all of them are idle
// it cannot send another command. So only part of the table may be idle; beyond it the longest idle client
// is closed, soon after its answer. Clients that have sent a command after being idle reuse their
// connections: they have a larger part, because otherwise every third of their connections would be closed.
void ClientFrontEnd::EnterIdleQueue(Client& client) {
  if (client.idle_queue != nullptr) return;
  client.idle_queue = client.reused ? &idle_reused_ : &idle_used_once_;
  client.idle_since = loop_.Now();
  client.idle_position = client.idle_queue->ids.insert(client.idle_queue->ids.end(), client.id);
  if (client.idle_queue->ids.size() > client.idle_queue->max_size &&
      client.idle_queue->eviction == Deadlines::Id())
    EvictIdle(*client.idle_queue);
}

void ClientFrontEnd::LeaveIdleQueue(Client& client) {
  if (client.idle_queue != nullptr) client.idle_queue->ids.erase(client.idle_position);
  client.idle_queue = nullptr;
}

void ClientFrontEnd::EvictIdle(IdleQueue& queue) {
  queue.eviction = {};
  while (queue.ids.size() > queue.max_size) {
    Client& client = **clients_.Find(queue.ids.front());
    const Time due = client.idle_since + limits_.min_client_idle;
    if (due > loop_.Now()) {
      queue.eviction = loop_.deadlines().Set(due, [this, &queue] { EvictIdle(queue); });
      return;
    }
    if (HasUnreadInput(bufferevent_getfd(client.buffer.get()))) {  // a command waits to be read
      client.reused = true;
      LeaveIdleQueue(client);
      continue;
    }
    ++counters_.made_way;
    CloseGracefully(client, ClientEndReason::kEvicted);
  }
}

void ClientFrontEnd::OnTimeout(std::uint64_t id) {
  Client& client = **clients_.Find(id);
  client.deadline = {};
  // If the loop runs late, this deadline may be due before data that arrived in time was read.
  if (HasUnreadInput(bufferevent_getfd(client.buffer.get()))) {
    client.deadline =
        loop_.deadlines().Set(loop_.Now() + std::chrono::milliseconds(50), [this, id] { OnTimeout(id); });
    return;
  }
  if (client.partial_since == Time(0)) {
    counters_.silent += !client.used();
    return CloseGracefully(
        client, client.used() ? ClientEndReason::kIdleTimeout : ClientEndReason::kCommandTimeout);
  }
  ++counters_.silent;
  MarkClosing(client, ClientEndReason::kCommandTimeout);
  Reply(client, "CLIENT_ERROR command not ended in time\r\n");
}

// Closes an idle connection gracefully. Guards against a command that crosses the close: closing at once
// would answer it with a reset, and answers that the client has not received yet would be lost.
void ClientFrontEnd::CloseGracefully(Client& client, ClientEndReason why) {
  MarkClosing(client, why);
  LingeringClose(client);
}

// Marks the client as closing. Only the first reason counts.
void ClientFrontEnd::MarkClosing(Client& client, ClientEndReason why) {
  if (client.closing) return;
  client.closing = true;
  client.close_reason = why;
}

// What the commands of this client get while the router drains or shuts down.
Admission ClientFrontEnd::Admit(const Client& client) const {
  if (!shutdown_.begun() && !drain_.active()) return Admission::kForward;
  const Time now = loop_.Now();
  const bool forwarded_open = std::any_of(client.pending.begin(), client.pending.end(),
                                          [](const Pending& pending) { return pending.ticket != 0; });
  const bool input_waits = evbuffer_get_length(bufferevent_get_input(client.buffer.get())) != 0 ||
                           HasUnreadInput(bufferevent_getfd(client.buffer.get()));
  const ConnectionState connection{client.first_command_at, forwarded_open, input_waits,
                                   client.read_paused_at, client.read_resumed_at};
  if (shutdown_.begun() && !shutdown_.AcceptsWork(now))
    return AdmitAfter(shutdown_.last_new_work(), connection, now, limits_);
  return drain_.Admit(connection, now);
}

// Whether the connection ends now because the router drains or shuts down: once it is idle, or once no new
// work is taken and all commands that were read are answered. A new connection may first send a command.
// (libevent reports the empty output of a new connection as written, which would close it before its first
// command.) Guards against commands that cross the end of a connection that becomes idle anyway: as long as
// new work is taken, a command that waits in the kernel is read and answered first.
bool ClientFrontEnd::ShouldEnd(const Client& client) const {
  if (!(shutdown_.begun() || drain_.active()) || !client.used()) return false;
  if (Admit(client) == Admission::kEnd) return !HasAnswersDue(client) && !client.read_paused;
  return IsIdle(client) && !HasUnreadInput(bufferevent_getfd(client.buffer.get()));
}

// Performs a lingering close of a client that is closing. Guards against answers that never arrive: closing
// a socket with unread input sends a reset, which can destroy an answer in transit. So reading stops, the
// answers are sent, the sending side is shut, and further input is discarded until the client closes, or
// Limits::client_close_timeout has passed. Input that is no command is discarded from the start, because
// its client may read nothing before all of it is sent.
void ClientFrontEnd::LingeringClose(Client& client) {
  if (!client.reading_ended) {
    client.reading_ended = true;
    LeaveIdleQueue(client);
    bufferevent_disable(client.buffer.get(), EV_READ);
    evbuffer* in = bufferevent_get_input(client.buffer.get());
    evbuffer_drain(in, evbuffer_get_length(in));
    loop_.deadlines().Cancel(client.deadline);
    if (ObligationsAt(client.close_reason).input_is_commands) {
      ScheduleCloseCheck(client);
    } else {
      StartDiscarding(client);
    }
  }
  if (client.write_shut || !IsIdle(client)) return;
  client.write_shut = true;
  ::shutdown(bufferevent_getfd(client.buffer.get()), SHUT_WR);
  StartDiscarding(client);
  client.deadline =
      loop_.deadlines().Set(loop_.Now() + limits_.client_close_timeout,
                            [this, id = client.id] { Close(id, ClientEndReason::kClientStalled); });
}

void ClientFrontEnd::StartDiscarding(Client& client) {
  if (client.discard) return;
  client.discard.reset(event_new(
      loop_.base(), bufferevent_getfd(client.buffer.get()), EV_READ | EV_PERSIST,
      [](evutil_socket_t, short, void* p) {
        static_cast<Client*>(p)->front->DiscardInput(*static_cast<Client*>(p));
      },
      &client));
  event_add(client.discard.get(), nullptr);
}

// MSG_TRUNC lets the kernel discard the bytes without copying them: tens of megabytes may arrive.
void ClientFrontEnd::DiscardInput(Client& client) {
  constexpr std::size_t kMaxBytesPerCall = 1 << 20;
  const ssize_t n =
      ::recv(bufferevent_getfd(client.buffer.get()), nullptr, kMaxBytesPerCall, MSG_TRUNC | MSG_DONTWAIT);
  if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR)) return;
  if (n <= 0) return Close(client.id, ClientEndReason::kClosedByClient);
  client.discarded_bytes += static_cast<std::size_t>(n);
  if (client.discarded_bytes <= limits_.max_discarded) return;
  if (client.write_shut) return Close(client.id, client.close_reason);
  event_del(client.discard.get());  // an answer is still pending: the rest of the input waits in the kernel
  ScheduleCloseCheck(client);
}

// Closes and removes a client; every client ends here. `why` is the reason, unless its sending side
// had already been shut for another one.
void ClientFrontEnd::Close(std::uint64_t id, ClientEndReason why) {
  auto* found = clients_.Find(id);
  if (found == nullptr) return;
  const std::unique_ptr<Client> client = std::move(*found);
  clients_.Remove(id);
  const ClientEndReason ended = client->closing && client->write_shut ? client->close_reason : why;
  ++counters_.clients_ended[static_cast<std::size_t>(ended)];
  LogLine(Level::kDebug) << "client " << id
                         << " closed: " << kClientEndReasonNames[static_cast<std::size_t>(ended)]
                         << ", pending: " << client->pending.size();
  loop_.deadlines().Cancel(client->deadline);
  loop_.deadlines().Cancel(client->close_check);
  LeaveIdleQueue(*client);
  if (client->awaits_room) std::erase(awaiting_room_, id);
  client->discard.reset();
  client->buffer.reset();
  CancelPending(*client, ended);
}

// Cancels everything that is pending for a client that can receive no more answers. This is the only place
// where a command that was read loses its answer, which is owed to every client that has not ended the
// connection itself.
void ClientFrontEnd::CancelPending(Client& client, ClientEndReason why) {
  const std::string_view unanswered =
      client.pending.empty() ? std::string_view() : client.pending.front().id;
  counters_.invariants.Expect(client.pending.empty() || !ObligationsAt(why).answers,
                              Invariant::kAnsweredBeforeClose, unanswered);
  const std::deque<Pending> pending = std::exchange(client.pending, {});
  client.first_number += pending.size();
  client.answers.DropPending();
  for (const Pending& p : pending) {
    if (p.ticket != 0) tickets_.Remove(p.ticket);
    if (p.request != 0) engine_.ClientGone(p.request);
  }
}

void ClientFrontEnd::ApplyLimits() {
  idle_used_once_.max_size = limits_.max_idle_clients;
  idle_reused_.max_size = limits_.max_idle_reused_clients;
  if (idle_used_once_.eviction == Deadlines::Id()) EvictIdle(idle_used_once_);
  if (idle_reused_.eviction == Deadlines::Id()) EvictIdle(idle_reused_);
  ScheduleResume();  // the memory that clients wait for may be more now
}

void ClientFrontEnd::SetDraining(bool on) {
  if (drain_.active() == on) return;
  if (!on) return drain_.End();
  drain_.Begin(loop_.Now());
  AdvanceAll();
}

// The ids are copied first, because Advance may remove clients from the table.
void ClientFrontEnd::AdvanceAll() {
  std::vector<std::uint64_t> all;
  clients_.Each([&](std::uint64_t id, auto&) { all.push_back(id); });
  for (const std::uint64_t id : all) Advance(id);
}

}  // namespace brasswood
