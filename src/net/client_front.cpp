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
namespace {

// How long no connection is accepted: with a full table, and after a first failure.
constexpr Duration kFullPause = std::chrono::milliseconds(20);
constexpr Duration kLeastPause = std::chrono::milliseconds(1);

}  // namespace

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
    static_cast<ClientFront*>(self)->AcceptFailed();
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
    if ((at.first > 0 && HasUnreadInput(fd)) || UnacknowledgedBytes(fd) != 0) return;
    chosen = id;
    least = at;
  });
  if (chosen == 0) return Pause(kFullPause);  // all are at work
  ++counters_.made_way;
  Close(chosen, ClientEnd::kMadeWay);
}

// Guards against requests that wait in the kernel's queue for a lack that has passed: one failure is
// followed by the next try at once, and only those in a row by ever longer pauses.
void ClientFront::AcceptFailed() {
  Duration pause = kLeastPause;
  for (int i = 0; i < accepts_failed_ && pause < kFullPause; ++i) pause *= 2;
  ++accepts_failed_;
  Pause(std::min(pause, kFullPause));
}

// Accepts no more for a moment. Without it a loop that cannot accept would spin on the listener.
void ClientFront::Pause(Duration pause) {
  if (!listening_) return;
  listening_ = false;
  loop_.deadlines().Drop(queue_empty_);
  if (paused_since_ == Time(0)) paused_since_ = loop_.Now();
  evconnlistener_disable(listener_.get());
  loop_.deadlines().Set(loop_.Now() + pause, [this] { Resume(); });
}

bool ClientFront::Idle(const Client& s) {
  return s.pending.empty() && evbuffer_get_length(bufferevent_get_output(s.buffer.get())) == 0 &&
         (s.closing || evbuffer_get_length(bufferevent_get_input(s.buffer.get())) == 0);
}

void ClientFront::Accept(evutil_socket_t fd) {
  loop_.RecordPollReturn();
  accepts_failed_ = 0;
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
        at->front->loop_.RecordPollReturn();
        at->resumed = false;
        at->front->Read(*at);
      },
      [](bufferevent*, void* p) {  // all written
        auto* at = static_cast<Client*>(p);
        at->front->loop_.RecordPollReturn();
        at->front->Wake(at->id);
      },
      [](bufferevent*, short what, void* p) {
        auto* at = static_cast<Client*>(p);
        at->front->loop_.RecordPollReturn();
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
  if (PeerClosed(bufferevent_getfd(s.buffer.get()))) return Close(id, ClientEnd::kByClient);
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

// Guards against answers that come after their client has gone: what is read has waited before a paused
// listener, or while the process stood still. The loop's own polls bound it; where they cannot tell, the
// kernel can. What waited behind answers of its own connection is not counted.
Time ClientFront::Arrived(const Client& s) {
  const Time now = loop_.Now();
  const bool queued = s.queued_since != Time(0);
  const auto unread = TimeSinceLastByte(bufferevent_getfd(s.buffer.get()));
  if (queued) return unread ? std::max(s.queued_since, now - *unread) : s.queued_since;
  const Time arrived = loop_.EarliestArrival();
  if (!unread || s.resumed) return arrived;
  return std::min(arrived, now - std::min(*unread, limits_.held_up));
}

void ClientFront::Begin(Client& s, RequestContent content) {
  NewRequest request;
  std::string error = BuildRequest(std::move(content), names_, limits_, request);
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
  const bool late = shutdown_.begun() && loop_.Now() > shutdown_.last_new_work() + Invariants::kMostHeldUp;
  counters_.invariants.Expect(!late, Invariant::kNoLateWork, s.pending.back().id);
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
  return held != nullptr && !PeerClosed(bufferevent_getfd((*held)->buffer.get()));
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
    if (PeerClosed(bufferevent_getfd(at.buffer.get()))) return Close(id, ClientEnd::kByClient);
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
    s.resumed = true;
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
  if (ending && s.used && Idle(s) && !HasUnreadInput(bufferevent_getfd(s.buffer.get()))) {
    return Part(s, shutdown_.begun() ? ClientEnd::kStopping : ClientEnd::kSentAway);
  }
  Await(s);
}

}  // namespace brasswood
