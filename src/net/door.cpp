#include "net/door.h"

#include <netinet/in.h>
#include <sys/socket.h>

#include <cerrno>
#include <cstring>
#include <stdexcept>

#include "base/log.h"
#include "net/startup.h"
#include "protocol/address.h"

namespace brasswood {

Door::Door(Loop& loop, const Limits& limits, const std::string& address, Operations& router)
    : loop_(loop), limits_(limits), router_(router), listener_(nullptr, evconnlistener_free) {
  const auto at = ParseAddress(address);
  if (!at) throw std::runtime_error("not an address for the door: " + address);
  listener_.reset(evconnlistener_new_bind(
      loop_.base(),
      [](evconnlistener*, evutil_socket_t fd, sockaddr*, int, void* self) {
        static_cast<Door*>(self)->Accept(fd);
      },
      this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC, 64,
      reinterpret_cast<const sockaddr*>(&*at), sizeof *at));
  if (!listener_) throw StartError("cannot listen on " + address, errno);
  evconnlistener_set_error_cb(listener_.get(), [](evconnlistener*, void*) {
    LogLine(Level::kWarn) << "door: cannot accept: " << std::strerror(EVUTIL_SOCKET_ERROR());
  });
}

Door::~Door() {
  callers_.Each([&](std::uint64_t, auto& c) { loop_.deadlines().Drop(c->deadline); });
}

std::uint16_t Door::port() const {
  sockaddr_in at{};
  socklen_t size = sizeof at;
  getsockname(evconnlistener_get_fd(listener_.get()), reinterpret_cast<sockaddr*>(&at), &size);
  return ntohs(at.sin_port);
}

void Door::Accept(evutil_socket_t fd) {
  // Guards against a crowd of silent callers shutting out the one that speaks: the oldest goes, and a call
  // that is sent whole is answered long before it would be the oldest.
  if (callers_.size() >= limits_.door_callers && !order_.empty()) Close(order_.front());
  auto owned = std::make_unique<Caller>();
  Caller& c = *owned;
  c.door = this;
  c.buffer.reset(bufferevent_socket_new(loop_.base(), fd, BEV_OPT_CLOSE_ON_FREE));
  if (!c.buffer) {
    evutil_closesocket(fd);
    return;
  }
  c.id = callers_.Add(std::move(owned));
  c.place = order_.insert(order_.end(), c.id);
  bufferevent_setcb(
      c.buffer.get(),
      [](bufferevent*, void* p) { static_cast<Caller*>(p)->door->Read(*static_cast<Caller*>(p)); },
      [](bufferevent*, void* p) { static_cast<Caller*>(p)->door->Written(*static_cast<Caller*>(p)); },
      [](bufferevent*, short what, void* p) {
        auto* at = static_cast<Caller*>(p);
        if (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) at->door->Close(at->id);
      },
      &c);
  bufferevent_setwatermark(c.buffer.get(), EV_READ, 0, bounds_.head + bounds_.body + 8);
  bufferevent_enable(c.buffer.get(), EV_READ | EV_WRITE);
  c.deadline = loop_.deadlines().Set(loop_.Now() + limits_.door_call, [this, id = c.id] { Expire(id); });
}

void Door::Read(Caller& c) {
  evbuffer* in = bufferevent_get_input(c.buffer.get());
  if (c.answered) {
    evbuffer_drain(in, evbuffer_get_length(in));
    return;
  }
  std::size_t used = 0;
  DoorCall call;
  switch (ParseDoorCall(Gathered(c.buffer.get()), bounds_, used, call)) {
    case Parsed::kMore:
      return;
    case Parsed::kBad:
      LogLine(Level::kDebug) << "door: bad call: " << call.error;
      return Respond(c, call.status, call.error + "\n", "text/plain");
    case Parsed::kDone:
      break;
  }
  evbuffer_drain(in, evbuffer_get_length(in));
  const CallAnswer answer = AnswerCall(call.method, call.path, router_);
  LogLine(answer.status < 300 || call.path == "/v1/metrics" || call.path == "/v1/readyz" ? Level::kDebug
                                                                                         : Level::kInfo)
      << "door: " << call.method << ' ' << call.path << ' ' << answer.status;
  if (!answer.kept) return Respond(c, answer.status, answer.body, answer.type);
  // The disk has the word now, and the loop does not wait for it.
  c.answered = true;
  loop_.deadlines().Drop(c.deadline);
  c.deadline = {};
  router_.WhenKept([this, id = c.id, answer](const std::string& why) {
    auto* held = callers_.Find(id);
    if (held != nullptr) Respond(**held, answer.status, HeldOnly(answer.body, why), answer.type);
  });
}

void Door::Respond(Caller& c, int status, const std::string& body, const std::string& type) {
  c.answered = true;
  const std::string text = FormatAdminAnswer(status, body, type);
  bufferevent_write(c.buffer.get(), text.data(), text.size());
  // What the caller still sends is read and thrown away, so that closing sends no reset that could
  // destroy the answer; a caller that does not take it goes at the linger's end.
  loop_.deadlines().Drop(c.deadline);
  c.deadline = loop_.deadlines().Set(loop_.Now() + limits_.door_linger, [this, id = c.id] { Close(id); });
}

void Door::Written(Caller& c) {
  if (!c.answered) return;
  ::shutdown(bufferevent_getfd(c.buffer.get()), SHUT_WR);
}

void Door::Expire(std::uint64_t id) {
  auto* held = callers_.Find(id);
  if (held == nullptr) return;
  Caller& c = **held;
  c.deadline = {};
  Respond(c, 400, "call not whole in time\n", "text/plain");
}

void Door::Close(std::uint64_t id) {
  auto* held = callers_.Find(id);
  if (held == nullptr) return;
  const std::unique_ptr<Caller> c = std::move(*held);
  callers_.Remove(id);
  order_.erase(c->place);
  loop_.deadlines().Drop(c->deadline);
}

}  // namespace brasswood
