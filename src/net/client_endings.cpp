// The ends of clients' connections: at rest, silent, sent away, closing, closed.
#include <sys/socket.h>

#include <cerrno>
#include <utility>
#include <vector>

#include "base/log.h"
#include "net/client_front.h"

namespace brasswood {

// Guards against clients that hold a place and say nothing, or half a command: a command must be whole
// soon after its connection, or its own first byte, came; and a connection at rest is given back.
void ClientFront::Await(Client& s) {
  loop_.deadlines().Drop(s.deadline);
  // One that is owed an answer, or takes its time with one, is not silent.
  if (!s.pending.empty() || evbuffer_get_length(bufferevent_get_output(s.buffer.get())) != 0) return;
  const Time at = !s.used                ? s.active + limits_.speak
                  : s.partial != Time(0) ? s.partial + limits_.speak
                                         : loop_.Now() + limits_.rest;
  if (s.used && s.partial == Time(0)) Rest(s);
  s.deadline = loop_.deadlines().Set(at, [this, id = s.id] { Expire(id); });
}

// Guards against clients that take a new connection for each command and keep the old ones: they may hold
// only so many, and with all of those at rest they have none left to ask on. So only a part of the table
// may rest; past it the one that has rested longest is closed, soon after its answer. Those that have come
// back from a rest before are clients that use their connections again: they have a larger part, or they
// would find every third one closed.
void ClientFront::Rest(Client& s) {
  if (s.queue != nullptr) return;
  s.queue = s.returned ? &again_ : &once_;
  s.rested = loop_.Now();
  s.place = s.queue->ids.insert(s.queue->ids.end(), s.id);
  if (s.queue->ids.size() > s.queue->most && s.queue->trim == Deadlines::Id()) Trim(*s.queue);
}

void ClientFront::Rouse(Client& s) {
  if (s.queue != nullptr) s.queue->ids.erase(s.place);
  s.queue = nullptr;
}

void ClientFront::Trim(RestQueue& queue) {
  queue.trim = {};
  while (queue.ids.size() > queue.most) {
    Client& s = **clients_.Find(queue.ids.front());
    const Time due = s.rested + limits_.brief;
    if (due > loop_.Now()) {
      queue.trim = loop_.deadlines().Set(due, [this, &queue] { Trim(queue); });
      return;
    }
    if (HasUnreadInput(bufferevent_getfd(s.buffer.get()))) {  // it is about to be read
      s.returned = true;
      Rouse(s);
      continue;
    }
    ++counters_.made_way;
    Part(s, ClientEnd::kMadeWay);
  }
}

void ClientFront::Expire(std::uint64_t id) {
  Client& s = **clients_.Find(id);
  s.deadline = {};
  // A loop that runs late finds deadlines due before it has read what came in time.
  if (HasUnreadInput(bufferevent_getfd(s.buffer.get()))) {
    s.deadline =
        loop_.deadlines().Set(loop_.Now() + std::chrono::milliseconds(50), [this, id] { Expire(id); });
    return;
  }
  if (s.partial == Time(0)) {
    counters_.silent += !s.used;
    return Part(s, s.used ? ClientEnd::kRested : ClientEnd::kSilent);
  }
  ++counters_.silent;
  Closing(s, ClientEnd::kSilent);
  Reply(s, "CLIENT_ERROR command not ended in time\r\n");
}

// Ends a connection at rest. Guards against a command that crosses the end: closing at once would answer it
// with a reset, and what the other side has not taken yet of its answers would go with it.
void ClientFront::Part(Client& s, ClientEnd why) {
  Closing(s, why);
  HangUp(s);
}

// The first reason stands.
void ClientFront::Closing(Client& s, ClientEnd why) {
  if (s.closing) return;
  s.closing = true;
  s.why = why;
}

// Ends a connection whose framing is lost, or that asked for it. Guards against errors that never arrive:
// closing a socket with unread input sends a reset, which can destroy the answer on its way. So what still
// comes is read and thrown away, the answers go out, the sending is shut, and the socket closes when the
// client does, or a while later.
void ClientFront::HangUp(Client& s) {
  if (!s.discard) {
    Rouse(s);
    bufferevent_disable(s.buffer.get(), EV_READ);
    evbuffer* in = bufferevent_get_input(s.buffer.get());
    evbuffer_drain(in, evbuffer_get_length(in));
    s.discard.reset(event_new(
        loop_.base(), bufferevent_getfd(s.buffer.get()), EV_READ | EV_PERSIST,
        [](evutil_socket_t, short, void* p) {
          static_cast<Client*>(p)->front->Discard(*static_cast<Client*>(p));
        },
        &s));
    event_add(s.discard.get(), nullptr);
    loop_.deadlines().Drop(s.deadline);
  }
  if (s.shut || !Idle(s)) return;
  s.shut = true;
  ::shutdown(bufferevent_getfd(s.buffer.get()), SHUT_WR);
  s.deadline = loop_.deadlines().Set(loop_.Now() + limits_.hang_up,
                                     [this, id = s.id] { Close(id, ClientEnd::kTakesNothing); });
}

// MSG_TRUNC lets the kernel drop the bytes without a copy: tens of megabytes may come.
void ClientFront::Discard(Client& s) {
  constexpr std::size_t kAtOnce = 1 << 20;
  const ssize_t n = ::recv(bufferevent_getfd(s.buffer.get()), nullptr, kAtOnce, MSG_TRUNC | MSG_DONTWAIT);
  if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR)) return;
  if (n <= 0) return Close(s.id, ClientEnd::kByClient);
  s.discarded += static_cast<std::size_t>(n);
  if (s.discarded <= limits_.discard) return;
  if (s.shut) return Close(s.id, s.why);
  event_del(s.discard.get());  // it is still owed an answer: the rest waits in the kernel
  LookForEnd(s);
}

// The one end of a client's connection. `why`: unless it was closing already, for a reason of its own.
void ClientFront::Close(std::uint64_t id, ClientEnd why) {
  auto* held = clients_.Find(id);
  if (held == nullptr) return;
  const std::unique_ptr<Client> s = std::move(*held);
  clients_.Remove(id);
  const ClientEnd ended = s->closing && s->shut ? s->why : why;
  ++counters_.clients_ended[static_cast<std::size_t>(ended)];
  LogLine(Level::kDebug) << "client " << id
                         << " closed: " << kClientEndNames[static_cast<std::size_t>(ended)] << ", owed "
                         << s->pending.size();
  const bool by_client = ended == ClientEnd::kByClient || ended == ClientEnd::kTakesNothing;
  const std::string_view owed = s->pending.empty() ? std::string_view() : s->pending.front().id;
  counters_.invariants.Expect(by_client || s->pending.empty(), Invariant::kAnsweredBeforeEnd, owed);
  loop_.deadlines().Drop(s->deadline);
  loop_.deadlines().Drop(s->look);
  Rouse(*s);
  s->discard.reset();
  s->buffer.reset();
  GiveUpPending(*s);
}

// What is still owed to a client that takes no more answers is given up.
void ClientFront::GiveUpPending(Client& s) {
  const std::deque<Pending> pending = std::exchange(s.pending, {});
  s.first += pending.size();
  s.held = 0;
  for (const Pending& p : pending) {
    if (p.ticket != 0) tickets_.Remove(p.ticket);
    if (p.request != 0) engine_.ClientGone(p.request);
  }
}

void ClientFront::Reshare() {
  once_.most = limits_.resting;
  again_.most = limits_.resting_again;
  if (once_.trim == Deadlines::Id()) Trim(once_);
  if (again_.trim == Deadlines::Id()) Trim(again_);
}

void ClientFront::SendAway(bool on) {
  if (sending_away_ == on) return;
  sending_away_ = on;
  if (on) WakeAll();
}

// Each ends, if it is idle and has to; the table changes meanwhile.
void ClientFront::WakeAll() {
  std::vector<std::uint64_t> all;
  clients_.Each([&](std::uint64_t id, auto&) { all.push_back(id); });
  for (const std::uint64_t id : all) Wake(id);
}

}  // namespace brasswood
