#include "net/attempt_pool.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <utility>

#include "base/log.h"
#include "protocol/address.h"

namespace brasswood {

using beechledge::Result;

AttemptPool::AttemptPool(Loop& loop, Engine& engine, const Limits& limits, Counters& counters,
                         ConnectionBudget& budget)
    : loop_(loop), engine_(engine), limits_(limits), counters_(counters), budget_(budget) {
  budget_.pools.push_back(this);
}

AttemptPool::~AttemptPool() {
  for (Connection& connection : connections_) {
    loop_.deadlines().Cancel(connection.deadline);
    loop_.deadlines().Cancel(connection.send_deadline);
  }
  std::erase(budget_.pools, this);
}

void AttemptPool::Start(AttemptId attempt, ServerId to, std::shared_ptr<const RequestContent> request,
                        Time until, Time send_deadline) {
  StartOperation(to, {attempt, std::move(request), false, until, send_deadline});
}
void AttemptPool::Probe(AttemptId probe, ServerId to, bool load) {
  StartOperation(to, {probe, nullptr, load, loop_.Now() + limits_.probe_timeout, {}});
}

void AttemptPool::StartOperation(ServerId to, Operation operation) {
  const Server* server = engine_.FindServer(to);
  const AttemptId attempt = operation.attempt;
  if (Connection* connection = TakeIdle(to)) {
    connection->operation = std::move(operation);
    busy_.emplace(attempt, connection->self);
    ++counters_.connections_reused;
    LogLine(Level::kDebug) << "connection to " << connection->endpoint << " reused after "
                           << (loop_.Now() - connection->idle_since).count() / 1000 << " us";
    return WriteOperation(*connection);
  }
  if (server == nullptr || !EnsureCapacity()) {
    // No connection may be opened: a shortage of this router, not a fault of the server. Nothing was sent.
    AttemptResult end;
    end.result = Result::kObsolete;
    return engine_.AttemptEnded(attempt, std::move(end));
  }
  connections_.emplace_back();
  Connection& connection = connections_.back();
  connection.pool = this;
  connection.self = std::prev(connections_.end());
  connection.server = to;
  connection.endpoint = server->endpoint;
  connection.operation = std::move(operation);
  ++budget_.open;
  ++counters_.connections;
  LogLine(Level::kDebug) << "connection to " << connection.endpoint << " opened";
  busy_.emplace(attempt, connection.self);
  if (!Connect(connection, *server)) CloseWithResult(connection, Result::kConnectFailed);
}

// Takes an idle connection that can carry another attempt out of the idle list; null if there is none.
// Guards against bytes that a server sent after its answer, which would be parsed as the start of the next
// one. The socket is checked first, because the loop may not have read it yet. A connection that has just
// answered is used only if there is no other: extra bytes or a close come right after an answer, and an
// attempt that was written to a closing connection may have run, as far as the router can tell.
AttemptPool::Connection* AttemptPool::TakeIdle(ServerId server) {
  const auto at = idle_.find(server);
  if (at == idle_.end()) return nullptr;
  std::vector<ConnectionIt>& idle = at->second;
  while (!idle.empty()) {
    const Time settled = loop_.Now() - limits_.reuse_after;
    auto pick =
        std::find_if(idle.rbegin(), idle.rend(), [&](ConnectionIt p) { return p->idle_since <= settled; });
    Connection& connection = pick == idle.rend() ? *idle.front() : **pick;
    if (HasUnreadInput(bufferevent_getfd(connection.buffer.get()))) {
      CloseConnection(connection);
      continue;
    }
    std::erase(idle, connection.self);
    loop_.deadlines().Cancel(connection.deadline);
    connection.idle = false;
    return &connection;
  }
  return nullptr;
}

bool AttemptPool::Connect(Connection& connection, const Server& server) {
  const auto address = ParseAddress(server.endpoint);
  if (!address) return false;
  connection.buffer.reset(bufferevent_socket_new(loop_.base(), -1, BEV_OPT_CLOSE_ON_FREE));
  if (!connection.buffer) return false;
  bufferevent_setcb(
      connection.buffer.get(),
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
      &connection);
  bufferevent_enable(connection.buffer.get(), EV_READ | EV_WRITE);
  connection.deadline =
      loop_.deadlines().Set(loop_.Now() + limits_.connect_timeout, [this, it = connection.self] {
        it->deadline = {};
        CloseWithResult(*it, Result::kConnectFailed);
      });
  // An immediate failure (no descriptor, no route) may already have been handled by OnEvent, which destroys
  // the connection. `connection` must not be used then; whether the attempt is still in `busy_` shows what
  // happened.
  const AttemptId attempt = connection.operation.attempt;
  if (bufferevent_socket_connect(connection.buffer.get(), reinterpret_cast<const sockaddr*>(&*address),
                                 sizeof *address) != 0) {
    return !busy_.contains(attempt);
  }
  const int on = 1;
  setsockopt(bufferevent_getfd(connection.buffer.get()), IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  return true;
}

void AttemptPool::WriteOperation(Connection& connection) {
  const Server* server = engine_.FindServer(connection.server);
  const SendVerdict verdict =
      connection.operation.request
          ? engine_.EvaluateFirstByte(connection.operation.attempt, connection.endpoint)
          : SendVerdict::kAllowed;
  if (verdict != SendVerdict::kAllowed) {
    // The connection itself is usable.
    const AttemptId attempt = connection.operation.attempt;
    MakeIdle(connection);
    return engine_.AttemptHeldBack(attempt, verdict);
  }
  const std::string text = Format(connection.operation, *server, connection.operation.until - loop_.Now());
  connection.written = true;
  connection.sent_reported = false;
  // Guards against a repeat whose last byte is held back by the peer's full receive window until after
  // `send_deadline`.
  if (connection.operation.request && connection.operation.send_deadline < connection.operation.until) {
    connection.send_deadline =
        loop_.deadlines().Set(connection.operation.send_deadline, [this, it = connection.self] {
          it->send_deadline = {};
          if (!FullySent(*it)) CloseWithResult(*it, Result::kConnectFailed);
        });
  }
  bufferevent_write(connection.buffer.get(), text.data(), text.size());
}

// All output was handed to the kernel: the attempt counts as sent from here on.
void AttemptPool::OnWritten(Connection& connection) {
  loop_.RecordPollReturn();
  loop_.deadlines().Cancel(connection.send_deadline);
  if (!connection.written || connection.sent_reported || !connection.operation.request) return;
  connection.sent_reported = true;
  engine_.AttemptSent(connection.operation.attempt);
}

void AttemptPool::OnEvent(Connection& connection, short what) {
  loop_.RecordPollReturn();
  if (what & BEV_EVENT_CONNECTED) {
    connection.connected = true;
    loop_.deadlines().Cancel(connection.deadline);
    return WriteOperation(connection);
  }
  if (connection.written && HandleLastAnswer(connection, what)) return;
  CloseWithResult(connection, FullySent(connection) ? Result::kReset : Result::kConnectFailed);
}

// The connection ended during an attempt: handles a complete answer that was received before, and returns
// whether there was one. An orderly close ends an answer that states no length; a reset ends none. Guards
// against losing an answer because writing the rest of a long command failed first: the answer can still be
// read from the socket.
bool AttemptPool::HandleLastAnswer(Connection& connection, short what) {
  if ((what & BEV_EVENT_WRITING) != 0) {
    evbuffer* in = bufferevent_get_input(connection.buffer.get());
    evbuffer_unfreeze(in, 0);
    const int max_bytes = static_cast<int>(limits_.max_value + limits_.max_http_head);
    const bool received = evbuffer_read(in, bufferevent_getfd(connection.buffer.get()), max_bytes) > 0;
    evbuffer_freeze(in, 0);
    return received && !connection.streaming && HandleAnswer(connection, InputEnd::kOpen) == Parsed::kDone;
  }
  if ((what & BEV_EVENT_EOF) == 0 || connection.streaming) return false;
  return HandleAnswer(connection, InputEnd::kClosed) == Parsed::kDone;
}

// Whether the operation's last byte was handed to the kernel. What a bufferevent still holds was not.
bool AttemptPool::FullySent(const Connection& connection) {
  return connection.written && evbuffer_get_length(bufferevent_get_output(connection.buffer.get())) == 0;
}

void AttemptPool::OnRead(Connection& connection) {
  loop_.RecordPollReturn();
  if (connection.idle || !connection.written)
    return CloseWithResult(connection, Result::kConnectFailed);  // no answer is due
  if (connection.streaming) return StreamValue(connection);
  if (connection.operation.request && !connection.operation.request->write && TryStartStreaming(connection))
    return;
  switch (HandleAnswer(connection, InputEnd::kOpen)) {
    case Parsed::kMore:
      loop_.deadlines().Cancel(connection.deadline);
      SetAnswerDeadline(connection, limits_.answer_stall_timeout);
      return;
    case Parsed::kBad:
      LogLine(Level::kDebug) << "bad answer from " << engine_.FindServer(connection.server)->uid;
      return CloseWithResult(connection, Result::kMalformed);
    case Parsed::kDone:
      return;
  }
}

// kDone: a complete answer was received, the attempt has ended with it, and the connection is idle or
// closed.
Parsed AttemptPool::HandleAnswer(Connection& connection, InputEnd input) {
  std::size_t used = 0;
  AttemptResult end;
  bool keep = true;
  const Parsed got =
      Parse(ContiguousInput(connection.buffer.get()), connection.operation, input, used, end, keep);
  if (got != Parsed::kDone) return got;
  loop_.deadlines().Cancel(connection.deadline);
  evbuffer_drain(bufferevent_get_input(connection.buffer.get()), used);
  const AttemptId attempt = connection.operation.attempt;
  Release(connection, keep && input == InputEnd::kOpen);
  engine_.AttemptEnded(attempt, std::move(end));
  return Parsed::kDone;
}

// Guards against an answer that states a larger length than is sent: nothing else would detect it before
// the request's deadline, while a retry may still serve the request. If unread data waits in the kernel, it
// is read first.
void AttemptPool::SetAnswerDeadline(Connection& connection, Duration wait) {
  connection.deadline = loop_.deadlines().Set(loop_.Now() + wait, [this, it = connection.self] {
    it->deadline = {};
    if (HasUnreadInput(bufferevent_getfd(it->buffer.get())))
      return SetAnswerDeadline(*it, limits_.answer_stall_timeout / 4);
    CloseWithResult(*it, Result::kMalformed);
  });
}

// Ends the use of a connection whose answer is complete. It is reused only if the answer allows it, the
// operation was sent whole, and nothing followed the answer.
void AttemptPool::Release(Connection& connection, bool reusable) {
  const bool input_empty = evbuffer_get_length(bufferevent_get_input(connection.buffer.get())) == 0;
  if (reusable && input_empty && FullySent(connection)) {
    MakeIdle(connection);
  } else {
    CloseConnection(connection);
  }
}

void AttemptPool::MakeIdle(Connection& connection) {
  // Guards against a server that moved or was removed while this connection was in use: its next attempt
  // must not be sent to the old address.
  const Server* server = engine_.FindServer(connection.server);
  if (server->endpoint != connection.endpoint ||
      server->availability == beechledge::Availability::kRemoved) {
    return CloseConnection(connection);
  }
  busy_.erase(connection.operation.attempt);
  loop_.deadlines().Cancel(connection.send_deadline);
  connection.operation = {};
  connection.written = false;
  connection.idle = true;
  connection.idle_since = loop_.Now();
  idle_[connection.server].push_back(connection.self);
  connection.deadline = loop_.deadlines().Set(loop_.Now() + limits_.server_connection_idle_timeout,
                                              [this, it = connection.self] {
                                                it->deadline = {};
                                                CloseConnection(*it);
                                              });
}

void AttemptPool::CloseWithResult(Connection& connection, Result result) {
  const AttemptId attempt = connection.operation.attempt;
  CloseConnection(connection);
  if (attempt == 0) return;
  AttemptResult end;
  end.result = result;
  engine_.AttemptEnded(attempt, std::move(end));
}

void AttemptPool::CloseConnection(Connection& connection) {
  loop_.deadlines().Cancel(connection.deadline);
  loop_.deadlines().Cancel(connection.send_deadline);
  if (connection.idle) std::erase(idle_[connection.server], connection.self);
  busy_.erase(connection.operation.attempt);
  --budget_.open;
  connections_.erase(connection.self);
}

bool AttemptPool::Abandon(AttemptId attempt) {
  const auto it = busy_.find(attempt);
  if (it == busy_.end()) return false;
  Connection& connection = *it->second;
  const bool whole = connection.buffer && FullySent(connection);
  CloseConnection(connection);
  return whole;
}

void AttemptPool::CloseIdle(ServerId server) {
  const auto it = idle_.find(server);
  if (it == idle_.end()) return;
  while (!it->second.empty()) CloseConnection(*it->second.back());
}

void AttemptPool::Forget(ServerId server) {
  CloseIdle(server);
  idle_.erase(server);
}

// Makes room for one more connection: if the budget is used up, an idle connection of any pool is closed.
// If each pool closed only its own, idle connections to cache servers could lock out the origin.
bool AttemptPool::EnsureCapacity() {
  return budget_.open < limits_.max_server_connections ||
         std::any_of(budget_.pools.begin(), budget_.pools.end(),
                     [](AttemptPool* pool) { return pool->CloseOneIdle(); });
}

void AttemptPool::CloseExcessIdle() {
  while (budget_.open > limits_.max_server_connections &&
         std::any_of(budget_.pools.begin(), budget_.pools.end(),
                     [](AttemptPool* pool) { return pool->CloseOneIdle(); })) {
  }
}

bool AttemptPool::CloseOneIdle() {
  for (auto& [server, idle] : idle_) {
    if (idle.empty()) continue;
    CloseConnection(*idle.front());
    return true;
  }
  return false;
}

}  // namespace brasswood
