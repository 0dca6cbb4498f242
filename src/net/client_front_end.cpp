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
#include "protocol/meta.h"

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
      shutdown_(limits) {
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
  if (!client.used) return now - client.last_active > limits_.evict_silent_after ? 1 : -1;
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

bool ClientFrontEnd::HasAnswersDue(const Client& client) {
  return !client.pending.empty() || client.answers.bytes().unsent != 0;
}

// Whether no more commands of this client are read for now: too many are unanswered, too many answer bytes
// are unsent, or no memory is left for an answer that would have to wait. A client without any answer due
// is never full.
bool ClientFrontEnd::IsFull(const Client& client) const {
  return client.pending.size() >= limits_.max_pipeline ||
         (HasAnswersDue(client) && !answer_memory_.HasRoom()) ||
         client.answers.bytes().held + client.answers.bytes().unsent >= limits_.max_unsent;
}

void ClientFrontEnd::ReadCommands(Client& client) {
  const std::uint64_t id = client.id;
  // Guards against work for a client that has already closed: its remaining commands are not read, however
  // many there are.
  if (PeerClosed(bufferevent_getfd(client.buffer.get())))
    return Close(id, ClientEndReason::kClosedByClient);
  while (!client.closing) {
    const bool input = evbuffer_get_length(bufferevent_get_input(client.buffer.get())) != 0;
    if (input && IsFull(client)) return PauseReading(client);
    std::size_t used = 0;
    Command command;
    const Parsed got = ParseCommand(ContiguousInput(client.buffer.get()), limits_, used, command);
    if (got == Parsed::kMore) {
      const bool begun = evbuffer_get_length(bufferevent_get_input(client.buffer.get())) != 0;
      client.queued_since = Time(0);
      if (!begun) client.partial_since = Time(0);
      if (begun && client.partial_since == Time(0)) client.partial_since = loop_.Now();
      if (begun) LeaveIdleQueue(client);  // a client that is sending a command, however slowly, is not idle
      break;
    }
    client.partial_since = Time(0);
    if (got == Parsed::kBad) {
      ++counters_.bad_commands;
      MarkClosing(client, ClientEndReason::kBadCommand);
      Reply(client, "CLIENT_ERROR " + command.error + "\r\n");
      break;
    }
    evbuffer_drain(bufferevent_get_input(client.buffer.get()), used);
    client.used = true;
    client.last_active = loop_.Now();
    client.reused = client.reused || client.idle_queue != nullptr;
    LeaveIdleQueue(client);
    switch (command.verb) {
      case Verb::kRequest:
        StartRequest(client, std::move(command.content));
        break;
      case Verb::kNoop:
        Reply(client, ReportsReady() ? "MN\r\n" : "SERVER_ERROR not ready\r\n");
        break;
      case Verb::kQuit:
        MarkClosing(client, ClientEndReason::kQuit);
        break;
      case Verb::kUnknown:
        ++counters_.bad_commands;
        Reply(client, "ERROR\r\n");
        break;
      case Verb::kMalformed:
        ++counters_.bad_commands;
        Reply(client, "CLIENT_ERROR " + command.error + "\r\n");
        break;
    }
  }
  Advance(id);
}

// Guards against commands that are begun although nothing can hold their answers: they stay in the kernel,
// and TCP flow control holds their client back.
void ClientFrontEnd::PauseReading(Client& client) {
  client.read_paused = true;
  bufferevent_disable(client.buffer.get(), EV_READ);
  SetTimeout(client);  // it is not idle any more
  ScheduleCloseCheck(client);
  if (answer_memory_.HasRoom() || client.awaits_room) return;
  client.awaits_room = true;
  awaiting_room_.push_back(client.id);
}

// The caller may be changing a client's answers, so that reading goes on in a call of its own.
void ClientFrontEnd::ScheduleResume() {
  if (resume_due_ || awaiting_room_.empty()) return;
  resume_due_ = true;
  loop_.deadlines().Set(loop_.Now(), [this] { ResumeAwaitingRoom(); });
}

// Resumes the clients that wait for memory, in order, as long as there is room. Each of them also goes on
// when its own answers are sent, so that none depends on this.
void ClientFrontEnd::ResumeAwaitingRoom() {
  resume_due_ = false;
  while (!awaiting_room_.empty() && answer_memory_.HasRoom()) {
    const std::uint64_t id = awaiting_room_.front();
    awaiting_room_.pop_front();
    auto* found = clients_.Find(id);
    if (found == nullptr) continue;
    (*found)->awaits_room = false;
    if ((*found)->read_paused) Advance(id);
  }
}

// The time at which the data being read arrived. Guards against answers that are sent after their client
// has given up, because its command waited in the accept queue of a paused listener or while the process
// was stopped. The times of the loop's polls bound the arrival; where they cannot, the kernel's time of the
// last received byte does. Time spent waiting for earlier answers of the same connection does not count.
Time ClientFrontEnd::ArrivalTime(const Client& client) {
  const Time now = loop_.Now();
  const bool queued = client.queued_since != Time(0);
  const auto unread = TimeSinceLastByte(bufferevent_getfd(client.buffer.get()));
  if (queued) return unread ? std::max(client.queued_since, now - *unread) : client.queued_since;
  const Time arrived = loop_.EarliestArrival();
  if (!unread || client.read_resumed) return arrived;
  return std::min(arrived, now - std::min(*unread, limits_.max_assumed_stall));
}

void ClientFrontEnd::StartRequest(Client& client, RequestContent content) {
  NewRequest request;
  std::string error = BuildRequest(std::move(content), names_, limits_, request);
  request.arrived = ArrivalTime(client);
  // Guards against two open requests with the same id: servers' answers are matched by it, and the first
  // request, possibly of another client, must not be affected.
  if (error.empty() && engine_.HasRequest(request.content->id)) error = "this id is in use";
  if (!error.empty()) {
    ++counters_.bad_commands;
    return Reply(client, "CLIENT_ERROR " + error + "\r\n");
  }
  if (!shutdown_.AcceptsWork(loop_.Now())) return RefuseRequest(client, request.content->id);
  Pending pending;
  pending.id = request.content->id;
  if (HasAnswersDue(client)) {
    pending.reserved = request.content->write ? limits_.max_line : limits_.AnswerSize();
    client.answers.Reserve(pending.reserved);
  }
  const std::uint64_t number = client.first_number + client.pending.size();
  client.pending.push_back(std::move(pending));
  const std::uint64_t ticket = tickets_.Add({client.id, number});
  client.pending.back().ticket = ticket;
  const bool late =
      shutdown_.begun() && loop_.Now() > shutdown_.last_new_work() + Invariants::kMaxSendDelay;
  counters_.invariants.Expect(!late, Invariant::kNoNewWorkAfterDeadline, client.pending.back().id);
  const RequestId id = engine_.AcceptRequest(*this, ticket, std::move(request));
  if (id == 0) return Deliver(ticket, {AnswerKind::kRefused, {}, limits_.max_retry_after / 4});
  if (tickets_.Find(ticket) != nullptr) client.pending[number - client.first_number].request = id;
}

// Refuses a request read after the last moment for new work. Guards against starting work in a process that
// is about to be killed.
void ClientFrontEnd::RefuseRequest(Client& client, const std::string& request) {
  ++counters_.refused_stopping;
  LogLine(Level::kDebug) << "request " << request << " refused: the router is shutting down";
  std::string text;
  AppendAnswer(text, request, {AnswerKind::kRefused, {}, {}}, limits_);
  Reply(client, std::move(text));
}

void ClientFrontEnd::Reply(Client& client, std::string text) {
  client.answers.AddHeld(text.size());
  Pending pending;
  pending.answered = true;
  pending.text = std::move(text);
  client.pending.push_back(std::move(pending));
  Flush(client);
}

ClientFrontEnd::Pending* ClientFrontEnd::FindPending(std::uint64_t ticket, Client*& client) {
  const Ticket* to = tickets_.Find(ticket);
  if (to == nullptr) return nullptr;
  auto* found = clients_.Find(to->client);
  if (found == nullptr) return nullptr;
  client = found->get();
  if (to->number < client->first_number || to->number - client->first_number >= client->pending.size())
    return nullptr;  // cancelled
  return &client->pending[to->number - client->first_number];
}

void ClientFrontEnd::Deliver(std::uint64_t ticket, const Answer& answer) {
  Client* client = nullptr;
  Pending* pending = FindPending(ticket, client);
  tickets_.Remove(ticket);
  if (pending == nullptr) return;
  counters_.invariants.Expect(!pending->answered, Invariant::kAnsweredOnce, pending->id);
  pending->ticket = 0;
  client->answers.Release(std::exchange(pending->reserved, 0));
  const std::size_t before = pending->text.size();
  if (!pending->streaming) {
    AppendAnswer(pending->text, pending->id, answer, limits_);
  } else if (answer.kind == AnswerKind::kValue) {
    pending->text.append("\r\n");
  } else {
    pending->truncated = true;
  }
  pending->answered = true;
  pending->request = 0;
  client->answers.AddHeld(pending->text.size() - before);
  Flush(*client);
}

void ClientFrontEnd::StartStream(std::uint64_t ticket, std::size_t length) {
  Client* client = nullptr;
  Pending* pending = FindPending(ticket, client);
  if (pending == nullptr || pending->streaming || pending->answered) return;
  client->answers.Release(std::exchange(pending->reserved, 0));  // from here on, StreamRoom bounds it
  const std::size_t before = pending->text.size();
  // Guards against an allocation that doubles with each chunk of a value that has to wait.
  if (pending != &client->pending.front())
    pending->text.reserve(limits_.max_line + std::min(length, limits_.stream_window));
  pending->text.append("VA ")
      .append(std::to_string(length))
      .append(" O")
      .append(pending->id)
      .append("\r\n");
  pending->streaming = true;
  client->answers.AddHeld(pending->text.size() - before);
  Flush(*client);
}

void ClientFrontEnd::SendChunk(std::uint64_t ticket, std::string_view bytes) {
  Client* client = nullptr;
  Pending* pending = FindPending(ticket, client);
  if (pending == nullptr || !pending->streaming || pending->answered) return;
  pending->text.append(bytes);
  client->answers.AddHeld(bytes.size());
  Flush(*client);
}

bool ClientFrontEnd::IsConnected(std::uint64_t ticket) const {
  const Ticket* to = tickets_.Find(ticket);
  const auto* found = to == nullptr ? nullptr : clients_.Find(to->client);
  return found != nullptr && !PeerClosed(bufferevent_getfd((*found)->buffer.get()));
}

std::size_t ClientFrontEnd::StreamRoom(std::uint64_t ticket) {
  Client* client = nullptr;
  const Pending* pending = FindPending(ticket, client);
  if (pending == nullptr) return limits_.stream_window;  // nobody waits for it: what is sent is dropped
  return client->answers.StreamRoom(pending == &client->pending.front());
}

// Appends `text` to the output. Guards against a long answer that is in memory twice, in the text and in
// the buffer: the buffer takes it over. A short one is copied, which costs less.
void ClientFrontEnd::Write(bufferevent& to, std::string text) {
  constexpr std::size_t kMaxCopied = 4096;
  evbuffer* out = bufferevent_get_output(&to);
  if (text.size() <= kMaxCopied) {
    evbuffer_add(out, text.data(), text.size());
    return;
  }
  auto owned = std::make_unique<std::string>(std::move(text));
  const auto free_text = [](const void*, std::size_t, void* p) { delete static_cast<std::string*>(p); };
  if (evbuffer_add_reference(out, owned->data(), owned->size(), free_text, owned.get()) == 0)
    owned.release();
}

// Sends the answers that are available, as far as the order of the commands allows. What follows from an
// answer (reading further, closing) is scheduled as a separate call of Advance, because the engine may be
// the caller here and must not be re-entered.
void ClientFrontEnd::Flush(Client& client) {
  while (!client.cut_off && !client.pending.empty() &&
         (client.pending.front().answered || client.pending.front().streaming)) {
    Pending& front = client.pending.front();
    client.answers.RemoveHeld(front.text.size());
    Write(*client.buffer, std::exchange(front.text, {}));
    if (!front.answered) break;  // the rest of its value has not arrived
    const bool truncated = front.truncated;
    client.pending.pop_front();
    ++client.first_number;
    // Guards against a truncated value that is read as complete, or with the next answer as its rest: the
    // client sees the connection end where the value stops.
    if (truncated) {
      client.cut_off = true;
      MarkClosing(client, ClientEndReason::kValueTruncated);
    }
  }
  if ((client.read_paused || client.closing || shutdown_.begun() || draining_) && !client.advance_due) {
    client.advance_due = true;
    loop_.deadlines().Set(loop_.Now(), [this, id = client.id] { Advance(id); });
  }
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
  if (client.read_paused && !IsFull(client)) {
    client.read_paused = false;
    bufferevent_enable(client.buffer.get(), EV_READ);
    client.read_resumed = true;
    return ReadCommands(client);
  }
  if (client.cut_off && !client.pending.empty()) {
    CancelPending(client);
  }
  if (client.closing) return LingeringClose(client);
  // While draining or shutting down, a connection closes once it is idle, but a new one may first send a
  // command. (libevent reports the empty output of a new connection as written, which would close it before
  // its first command.) Guards against a close while a command waits in the kernel: the connection would be
  // reset, and answers in transit lost. That command is read and answered first.
  const bool ending = shutdown_.begun() || draining_;
  if (ending && client.used && IsIdle(client) && !HasUnreadInput(bufferevent_getfd(client.buffer.get()))) {
    return CloseGracefully(client,
                           shutdown_.begun() ? ClientEndReason::kShutdown : ClientEndReason::kDraining);
  }
  SetTimeout(client);
}

}  // namespace brasswood
