#include "net/client_front.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <cerrno>
#include <cstring>
#include <stdexcept>
#include <utility>
#include <vector>

#include "base/log.h"
#include "net/startup.h"
#include "protocol/address.h"
#include "protocol/meta.h"

namespace brasswood {

ClientFront::ClientFront(Loop& loop, Engine& engine, const Limits& limits, const Names& names,
                         Counters& counters, const std::string& address)
    : loop_(loop),
      engine_(engine),
      limits_(limits),
      names_(names),
      counters_(counters),
      listener_(nullptr, evconnlistener_free),
      shutdown_(limits) {
  once_.most = limits_.resting;
  again_.most = limits_.resting_again;
  const auto at = ParseAddress(address);
  if (!at) throw std::runtime_error("not an address to listen on: " + address);
  listener_.reset(evconnlistener_new_bind(
      loop_.base(),
      [](evconnlistener*, evutil_socket_t fd, sockaddr*, int, void* self) {
        static_cast<ClientFront*>(self)->Accept(fd);
      },
      this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_REUSEABLE_PORT | LEV_OPT_CLOSE_ON_EXEC,
      1024, reinterpret_cast<const sockaddr*>(&*at), sizeof *at));
  if (!listener_) throw StartError("cannot listen on " + address, errno);
  evconnlistener_set_error_cb(listener_.get(), [](evconnlistener*, void* self) {
    // Out of descriptors: the waiting connection stays readable.
    LogLine(Level::kWarn) << "cannot accept: " << std::strerror(EVUTIL_SOCKET_ERROR());
    static_cast<ClientFront*>(self)->Pause();
  });
}

ClientFront::~ClientFront() = default;

std::uint16_t ClientFront::port() const {
  sockaddr_in at{};
  socklen_t size = sizeof at;
  getsockname(evconnlistener_get_fd(listener_.get()), reinterpret_cast<sockaddr*>(&at), &size);
  return ntohs(at.sin_port);
}

void ClientFront::Resume() {
  if (listening_ || listener_closed_) return;
  listening_ = true;
  evconnlistener_enable(listener_.get());
  // A turn of the loop accepts all that waits, unless it pauses again.
  constexpr std::chrono::milliseconds kOneTurn(5);
  queue_empty_ = loop_.deadlines().Set(loop_.Now() + kOneTurn, [this] { paused_since_ = Time(0); });
  MakeRoom();
}

// Which makes way first in a full table: those that have their last answer, then those that connected and
// say nothing, then those that have been served and rest, then those that are slow to end a command. None
// that is owed an answer, and none that has just connected: it is about to speak. -1: not this one.
int ClientFront::WayRank(const Client& s, Time now) const {
  if (s.shut) return 0;
  if (!s.pending.empty() || evbuffer_get_length(bufferevent_get_output(s.buffer.get())) != 0) return -1;
  if (s.partial != Time(0)) return now - s.partial > limits_.hurry ? 3 : -1;
  if (!s.used) return now - s.active > limits_.hurry ? 1 : -1;
  return 2;
}

// Guards against clients' kept connections filling the table: what a full router does not accept waits
// unread in the kernel, where it counts as taken. Among equals the one idle for longest makes way; should
// that cross a command that is on its way, its client sends it again. One that is here already is seen. So
// is an answer that its client has not taken yet: a command that crosses the close would cost it that.
void ClientFront::MakeRoom() {
  if (clients_.size() < limits_.clients) return;
  const Time now = loop_.Now();
  std::uint64_t chosen = 0;
  std::pair<int, Time> least{4, Time(0)};
  clients_.Each([&](std::uint64_t id, auto& s) {
    const std::pair<int, Time> at{WayRank(*s, now), s->active};
    if (at.first < 0 || at >= least) return;
    const evutil_socket_t fd = bufferevent_getfd(s->buffer.get());
    if ((at.first > 0 && Unread(fd)) || Untaken(fd) != 0) return;
    chosen = id;
    least = at;
  });
  if (chosen == 0) return Pause();  // all are at work
  ++counters_.made_way;
  Close(chosen, ClientEnd::kMadeWay);
}

// Accepts no more for a moment. Without it a loop that cannot accept would spin on the listener.
void ClientFront::Pause() {
  if (!listening_) return;
  listening_ = false;
  loop_.deadlines().Drop(queue_empty_);
  if (paused_since_ == Time(0)) paused_since_ = loop_.Now();
  evconnlistener_disable(listener_.get());
  loop_.deadlines().Set(loop_.Now() + std::chrono::milliseconds(20), [this] { Resume(); });
}

bool ClientFront::Idle(const Client& s) {
  return s.pending.empty() && evbuffer_get_length(bufferevent_get_output(s.buffer.get())) == 0 &&
         (s.closing || evbuffer_get_length(bufferevent_get_input(s.buffer.get())) == 0);
}

void ClientFront::Accept(evutil_socket_t fd) {
  loop_.NoteCallback();
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  auto owned = std::make_unique<Client>();
  Client& s = *owned;
  s.front = this;
  s.buffer.reset(bufferevent_socket_new(loop_.base(), fd, BEV_OPT_CLOSE_ON_FREE));
  if (!s.buffer) {
    evutil_closesocket(fd);
    ++counters_.clients_ended[static_cast<std::size_t>(ClientEnd::kNoMemory)];
    return;
  }
  s.active = loop_.Now();
  s.queued_since = paused_since_;
  s.id = clients_.Add(std::move(owned));
  ++counters_.clients;
  bufferevent_setcb(
      s.buffer.get(),
      [](bufferevent*, void* p) {
        auto* at = static_cast<Client*>(p);
        at->front->loop_.NoteCallback();
        at->front->Read(*at);
      },
      [](bufferevent*, void* p) {  // all written
        auto* at = static_cast<Client*>(p);
        at->front->loop_.NoteCallback();
        at->front->Wake(at->id);
      },
      [](bufferevent*, short what, void* p) {
        auto* at = static_cast<Client*>(p);
        at->front->loop_.NoteCallback();
        if (what & BEV_EVENT_TIMEOUT) return at->front->Close(at->id, ClientEnd::kTakesNothing);
        if (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) at->front->Close(at->id, ClientEnd::kByClient);
      },
      &s);
  // Room for one command of the largest size and a little more; the rest waits in the kernel.
  bufferevent_setwatermark(s.buffer.get(), EV_READ, 0, limits_.value + 2 * limits_.line);
  const auto stall = std::chrono::duration_cast<std::chrono::seconds>(limits_.write_stall).count();
  const timeval patience{static_cast<time_t>(stall), 0};
  bufferevent_set_timeouts(s.buffer.get(), nullptr, &patience);
  bufferevent_enable(s.buffer.get(), EV_READ | EV_WRITE);
  Await(s);
  MakeRoom();
}

bool ClientFront::Full(const Client& s) const {
  return s.pending.size() >= limits_.pipeline ||
         s.held + evbuffer_get_length(bufferevent_get_output(s.buffer.get())) >= limits_.unsent;
}

void ClientFront::Read(Client& s) {
  const std::uint64_t id = s.id;
  // Guards against work for nobody: a client that has gone already is owed nothing, however much of what it
  // sent before is still to be read.
  if (PeerGone(bufferevent_getfd(s.buffer.get()))) return Close(id, ClientEnd::kByClient);
  while (!s.closing) {
    if (Full(s)) {
      s.paused = true;
      bufferevent_disable(s.buffer.get(), EV_READ);
      return LookForEnd(s);
    }
    std::size_t used = 0;
    Command command;
    const Parsed got = ParseCommand(Gathered(s.buffer.get()), limits_, used, command);
    if (got == Parsed::kMore) {
      const bool begun = evbuffer_get_length(bufferevent_get_input(s.buffer.get())) != 0;
      s.queued_since = Time(0);
      if (!begun) s.partial = Time(0);
      if (begun && s.partial == Time(0)) s.partial = loop_.Now();
      if (begun) Rouse(s);  // one that sends a command, however slowly, is not at rest
      break;
    }
    s.partial = Time(0);
    if (got == Parsed::kBad) {
      ++counters_.bad_commands;
      Closing(s, ClientEnd::kBadCommand);
      Reply(s, "CLIENT_ERROR " + command.error + "\r\n");
      break;
    }
    evbuffer_drain(bufferevent_get_input(s.buffer.get()), used);
    s.used = true;
    s.active = loop_.Now();
    s.returned = s.returned || s.queue != nullptr;
    Rouse(s);
    switch (command.verb) {
      case Verb::kRequest:
        Begin(s, std::move(command.content));
        break;
      case Verb::kNoop:
        Reply(s, Welcoming() ? "MN\r\n" : "SERVER_ERROR not ready\r\n");
        break;
      case Verb::kQuit:
        Closing(s, ClientEnd::kQuit);
        break;
      case Verb::kUnknown:
        ++counters_.bad_commands;
        Reply(s, "ERROR\r\n");
        break;
      case Verb::kMalformed:
        ++counters_.bad_commands;
        Reply(s, "CLIENT_ERROR " + command.error + "\r\n");
        break;
    }
  }
  Wake(id);
}

// Guards against answers that come after their client has gone: a request that waited in the queue of a
// paused listener has waited by the time it is read. The kernel knows for how long, between the bounds.
Time ClientFront::Arrived(const Client& s) {
  const Time now = loop_.Now();
  if (s.queued_since == Time(0)) return loop_.Arrived();
  tcp_info info{};
  socklen_t size = sizeof info;
  const evutil_socket_t fd = bufferevent_getfd(s.buffer.get());
  if (::getsockopt(fd, IPPROTO_TCP, TCP_INFO, &info, &size) != 0) return s.queued_since;
  return std::max(s.queued_since, now - std::chrono::milliseconds(info.tcpi_last_data_recv));
}

void ClientFront::Begin(Client& s, RequestContent content) {
  NewRequest request;
  std::string error = DescribeRequest(std::move(content), names_, limits_, request);
  request.arrived = Arrived(s);
  // Guards against two requests of one id: the answers of servers are told apart by it, and the first
  // request's client, perhaps another one, must be served as if nothing had happened.
  if (error.empty() && engine_.Holds(request.content->id)) error = "this id is in use";
  if (!error.empty()) {
    ++counters_.bad_commands;
    return Reply(s, "CLIENT_ERROR " + error + "\r\n");
  }
  if (!shutdown_.TakesWork(loop_.Now())) return RefuseLate(s, request.content->id);
  Pending pending;
  pending.id = request.content->id;
  const std::uint64_t number = s.first + s.pending.size();
  s.pending.push_back(std::move(pending));
  const std::uint64_t ticket = tickets_.Add({s.id, number});
  s.pending.back().ticket = ticket;
  const RequestId id = engine_.Take(*this, ticket, std::move(request));
  if (id == 0) return Deliver(ticket, {AnswerKind::kRefused, {}, limits_.max_retry_after / 4});
  if (tickets_.Find(ticket) != nullptr) s.pending[number - s.first].request = id;
}

// Guards against work begun for a process that is about to be killed.
void ClientFront::RefuseLate(Client& s, const std::string& request) {
  ++counters_.refused_stopping;
  LogLine(Level::kDebug) << "request " << request << " refused: the router shuts down";
  std::string text;
  AppendAnswer(text, request, {AnswerKind::kRefused, {}, {}}, limits_);
  Reply(s, std::move(text));
}

void ClientFront::Reply(Client& s, std::string text) {
  s.held += text.size();
  Pending pending;
  pending.answered = true;
  pending.text = std::move(text);
  s.pending.push_back(std::move(pending));
  Flush(s);
}

ClientFront::Pending* ClientFront::PendingOf(std::uint64_t ticket, Client*& s) {
  const Ticket* to = tickets_.Find(ticket);
  if (to == nullptr) return nullptr;
  auto* held = clients_.Find(to->client);
  if (held == nullptr) return nullptr;
  s = held->get();
  if (to->number < s->first || to->number - s->first >= s->pending.size()) return nullptr;  // cut off
  return &s->pending[to->number - s->first];
}

void ClientFront::Deliver(std::uint64_t ticket, const Answer& answer) {
  Client* s = nullptr;
  Pending* pending = PendingOf(ticket, s);
  tickets_.Remove(ticket);
  if (pending == nullptr) return;
  counters_.invariants.Expect(!pending->answered, Invariant::kAnsweredOnce, pending->id);
  pending->ticket = 0;
  const std::size_t before = pending->text.size();
  if (!pending->open) {
    AppendAnswer(pending->text, pending->id, answer, limits_);
  } else if (answer.kind == AnswerKind::kValue) {
    pending->text.append("\r\n");
  } else {
    pending->broken = true;
  }
  pending->answered = true;
  pending->request = 0;
  s->held += pending->text.size() - before;
  Flush(*s);
}

void ClientFront::Open(std::uint64_t ticket, std::size_t length) {
  Client* s = nullptr;
  Pending* pending = PendingOf(ticket, s);
  if (pending == nullptr || pending->open || pending->answered) return;
  const std::size_t before = pending->text.size();
  pending->text.append("VA ")
      .append(std::to_string(length))
      .append(" O")
      .append(pending->id)
      .append("\r\n");
  pending->open = true;
  s->held += pending->text.size() - before;
  Flush(*s);
}

void ClientFront::Piece(std::uint64_t ticket, std::string_view bytes) {
  Client* s = nullptr;
  Pending* pending = PendingOf(ticket, s);
  if (pending == nullptr || !pending->open || pending->answered) return;
  pending->text.append(bytes);
  s->held += bytes.size();
  Flush(*s);
}

bool ClientFront::Present(std::uint64_t ticket) const {
  const Ticket* to = tickets_.Find(ticket);
  const auto* held = to == nullptr ? nullptr : clients_.Find(to->client);
  return held != nullptr && !PeerGone(bufferevent_getfd((*held)->buffer.get()));
}

std::size_t ClientFront::Backlog(std::uint64_t ticket) const {
  const Ticket* to = tickets_.Find(ticket);
  if (to == nullptr) return 0;
  const auto* held = clients_.Find(to->client);
  if (held == nullptr) return 0;
  return (*held)->held + evbuffer_get_length(bufferevent_get_output((*held)->buffer.get()));
}

// Hands on what is answered, as far as the order of the commands allows. The rest of what an answer sets
// off (reading on, closing) is left to a turn of its own: the engine is at work here.
void ClientFront::Flush(Client& s) {
  while (!s.cut && !s.pending.empty() && (s.pending.front().answered || s.pending.front().open)) {
    Pending& front = s.pending.front();
    bufferevent_write(s.buffer.get(), front.text.data(), front.text.size());
    s.held -= front.text.size();
    front.text.clear();
    if (!front.answered) break;  // the rest of its value is to come
    const bool broken = front.broken;
    s.pending.pop_front();
    ++s.first;
    // Guards against a cut value read as whole, or the next answer read as its rest: the client is to
    // see the connection end where the value stops.
    if (broken) {
      s.cut = true;
      Closing(s, ClientEnd::kValueCut);
    }
  }
  if ((s.paused || s.closing || shutdown_.begun() || sending_away_) && !s.woken) {
    s.woken = true;
    loop_.deadlines().Set(loop_.Now(), [this, id = s.id] { Wake(id); });
  }
}

// Guards against work for a client that has gone and is not read, so that nothing tells of its close: its
// attempts are given up as those of any other.
void ClientFront::LookForEnd(Client& s) {
  loop_.deadlines().Drop(s.look);
  s.look = loop_.deadlines().Set(loop_.Now() + limits_.gone_look, [this, id = s.id] {
    Client& at = **clients_.Find(id);
    at.look = {};
    if (PeerGone(bufferevent_getfd(at.buffer.get()))) return Close(id, ClientEnd::kByClient);
    if (at.paused || at.closing) LookForEnd(at);
  });
}

void ClientFront::Wake(std::uint64_t id) {
  auto* held = clients_.Find(id);
  if (held == nullptr) return;
  Client& s = **held;
  s.woken = false;
  if (s.paused && !Full(s)) {
    s.paused = false;
    bufferevent_enable(s.buffer.get(), EV_READ);
    return Read(s);
  }
  if (s.cut && !s.pending.empty()) {
    GiveUpPending(s);
  }
  if (s.closing) return HangUp(s);
  // While draining, a connection closes once it has fallen idle; a new one is first let speak. (libevent
  // reports a fresh connection's empty output as written, which used to close it before its first command.)
  // Guards against a close that crosses a command in the kernel: it would be reset, and the answers on
  // their way with it. That command is read and answered first.
  const bool ending = shutdown_.begun() || sending_away_;
  if (ending && s.used && Idle(s) && !Unread(bufferevent_getfd(s.buffer.get()))) {
    return Part(s, shutdown_.begun() ? ClientEnd::kStopping : ClientEnd::kSentAway);
  }
  Await(s);
}

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
    if (Unread(bufferevent_getfd(s.buffer.get()))) {  // it is about to be read
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
  if (Unread(bufferevent_getfd(s.buffer.get()))) {
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
  if (!on) return;
  std::vector<std::uint64_t> all;
  clients_.Each([&](std::uint64_t id, auto&) { all.push_back(id); });
  for (const std::uint64_t id : all) Wake(id);
}

void ClientFront::Stop(std::function<void()> done) {
  if (shutdown_.begun()) return;
  shutdown_.Begin(loop_.Arrived());
  stopped_ = std::move(done);
  std::vector<std::uint64_t> all;
  clients_.Each([&](std::uint64_t id, auto&) { all.push_back(id); });
  for (const std::uint64_t id : all) Wake(id);
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
    quiet = quiet && s->shut && Untaken(bufferevent_getfd(s->buffer.get())) == 0;
  });
  return quiet;
}

}  // namespace brasswood
