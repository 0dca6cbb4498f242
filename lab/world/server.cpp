#include "lab/world/server.h"

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <unistd.h>

#include <cstring>
#include <stdexcept>
#include <utility>

#include "protocol/address.h"

namespace brasswood::lab {
namespace {

constexpr int kBacklog = 1024;

int Socket() { return ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0); }

void ResetOnClose(int fd) {
  const linger hard{1, 0};
  ::setsockopt(fd, SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
}

constexpr int kRoutersPerNet = 250;  // addresses are 127.(20 + router / 250).1.(1 + router % 250)

std::uint32_t AddressFor(int router) {
  const auto r = static_cast<std::uint32_t>(router);
  return 127u << 24 | (20 + r / kRoutersPerNet) << 16 | 1u << 8 | (1 + r % kRoutersPerNet);
}
int RouterAt(std::uint32_t address) {
  return static_cast<int>(((address >> 16 & 255) - 20) * kRoutersPerNet + (address & 255) - 1);
}

}  // namespace

Server::Server(Loop& loop, int routers, std::uint64_t seed)
    : loop_(loop), routers_(routers), rng_(MakeRng(seed, Stream::kFaults)) {
  reserve_ = Bound(-1);
  sockaddr_in at{};
  socklen_t size = sizeof at;
  ::getsockname(reserve_, reinterpret_cast<sockaddr*>(&at), &size);
  port_ = ntohs(at.sin_port);
  all_.server = this;
  Open(all_);
}

Server::~Server() {
  Shut(all_);
  for (auto& [router, door] : doors_) {
    if (door.listener) Shut(*door.listener);
  }
  ::close(reserve_);
}

std::string Server::EndpointOf(std::uint16_t port, int router) {
  const std::uint32_t a = AddressFor(router);
  return "127." + std::to_string(a >> 16 & 255) + ".1." + std::to_string(a & 255) + ":" +
         std::to_string(port);
}

int Server::Bound(int router) const {
  const int fd = Socket();
  const int on = 1;
  ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  ::setsockopt(fd, SOL_SOCKET, SO_REUSEPORT, &on, sizeof on);
  constexpr char kDevice[] = "lo";
  sockaddr_in at{};
  at.sin_family = AF_INET;
  at.sin_port = htons(port_);
  at.sin_addr.s_addr = router < 0 ? htonl(INADDR_ANY) : htonl(AddressFor(router));
  if (fd < 0 || ::setsockopt(fd, SOL_SOCKET, SO_BINDTODEVICE, kDevice, sizeof kDevice) != 0 ||
      ::bind(fd, reinterpret_cast<sockaddr*>(&at), sizeof at) != 0) {
    const std::string why = std::strerror(errno);
    if (fd >= 0) ::close(fd);
    throw std::runtime_error("the emulator cannot bind: " + why);
  }
  return fd;
}

void Server::Open(Listener& at) {
  at.fd = Bound(at.router);
  if (::listen(at.fd, kBacklog) != 0) {
    throw std::runtime_error(std::string("the emulator cannot listen: ") + std::strerror(errno));
  }
  at.event.reset(event_new(
      loop_.base(), at.fd, EV_READ | EV_PERSIST,
      [](evutil_socket_t, short, void* p) {
        auto* l = static_cast<Listener*>(p);
        l->server->Accept(*l);
      },
      &at));
  event_add(at.event.get(), nullptr);
}

void Server::Shut(Listener& at) {
  at.event.reset();
  for (const int fd : at.fillers) ::close(fd);
  at.fillers.clear();
  if (at.fd >= 0) ::close(at.fd);
  at.fd = -1;
}

// Makes new connections fail as on a cut network. Loopback loses no packets, but the kernel drops SYN
// packets while the accept queue is full: the queue is made as short as possible and filled.
void Server::Silence(Listener& at) {
  Accept(at);  // connections that were established before the cut stay
  event_del(at.event.get());
  ::listen(at.fd, 0);
  const sockaddr_in to = *ParseAddress(endpoint(at.router < 0 ? 0 : at.router));
  for (int i = 0; i < 2; ++i) {
    const int fd = Socket();
    (void)!::connect(fd, reinterpret_cast<const sockaddr*>(&to), sizeof to);
    at.fillers.push_back(fd);
  }
}

Link Server::link(int router) const {
  const auto it = doors_.find(router);
  return it == doors_.end() ? all_link_ : it->second.link;
}

bool Server::Heard(const Peer& peer) const {
  const Link now = link(peer.router);
  return !peer.stalled && (now == Link::kUp || now == Link::kDeaf);
}

void Server::SetTrouble(int router, const LinkTrouble& trouble) { troubles_[router] = trouble; }

// Sets the links of all routers, also of those whose state differed until now.
void Server::SetLinks(Link link) {
  while (!doors_.empty()) SetLink(doors_.begin()->first, all_link_);
  if (all_link_ == link) return;
  const Link before = std::exchange(all_link_, link);
  Set(all_, before, link);
  SetPeers(-1, before, link);
}

void Server::SetLink(int router, Link link) {
  const Link before = this->link(router);
  if (before == link) return;
  const auto it = doors_.find(router);
  if (link == all_link_ && it != doors_.end()) {
    if (it->second.listener) Shut(*it->second.listener);
    doors_.erase(it);
  } else {
    Door& door = doors_[router];
    door.link = link;
    if (!door.listener) {
      door.listener = std::make_unique<Listener>();
      door.listener->server = this;
      door.listener->router = router;
      if (link != Link::kRefused) Open(*door.listener);
      // No new connection is established over a link that is cut, one way or both.
      if (link == Link::kSilent || link == Link::kDeaf) Silence(*door.listener);
    } else {
      Set(*door.listener, before, link);
    }
  }
  SetPeers(router, before, link);
}

// Applies the new state to a listener. A link that is cut, one way or both, establishes no connection.
void Server::Set(Listener& at, Link before, Link link) {
  const bool open = link == Link::kUp;
  const bool was_cut = before == Link::kSilent || before == Link::kDeaf;
  if (link == Link::kRefused) return Shut(at);
  if (before == Link::kRefused) Open(at);
  if (open && was_cut) {
    for (const int fd : at.fillers) ::close(fd);
    at.fillers.clear();
    ::listen(at.fd, kBacklog);
    event_add(at.event.get(), nullptr);
  }
  if (!open && !was_cut) Silence(at);
}

// Applies the new state to the connections of that router, or of all routers if it is below 0.
void Server::SetPeers(int router, Link before, Link link) {
  std::vector<std::uint64_t> here;
  peers_.Each([&](std::uint64_t id, auto& p) {
    if (router < 0 || p->router == router) here.push_back(id);
  });
  for (const std::uint64_t id : here) {
    auto* held = peers_.Find(id);
    if (held == nullptr) continue;
    Peer& peer = **held;
    if (link == Link::kRefused) {
      Break(peer, true);
      continue;
    }
    if (before == Link::kSilent && ClosedByRouter(peer)) {
      // The router gave up during the cut: what it sent in that time counts as never received.
      Break(peer, false);
      continue;
    }
    if (Heard(peer)) {
      bufferevent_enable(peer.buffer.get(), EV_READ);
    } else {
      bufferevent_disable(peer.buffer.get(), EV_READ);
    }
    if (link == Link::kUp) Write(peer, std::exchange(peer.held, {}));
  }
}

void Server::Accept(Listener& at) {
  for (int i = 0; i < 256; ++i) {
    sockaddr_in to{};
    socklen_t size = sizeof to;
    const int fd = ::accept4(at.fd, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd < 0) return;
    ::getsockname(fd, reinterpret_cast<sockaddr*>(&to), &size);
    const int router = RouterAt(ntohl(to.sin_addr.s_addr));
    if (router < 0 || router >= routers_ || link(router) == Link::kRefused) {
      ResetOnClose(fd);
      ::close(fd);
      continue;
    }
    const int on = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    auto owned = std::make_unique<Peer>();
    Peer& peer = *owned;
    peer.server = this;
    peer.router = router;
    peer.buffer.reset(bufferevent_socket_new(loop_.base(), fd, BEV_OPT_CLOSE_ON_FREE));
    peer.id = peers_.Add(std::move(owned));
    bufferevent_setcb(
        peer.buffer.get(),
        [](bufferevent*, void* p) { static_cast<Peer*>(p)->server->ReadFrom(*static_cast<Peer*>(p)); },
        nullptr,
        [](bufferevent*, short, void* p) {
          static_cast<Peer*>(p)->server->Break(*static_cast<Peer*>(p), false);
        },
        &peer);
    bufferevent_enable(peer.buffer.get(), Heard(peer) ? EV_READ | EV_WRITE : EV_WRITE);
    OnPeer(peer);
  }
}

void Server::ReadFrom(Peer& peer) {
  // Guards against starting work for a command that its router has given up: a connection that waited in
  // the accept queue, or behind a cut, may hold both the command and its close.
  if (ClosedByRouter(peer)) return Break(peer, false);
  if (peer.first == Time(0)) peer.first = LastByteCame(peer);
  const std::uint64_t id = peer.id;
  OnBytes(peer);
  auto* held = peers_.Find(id);
  if (held == nullptr) return;
  // Bytes that are left over belong to a message whose first byte arrived just now.
  const bool more = evbuffer_get_length(bufferevent_get_input((*held)->buffer.get())) != 0;
  if (!more) (*held)->first = Time(0);
}

// Guards against blaming the router for a delay of the emulator: bytes that were sent before the link was
// cut, or before the connection was accepted, are read long after the router sent them.
Time Server::LastByteCame(const Peer& peer) const {
  tcp_info info{};
  socklen_t size = sizeof info;
  const bool told =
      ::getsockopt(bufferevent_getfd(peer.buffer.get()), IPPROTO_TCP, TCP_INFO, &info, &size) == 0;
  return loop_.Now() - std::chrono::milliseconds(told ? info.tcpi_last_data_recv : 0);
}

bool Server::TakeRequest(std::uint64_t id, HttpRequest& request) {
  Peer* peer = FindPeer(id);
  if (peer == nullptr) return false;
  std::size_t used = 0;
  const Parsed got = ParseHttpRequest(Gathered(peer->buffer.get()), used, request);
  if (got == Parsed::kBad) Break(*peer, false);
  if (got != Parsed::kDone) return false;
  evbuffer_drain(bufferevent_get_input(peer->buffer.get()), used);
  return true;
}

Server::Peer* Server::FindPeer(std::uint64_t id) {
  auto* held = peers_.Find(id);
  return held == nullptr ? nullptr : held->get();
}

void Server::Write(Peer& peer, std::string_view text) {
  if (text.empty()) return;
  if (link(peer.router) != Link::kUp || peer.stalled) {
    peer.held += text;
    return;
  }
  const auto it = troubles_.find(peer.router);
  if (it == troubles_.end()) {
    bufferevent_write(peer.buffer.get(), text.data(), text.size());
    return;
  }
  const LinkTrouble& trouble = it->second;
  if (Chance(rng_, trouble.lossy)) {
    peer.held += text;
    return Lose(peer);
  }
  const Duration more(static_cast<std::int64_t>(static_cast<double>(trouble.jitter.count()) * Unit(rng_)));
  // Keeps the order: an answer never arrives before the one written earlier.
  peer.free = std::max(peer.free, loop_.Now() + trouble.delay + more);
  loop_.deadlines().Set(peer.free, [this, id = peer.id, late = std::string(text)] {
    Peer* at = FindPeer(id);
    if (at == nullptr) return;
    if (link(at->router) != Link::kUp || at->stalled) {
      at->held += late;
    } else {
      bufferevent_write(at->buffer.get(), late.data(), late.size());
    }
  });
}

// A lossy link drops this connection: half of them are reset, the others become silent.
void Server::Lose(Peer& peer) {
  peer.stalled = true;
  bufferevent_disable(peer.buffer.get(), EV_READ);
  if (!Chance(rng_, 0.5)) return;
  loop_.deadlines().Set(Time(0), [this, id = peer.id] {
    if (Peer* at = FindPeer(id)) Break(*at, true);
  });
}

void Server::Answer(Peer& peer, std::size_t attempt, std::string text) {
  for (Exchange& e : peer.owed) {
    if (e.attempt != attempt || e.answered) continue;
    e.answered = true;
    e.text = std::move(text);
    break;
  }
  while (!peer.owed.empty() && peer.owed.front().answered) {
    Write(peer, peer.owed.front().text);
    peer.owed.pop_front();
  }
}

void Server::Break(Peer& peer, bool reset) {
  auto* held = peers_.Find(peer.id);
  if (held == nullptr) return;
  const std::unique_ptr<Peer> gone = std::move(*held);
  peers_.Remove(gone->id);
  if (reset) ResetOnClose(bufferevent_getfd(gone->buffer.get()));
  OnGone(*gone, reset);
}

bool Server::ClosedByRouter(const Peer& peer) {
  pollfd p{bufferevent_getfd(peer.buffer.get()), POLLRDHUP, 0};
  return ::poll(&p, 1, 0) == 1 && (p.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

}  // namespace brasswood::lab
