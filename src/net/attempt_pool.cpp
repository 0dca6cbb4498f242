#include "net/attempt_pool.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <utility>

#include "base/log.h"
#include "protocol/address.h"
#include "protocol/http.h"
#include "protocol/meta.h"

namespace brasswood {

using beechledge::Result;

AttemptPool::AttemptPool(Loop& loop, Engine& engine, const Limits& limits, Counters& counters,
                         ConnBudget& budget)
    : loop_(loop), engine_(engine), limits_(limits), counters_(counters), budget_(budget) {
  budget_.pools.push_back(this);
}

AttemptPool::~AttemptPool() {
  for (Connection& c : connections_) {
    loop_.deadlines().Drop(c.deadline);
    loop_.deadlines().Drop(c.leaving);
  }
  std::erase(budget_.pools, this);
}

void AttemptPool::Start(AttemptId attempt, ServerId to, std::shared_ptr<const RequestContent> request,
                        Time until, Time sent_by) {
  Begin(to, {attempt, std::move(request), false, until, sent_by});
}
void AttemptPool::Probe(AttemptId probe, ServerId to, bool load) {
  Begin(to, {probe, nullptr, load, loop_.Now() + limits_.probe, {}});
}

void AttemptPool::Begin(ServerId to, Errand errand) {
  const Server* server = engine_.FindServer(to);
  const AttemptId attempt = errand.attempt;
  if (Connection* c = Rested(to)) {
    c->errand = std::move(errand);
    busy_.emplace(attempt, c->self);
    ++counters_.connections_reused;
    LogLine(Level::kDebug) << "connection to " << c->endpoint << " used again after "
                           << (loop_.Now() - c->rested).count() / 1000 << " us";
    return WriteErrand(*c);
  }
  if (server == nullptr || !MakeRoom()) {
    // No descriptor to spare: that is this router's lack, not the server's, and nothing was sent.
    AttemptEnd end;
    end.result = Result::kMoot;
    return engine_.AttemptEnded(attempt, std::move(end));
  }
  connections_.emplace_back();
  Connection& c = connections_.back();
  c.pool = this;
  c.self = std::prev(connections_.end());
  c.server = to;
  c.endpoint = server->endpoint;
  c.errand = std::move(errand);
  ++budget_.open;
  ++counters_.connections;
  LogLine(Level::kDebug) << "connection to " << c.endpoint << " opened";
  busy_.emplace(attempt, c.self);
  if (!Connect(c, *server)) Break(c, Result::kConnectFailed);
}

// A resting connection that is fit for another attempt, taken out of its rest; null if there is none.
// Guards against what a server sent beyond its answer: it would pass for the start of the next one. The
// socket is looked at first, as the loop may not have read it yet, and one that has just answered is taken
// only where no other rests: what trails an answer, a close too, comes right behind it, and an attempt
// written to a connection that is closing may have run for all this side can tell.
AttemptPool::Connection* AttemptPool::Rested(ServerId server) {
  const auto at = idle_.find(server);
  if (at == idle_.end()) return nullptr;
  std::vector<Place>& idle = at->second;
  while (!idle.empty()) {
    const Time settled = loop_.Now() - limits_.settle;
    auto pick = std::find_if(idle.rbegin(), idle.rend(), [&](Place p) { return p->rested <= settled; });
    Connection& c = pick == idle.rend() ? *idle.front() : **pick;
    if (HasUnreadInput(bufferevent_getfd(c.buffer.get()))) {
      Drop(c);
      continue;
    }
    std::erase(idle, c.self);
    loop_.deadlines().Drop(c.deadline);
    c.idle = false;
    return &c;
  }
  return nullptr;
}

bool AttemptPool::Connect(Connection& c, const Server& server) {
  const auto address = ParseAddress(server.endpoint);
  if (!address) return false;
  c.buffer.reset(bufferevent_socket_new(loop_.base(), -1, BEV_OPT_CLOSE_ON_FREE));
  if (!c.buffer) return false;
  bufferevent_setcb(
      c.buffer.get(),
      [](bufferevent*, void* p) {
        auto* at = static_cast<Connection*>(p);
        at->pool->OnRead(*at);
      },
      [](bufferevent*, void* p) {
        auto* at = static_cast<Connection*>(p);
        at->pool->OnWritten(*at);
      },
      [](bufferevent*, short what, void* p) {
        auto* at = static_cast<Connection*>(p);
        at->pool->OnEvent(*at, what);
      },
      &c);
  bufferevent_enable(c.buffer.get(), EV_READ | EV_WRITE);
  c.deadline = loop_.deadlines().Set(loop_.Now() + limits_.connect, [this, place = c.self] {
    place->deadline = {};
    Break(*place, Result::kConnectFailed);
  });
  // A failure at once (no descriptor, no route) may have gone through OnEvent already, which then has taken
  // the connection away: `c` is looked at no more, and the attempt tells.
  const AttemptId attempt = c.errand.attempt;
  if (bufferevent_socket_connect(c.buffer.get(), reinterpret_cast<const sockaddr*>(&*address),
                                 sizeof *address) != 0) {
    return !busy_.contains(attempt);
  }
  const int on = 1;
  setsockopt(bufferevent_getfd(c.buffer.get()), IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  return true;
}

void AttemptPool::WriteErrand(Connection& c) {
  const Server* server = engine_.FindServer(c.server);
  const SendVerdict verdict =
      c.errand.request ? engine_.JudgeFirstByte(c.errand.attempt, c.endpoint) : SendVerdict::kAllowed;
  if (verdict != SendVerdict::kAllowed) {
    // The connection itself is sound.
    const AttemptId attempt = c.errand.attempt;
    Rest(c);
    return engine_.HeldBack(attempt, verdict);
  }
  const std::string text = Write(c.errand, *server, c.errand.until - loop_.Now());
  c.written = true;
  c.counted = false;
  // Guards against a repeat whose last byte the other side's full window holds back past its time.
  if (c.errand.request && c.errand.sent_by < c.errand.until) {
    c.leaving = loop_.deadlines().Set(c.errand.sent_by, [this, place = c.self] {
      place->leaving = {};
      if (!LeftWhole(*place)) Break(*place, Result::kConnectFailed);
    });
  }
  bufferevent_write(c.buffer.get(), text.data(), text.size());
}

// The output has gone to the kernel whole: the attempt counts as an attempt from here.
void AttemptPool::OnWritten(Connection& c) {
  loop_.RecordPollReturn();
  loop_.deadlines().Drop(c.leaving);
  if (!c.written || c.counted || !c.errand.request) return;
  c.counted = true;
  engine_.AttemptLeft(c.errand.attempt);
}

void AttemptPool::OnEvent(Connection& c, short what) {
  loop_.RecordPollReturn();
  if (what & BEV_EVENT_CONNECTED) {
    c.up = true;
    loop_.deadlines().Drop(c.deadline);
    return WriteErrand(c);
  }
  if (c.written && TakeLastAnswer(c, what)) return;
  Break(c, LeftWhole(c) ? Result::kReset : Result::kConnectFailed);
}

// The connection has ended under an attempt: is there a whole answer in what came before? An orderly close
// ends an answer that states no length; a reset ends none. Guards also against an answer that is lost since
// the rest of a long command met the close first: what came is still there to be read.
bool AttemptPool::TakeLastAnswer(Connection& c, short what) {
  if ((what & BEV_EVENT_WRITING) != 0) {
    evbuffer* in = bufferevent_get_input(c.buffer.get());
    evbuffer_unfreeze(in, 0);
    const int most = static_cast<int>(limits_.value + limits_.http_head);
    const bool came = evbuffer_read(in, bufferevent_getfd(c.buffer.get()), most) > 0;
    evbuffer_freeze(in, 0);
    return came && !c.streaming && TakeAnswer(c, InputEnd::kOpen) == Parsed::kDone;
  }
  if ((what & BEV_EVENT_EOF) == 0 || c.streaming) return false;
  return TakeAnswer(c, InputEnd::kClosed) == Parsed::kDone;
}

// Has the errand's last byte left for the kernel? What a bufferevent still holds has not.
bool AttemptPool::LeftWhole(const Connection& c) {
  return c.written && evbuffer_get_length(bufferevent_get_output(c.buffer.get())) == 0;
}

void AttemptPool::OnRead(Connection& c) {
  loop_.RecordPollReturn();
  if (c.idle || !c.written) return Break(c, Result::kConnectFailed);  // nothing was asked
  if (c.streaming) return Stream(c);
  if (c.errand.request && !c.errand.request->write && TryStream(c)) return;
  switch (TakeAnswer(c, InputEnd::kOpen)) {
    case Parsed::kMore:
      loop_.deadlines().Drop(c.deadline);
      AwaitRest(c, limits_.answer);
      return;
    case Parsed::kBad:
      LogLine(Level::kDebug) << "bad answer from " << engine_.FindServer(c.server)->uid;
      return Break(c, Result::kSpoilt);
    case Parsed::kDone:
      return;
  }
}

// kDone: a whole answer has come, the attempt has ended with it, and the connection rests or is gone.
Parsed AttemptPool::TakeAnswer(Connection& c, InputEnd input) {
  std::size_t used = 0;
  AttemptEnd end;
  bool keep = true;
  const Parsed got = Parse(Gathered(c.buffer.get()), c.errand, input, used, end, keep);
  if (got != Parsed::kDone) return got;
  loop_.deadlines().Drop(c.deadline);
  evbuffer_drain(bufferevent_get_input(c.buffer.get()), used);
  const AttemptId attempt = c.errand.attempt;
  const bool whole = LeftWhole(c) && evbuffer_get_length(bufferevent_get_input(c.buffer.get())) == 0;
  if (keep && whole && input == InputEnd::kOpen) {
    Rest(c);
  } else {
    Drop(c);
  }
  engine_.AttemptEnded(attempt, std::move(end));
  return Parsed::kDone;
}

// A large value is passed on as it comes, never held until it is whole: a slow server that writes in
// small pieces would keep its client waiting for all of it, and memory would hold all of it. Only the
// head is gathered here, not what follows. True: the answer is being passed on, or has ended the attempt.
bool AttemptPool::TryStream(Connection& c) {
  evbuffer* in = bufferevent_get_input(c.buffer.get());
  const std::size_t have = evbuffer_get_length(in);
  const std::size_t look = std::min(have, limits_.http_head + limits_.line + 8);
  const std::string_view front(
      reinterpret_cast<const char*>(evbuffer_pullup(in, static_cast<ev_ssize_t>(look))), look);
  std::size_t used = 0, trailer = 0;
  AttemptEnd head;
  std::optional<std::uint64_t> length;
  bool keep = true;
  const Parsed got = ParseHead(front, c.errand, used, head, length, trailer, keep);
  if (got != Parsed::kDone || !length || *length <= limits_.value) return false;  // as a whole one
  evbuffer_drain(in, used);
  loop_.deadlines().Drop(c.deadline);
  c.streaming = true;
  c.left = *length;
  c.trailer = trailer;
  c.keep = keep;
  c.head = std::move(head);
  const AttemptId attempt = c.errand.attempt;
  if (!engine_.AttemptOpened(attempt, static_cast<std::size_t>(*length))) {
    if (busy_.contains(attempt)) Break(c, Result::kCancelled);
    return true;
  }
  if (busy_.contains(attempt)) Stream(c);
  return true;
}

void AttemptPool::Stream(Connection& c) {
  constexpr std::size_t kPiece = 64 * 1024;
  const AttemptId attempt = c.errand.attempt;
  evbuffer* in = bufferevent_get_input(c.buffer.get());
  std::string piece;
  while (c.left > 0 && evbuffer_get_length(in) > 0) {
    if (engine_.Backlog(attempt) > limits_.stream_window) return AwaitRoom(c);
    const auto n =
        static_cast<std::size_t>(std::min<std::uint64_t>({c.left, evbuffer_get_length(in), kPiece}));
    piece.resize(n);
    evbuffer_remove(in, piece.data(), n);
    c.left -= n;
    engine_.AttemptPiece(attempt, piece);
    if (!busy_.contains(attempt)) return;  // given up meanwhile, and the connection with it
  }
  if (c.left > 0 || evbuffer_get_length(in) < c.trailer) return;
  if (c.trailer > 0) {
    const std::string_view end(
        reinterpret_cast<const char*>(evbuffer_pullup(in, static_cast<ev_ssize_t>(c.trailer))), c.trailer);
    if (end != std::string_view("\r\n").substr(0, c.trailer)) return Break(c, Result::kSpoilt);
    evbuffer_drain(in, c.trailer);
  }
  Finish(c);
}

void AttemptPool::Finish(Connection& c) {
  const AttemptId attempt = c.errand.attempt;
  AttemptEnd end = std::move(c.head);
  end.result = Result::kOk;
  end.streamed = true;
  c.streaming = false;
  const bool whole = LeftWhole(c) && evbuffer_get_length(bufferevent_get_input(c.buffer.get())) == 0;
  if (c.keep && whole) {
    Rest(c);
  } else {
    Drop(c);
  }
  engine_.AttemptEnded(attempt, std::move(end));
}

// Guards against a client that takes a value more slowly than its server gives it: past the window the
// server's connection is not read, and the kernel holds the server back, until the client has taken
// half of it. Looked at again every few milliseconds.
void AttemptPool::AwaitRoom(Connection& c) {
  bufferevent_disable(c.buffer.get(), EV_READ);
  loop_.deadlines().Drop(c.deadline);
  c.deadline = loop_.deadlines().Set(loop_.Now() + std::chrono::milliseconds(5), [this, place = c.self] {
    place->deadline = {};
    engine_.AttemptPiece(place->errand.attempt, {});
    if (engine_.Backlog(place->errand.attempt) > limits_.stream_window / 2) return AwaitRoom(*place);
    bufferevent_enable(place->buffer.get(), EV_READ);
    Stream(*place);
  });
}

// Guards against an answer that states more than is sent: nothing else would tell until the request's time
// is up, while a repeat may still serve it. What waits in the kernel is read first.
void AttemptPool::AwaitRest(Connection& c, Duration wait) {
  c.deadline = loop_.deadlines().Set(loop_.Now() + wait, [this, place = c.self] {
    place->deadline = {};
    if (HasUnreadInput(bufferevent_getfd(place->buffer.get())))
      return AwaitRest(*place, limits_.answer / 4);
    Break(*place, Result::kSpoilt);
  });
}

void AttemptPool::Rest(Connection& c) {
  // Guards against a server that moved, or went, while this connection was at work: the next attempt for
  // it must not go to where it was.
  const Server* server = engine_.FindServer(c.server);
  if (server->endpoint != c.endpoint || server->availability == beechledge::Availability::kRemoved) {
    return Drop(c);
  }
  busy_.erase(c.errand.attempt);
  loop_.deadlines().Drop(c.leaving);
  c.errand = {};
  c.written = false;
  c.idle = true;
  c.rested = loop_.Now();
  idle_[c.server].push_back(c.self);
  c.deadline = loop_.deadlines().Set(loop_.Now() + limits_.idle, [this, place = c.self] {
    place->deadline = {};
    Drop(*place);
  });
}

void AttemptPool::Break(Connection& c, Result result) {
  const AttemptId attempt = c.errand.attempt;
  Drop(c);
  if (attempt == 0) return;
  AttemptEnd end;
  end.result = result;
  engine_.AttemptEnded(attempt, std::move(end));
}

void AttemptPool::Drop(Connection& c) {
  loop_.deadlines().Drop(c.deadline);
  loop_.deadlines().Drop(c.leaving);
  if (c.idle) std::erase(idle_[c.server], c.self);
  busy_.erase(c.errand.attempt);
  --budget_.open;
  connections_.erase(c.self);
}

bool AttemptPool::Abandon(AttemptId attempt) {
  const auto it = busy_.find(attempt);
  if (it == busy_.end()) return false;
  Connection& c = *it->second;
  const bool whole = c.buffer && LeftWhole(c);
  Drop(c);
  return whole;
}

void AttemptPool::CloseIdle(ServerId server) {
  const auto it = idle_.find(server);
  if (it == idle_.end()) return;
  while (!it->second.empty()) Drop(*it->second.back());
}

void AttemptPool::Forget(ServerId server) {
  CloseIdle(server);
  idle_.erase(server);
}

// Room for one more connection: where the budget is spent, an idle one of any pool makes way. (Each pool
// once looked at its own alone, and idle connections to cache servers could shut out the origin.)
bool AttemptPool::MakeRoom() {
  return budget_.open < limits_.attempt_conns ||
         std::any_of(budget_.pools.begin(), budget_.pools.end(),
                     [](AttemptPool* pool) { return pool->DropIdle(); });
}

void AttemptPool::Trim() {
  while (budget_.open > limits_.attempt_conns &&
         std::any_of(budget_.pools.begin(), budget_.pools.end(),
                     [](AttemptPool* pool) { return pool->DropIdle(); })) {
  }
}

bool AttemptPool::DropIdle() {
  for (auto& [server, idle] : idle_) {
    if (idle.empty()) continue;
    Drop(*idle.front());
    return true;
  }
  return false;
}

// ---- The two dialects ----

std::string CacheServerPool::Write(const Errand& errand, const Server&, Duration left) const {
  if (!errand.request) return errand.load ? "stats load\r\n" : "mn\r\n";
  return WriteAttempt(*errand.request, left);
}

Parsed CacheServerPool::ParseHead(std::string_view in, const Errand& errand, std::size_t& used,
                                  AttemptEnd& end, std::optional<std::uint64_t>& length,
                                  std::size_t& trailer, bool&) const {
  trailer = 2;
  return ParseAttemptHead(in, *errand.request, limits(), used, end, length);
}

Parsed CacheServerPool::Parse(std::string_view in, const Errand& errand, InputEnd, std::size_t& used,
                              AttemptEnd& end, bool&) const {
  if (!errand.request) return ParseProbeReply(in, errand.load, limits(), used, end);
  return ParseAttemptReply(in, *errand.request, limits(), used, end);
}

std::string OriginClient::Write(const Errand& errand, const Server& server, Duration left) const {
  if (!errand.request) return WriteGet(server.endpoint, errand.load ? "/-/load" : "/-/healthy");
  return WriteOriginAttempt(server.endpoint, *errand.request, left);
}

Parsed OriginClient::ParseHead(std::string_view in, const Errand&, std::size_t& used, AttemptEnd& end,
                               std::optional<std::uint64_t>& length, std::size_t& trailer,
                               bool& keep) const {
  HttpAnswer answer;
  trailer = 0;
  const Parsed got = ParseHttpHead(in, limits(), used, answer, length);
  if (got != Parsed::kDone) return got;
  if (answer.status != 200) length.reset();  // only a value goes on in pieces
  keep = answer.keep;
  end = ReadOriginProbe(answer);
  return got;
}

Parsed OriginClient::Parse(std::string_view in, const Errand& errand, InputEnd input, std::size_t& used,
                           AttemptEnd& end, bool& keep) const {
  HttpAnswer answer;
  const Parsed got = ParseHttpAnswer(in, limits().value, limits(), input, used, answer);
  if (got != Parsed::kDone) return got;
  keep = answer.keep;
  end = errand.request ? ReadOriginAnswer(std::move(answer), *errand.request) : ReadOriginProbe(answer);
  return got;
}

}  // namespace brasswood
