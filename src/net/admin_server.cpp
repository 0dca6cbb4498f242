#include "net/admin_server.h"

#include <netinet/in.h>
#include <sys/socket.h>

#include <cerrno>
#include <cstring>
#include <stdexcept>

#include "base/log.h"
#include "net/startup.h"
#include "protocol/address.h"

namespace brasswood {

AdminServer::AdminServer(Loop& loop, const Limits& limits, const std::string& address, Operations& router)
    : loop_(loop), limits_(limits), router_(router), listener_(nullptr, evconnlistener_free) {
  const auto at = ParseAddress(address);
  if (!at) throw std::runtime_error("not an address for the admin interface: " + address);
  listener_.reset(evconnlistener_new_bind(
      loop_.base(),
      [](evconnlistener*, evutil_socket_t fd, sockaddr*, int, void* self) {
        static_cast<AdminServer*>(self)->Accept(fd);
      },
      this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC, 64,
      reinterpret_cast<const sockaddr*>(&*at), sizeof *at));
  if (!listener_) throw StartError("cannot listen on " + address, errno);
  evconnlistener_set_error_cb(listener_.get(), [](evconnlistener*, void*) {
    LogLine(Level::kWarn) << "admin: cannot accept: " << std::strerror(EVUTIL_SOCKET_ERROR());
  });
}

AdminServer::~AdminServer() {
  callers_.Each([&](std::uint64_t, auto& caller) { loop_.deadlines().Cancel(caller->deadline); });
}

std::uint16_t AdminServer::port() const {
  sockaddr_in at{};
  socklen_t size = sizeof at;
  getsockname(evconnlistener_get_fd(listener_.get()), reinterpret_cast<sockaddr*>(&at), &size);
  return ntohs(at.sin_port);
}

void AdminServer::Accept(evutil_socket_t fd) {
  // Guards against many silent callers that lock out one that sends a request: the oldest connection is
  // closed, and a complete request is answered long before its connection is the oldest.
  if (callers_.size() >= limits_.max_admin_connections && !order_.empty()) Close(order_.front());
  auto owned = std::make_unique<Caller>();
  Caller& caller = *owned;
  caller.door = this;
  caller.buffer.reset(bufferevent_socket_new(loop_.base(), fd, BEV_OPT_CLOSE_ON_FREE));
  if (!caller.buffer) {
    evutil_closesocket(fd);
    return;
  }
  caller.id = callers_.Add(std::move(owned));
  caller.position = order_.insert(order_.end(), caller.id);
  bufferevent_setcb(
      caller.buffer.get(),
      [](bufferevent*, void* p) { static_cast<Caller*>(p)->door->OnRead(*static_cast<Caller*>(p)); },
      [](bufferevent*, void* p) { static_cast<Caller*>(p)->door->OnWritten(*static_cast<Caller*>(p)); },
      [](bufferevent*, short what, void* p) {
        auto* at = static_cast<Caller*>(p);
        if (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) at->door->Close(at->id);
      },
      &caller);
  bufferevent_setwatermark(caller.buffer.get(), EV_READ, 0, bounds_.head + bounds_.body + 8);
  bufferevent_enable(caller.buffer.get(), EV_READ | EV_WRITE);
  caller.deadline = loop_.deadlines().Set(loop_.Now() + limits_.admin_call_timeout,
                                          [this, id = caller.id] { OnTimeout(id); });
}

void AdminServer::OnRead(Caller& caller) {
  evbuffer* in = bufferevent_get_input(caller.buffer.get());
  if (caller.answered) {
    evbuffer_drain(in, evbuffer_get_length(in));
    return;
  }
  std::size_t used = 0;
  AdminRequest call;
  switch (ParseAdminRequest(ContiguousInput(caller.buffer.get()), bounds_, used, call)) {
    case Parsed::kMore:
      return;
    case Parsed::kBad:
      LogLine(Level::kDebug) << "admin: bad request: " << call.error;
      return Respond(caller, call.status, call.error + "\n", "text/plain");
    case Parsed::kDone:
      break;
  }
  evbuffer_drain(in, evbuffer_get_length(in));
  const CallAnswer answer = AnswerCall(call.method, call.path, router_);
  LogLine(answer.status < 300 || call.path == "/v1/metrics" || call.path == "/v1/readyz" ? Level::kDebug
                                                                                         : Level::kInfo)
      << "admin: " << call.method << ' ' << call.path << ' ' << answer.status;
  if (!answer.wait_until_stored) return Respond(caller, answer.status, answer.body, answer.type);
  // The answer states whether the change was stored. The loop does not wait for the disk.
  caller.answered = true;
  loop_.deadlines().Cancel(caller.deadline);
  caller.deadline = {};
  router_.WhenStored([this, id = caller.id, answer](const std::string& why) {
    auto* found = callers_.Find(id);
    if (found != nullptr) Respond(**found, answer.status, WithStoreError(answer.body, why), answer.type);
  });
}

void AdminServer::Respond(Caller& caller, int status, const std::string& body, const std::string& type) {
  caller.answered = true;
  const std::string text = FormatAdminAnswer(status, body, type);
  bufferevent_write(caller.buffer.get(), text.data(), text.size());
  // Further input is read and discarded, so that closing does not send a reset that could destroy the
  // answer. A caller that does not receive the answer is closed after Limits::admin_close_timeout.
  loop_.deadlines().Cancel(caller.deadline);
  caller.deadline = loop_.deadlines().Set(loop_.Now() + limits_.admin_close_timeout,
                                          [this, id = caller.id] { Close(id); });
}

void AdminServer::OnWritten(Caller& caller) {
  if (!caller.answered) return;
  ::shutdown(bufferevent_getfd(caller.buffer.get()), SHUT_WR);
}

void AdminServer::OnTimeout(std::uint64_t id) {
  auto* found = callers_.Find(id);
  if (found == nullptr) return;
  Caller& caller = **found;
  caller.deadline = {};
  Respond(caller, 400, "call not whole in time\n", "text/plain");
}

void AdminServer::Close(std::uint64_t id) {
  auto* found = callers_.Find(id);
  if (found == nullptr) return;
  const std::unique_ptr<Caller> caller = std::move(*found);
  callers_.Remove(id);
  order_.erase(caller->position);
  loop_.deadlines().Cancel(caller->deadline);
}

}  // namespace brasswood
