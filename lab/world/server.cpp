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
  port_holder_ = BoundSocket(-1);
  sockaddr_in at{};
  socklen_t size = sizeof at;
  ::getsockname(port_holder_, reinterpret_cast<sockaddr*>(&at), &size);
  port_ = ntohs(at.sin_port);
  shared_listener_.server = this;
  OpenListener(shared_listener_);
}

Server::~Server() {
  CloseListener(shared_listener_);
  for (auto& [router, router_link] : router_links_) {
    if (router_link.listener) CloseListener(*router_link.listener);
  }
  ::close(port_holder_);
}

std::string Server::EndpointOf(std::uint16_t port, int router) {
  const std::uint32_t a = AddressFor(router);
  return "127." + std::to_string(a >> 16 & 255) + ".1." + std::to_string(a & 255) + ":" +
         std::to_string(port);
}

int Server::BoundSocket(int router) const {
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

void Server::OpenListener(Listener& listener) {
  listener.fd = BoundSocket(listener.router);
  if (::listen(listener.fd, kBacklog) != 0) {
    throw std::runtime_error(std::string("the emulator cannot listen: ") + std::strerror(errno));
  }
  listener.event.reset(event_new(
      loop_.base(), listener.fd, EV_READ | EV_PERSIST,
      [](evutil_socket_t, short, void* p) {
        auto* l = static_cast<Listener*>(p);
        l->server->Accept(*l);
      },
      &listener));
  event_add(listener.event.get(), nullptr);
}

void Server::CloseListener(Listener& listener) {
  listener.event.reset();
  for (const int fd : listener.fillers) ::close(fd);
  listener.fillers.clear();
  if (listener.fd >= 0) ::close(listener.fd);
  listener.fd = -1;
}

// Makes new connections fail as on a cut network. Loopback loses no packets, but the kernel drops SYN
// packets while the accept queue is full: the queue is made as short as possible and filled.
void Server::BlockConnections(Listener& listener) {
  Accept(listener);  // connections that were established before the cut stay
  event_del(listener.event.get());
  ::listen(listener.fd, 0);
  const sockaddr_in to = *ParseAddress(endpoint(listener.router < 0 ? 0 : listener.router));
  for (int i = 0; i < 2; ++i) {
    const int fd = Socket();
    (void)!::connect(fd, reinterpret_cast<const sockaddr*>(&to), sizeof to);
    listener.fillers.push_back(fd);
  }
}

Link Server::link(int router) const {
  const auto it = router_links_.find(router);
  return it == router_links_.end() ? shared_link_ : it->second.link;
}

bool Server::IsReadable(const Peer& peer) const {
  const Link now = link(peer.router);
  return !peer.stalled && (now == Link::kUp || now == Link::kAnswersLost);
}

void Server::SetLinkFault(int router, const LinkFault& fault) { link_faults_[router] = fault; }

// Sets the links of all routers, also of those whose state differed until now.
void Server::SetLinks(Link link) {
  while (!router_links_.empty()) SetLink(router_links_.begin()->first, shared_link_);
  if (shared_link_ == link) return;
  const Link before = std::exchange(shared_link_, link);
  SetListener(shared_listener_, before, link);
  ApplyToPeers(-1, before, link);
}

void Server::SetLink(int router, Link link) {
  const Link before = this->link(router);
  if (before == link) return;
  const auto it = router_links_.find(router);
  if (link == shared_link_ && it != router_links_.end()) {
    if (it->second.listener) CloseListener(*it->second.listener);
    router_links_.erase(it);
  } else {
    RouterLink& router_link = router_links_[router];
    router_link.link = link;
    if (!router_link.listener) {
      router_link.listener = std::make_unique<Listener>();
      router_link.listener->server = this;
      router_link.listener->router = router;
      if (link != Link::kRefused) OpenListener(*router_link.listener);
      // No new connection is established over a link that is cut, one way or both.
      if (link == Link::kSilent || link == Link::kAnswersLost) BlockConnections(*router_link.listener);
    } else {
      SetListener(*router_link.listener, before, link);
    }
  }
  ApplyToPeers(router, before, link);
}

// Applies the new state to a listener. A link that is cut, one way or both, establishes no connection.
void Server::SetListener(Listener& listener, Link before, Link link) {
  const bool open = link == Link::kUp;
  const bool was_cut = before == Link::kSilent || before == Link::kAnswersLost;
  if (link == Link::kRefused) return CloseListener(listener);
  if (before == Link::kRefused) OpenListener(listener);
  if (open && was_cut) {
    for (const int fd : listener.fillers) ::close(fd);
    listener.fillers.clear();
    ::listen(listener.fd, kBacklog);
    event_add(listener.event.get(), nullptr);
  }
  if (!open && !was_cut) BlockConnections(listener);
}

// Applies the new state to the connections of that router, or of all routers if it is below 0.
void Server::ApplyToPeers(int router, Link before, Link link) {
  std::vector<std::uint64_t> affected;
  peers_.Each([&](std::uint64_t id, auto& p) {
    if (router < 0 || p->router == router) affected.push_back(id);
  });
  for (const std::uint64_t id : affected) {
    auto* found = peers_.Find(id);
    if (found == nullptr) continue;
    Peer& peer = **found;
    if (link == Link::kRefused) {
      Close(peer, true);
      continue;
    }
    if (before == Link::kSilent && ClosedByRouter(peer)) {
      // The router gave up during the cut: what it sent in that time counts as never received.
      Close(peer, false);
      continue;
    }
    if (IsReadable(peer)) {
      bufferevent_enable(peer.buffer.get(), EV_READ);
    } else {
      bufferevent_disable(peer.buffer.get(), EV_READ);
    }
    if (link == Link::kUp) Write(peer, std::exchange(peer.unsent, {}));
  }
}

void Server::Accept(Listener& listener) {
  for (int i = 0; i < 256; ++i) {
    sockaddr_in to{};
    socklen_t size = sizeof to;
    const int fd = ::accept4(listener.fd, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
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
          static_cast<Peer*>(p)->server->Close(*static_cast<Peer*>(p), false);
        },
        &peer);
    bufferevent_enable(peer.buffer.get(), IsReadable(peer) ? EV_READ | EV_WRITE : EV_WRITE);
    OnConnected(peer);
  }
}

void Server::ReadFrom(Peer& peer) {
  // Guards against starting work for a command that its router has given up: a connection that waited in
  // the accept queue, or behind a cut, may hold both the command and its close.
  if (ClosedByRouter(peer)) return Close(peer, false);
  if (peer.first_byte == Time(0)) peer.first_byte = LastByteArrival(peer);
  const std::uint64_t id = peer.id;
  OnData(peer);
  auto* found = peers_.Find(id);
  if (found == nullptr) return;
  // Bytes that are left over belong to a message whose first byte arrived just now.
  const bool more = evbuffer_get_length(bufferevent_get_input((*found)->buffer.get())) != 0;
  if (!more) (*found)->first_byte = Time(0);
}

// Guards against blaming the router for a delay of the emulator: bytes that were sent before the link was
// cut, or before the connection was accepted, are read long after the router sent them.
Time Server::LastByteArrival(const Peer& peer) const {
  tcp_info info{};
  socklen_t size = sizeof info;
  const bool known =
      ::getsockopt(bufferevent_getfd(peer.buffer.get()), IPPROTO_TCP, TCP_INFO, &info, &size) == 0;
  return loop_.Now() - std::chrono::milliseconds(known ? info.tcpi_last_data_recv : 0);
}

bool Server::TakeRequest(std::uint64_t id, HttpRequest& request) {
  Peer* peer = FindPeer(id);
  if (peer == nullptr) return false;
  std::size_t used = 0;
  const Parsed got = ParseHttpRequest(ContiguousInput(peer->buffer.get()), used, request);
  if (got == Parsed::kBad) Close(*peer, false);
  if (got != Parsed::kDone) return false;
  evbuffer_drain(bufferevent_get_input(peer->buffer.get()), used);
  return true;
}

Server::Peer* Server::FindPeer(std::uint64_t id) {
  auto* found = peers_.Find(id);
  return found == nullptr ? nullptr : found->get();
}

void Server::Write(Peer& peer, std::string_view text) {
  if (text.empty()) return;
  if (link(peer.router) != Link::kUp || peer.stalled) {
    peer.unsent += text;
    return;
  }
  const auto it = link_faults_.find(peer.router);
  if (it == link_faults_.end()) {
    bufferevent_write(peer.buffer.get(), text.data(), text.size());
    return;
  }
  const LinkFault& fault = it->second;
  if (Chance(rng_, fault.lossy)) {
    peer.unsent += text;
    return LoseConnection(peer);
  }
  const Duration more(static_cast<std::int64_t>(static_cast<double>(fault.jitter.count()) * Unit(rng_)));
  // Keeps the order: an answer never arrives before the one written earlier.
  peer.last_arrival = std::max(peer.last_arrival, loop_.Now() + fault.delay + more);
  loop_.deadlines().Set(peer.last_arrival, [this, id = peer.id, late = std::string(text)] {
    Peer* at = FindPeer(id);
    if (at == nullptr) return;
    if (link(at->router) != Link::kUp || at->stalled) {
      at->unsent += late;
    } else {
      bufferevent_write(at->buffer.get(), late.data(), late.size());
    }
  });
}

// A lossy link drops this connection: half of them are reset, the others become silent.
void Server::LoseConnection(Peer& peer) {
  peer.stalled = true;
  bufferevent_disable(peer.buffer.get(), EV_READ);
  if (!Chance(rng_, 0.5)) return;
  loop_.deadlines().Set(Time(0), [this, id = peer.id] {
    if (Peer* at = FindPeer(id)) Close(*at, true);
  });
}

void Server::QueueAnswer(Peer& peer, std::size_t attempt, std::string text) {
  for (PendingAnswer& e : peer.pending) {
    if (e.attempt != attempt || e.answered) continue;
    e.answered = true;
    e.text = std::move(text);
    break;
  }
  while (!peer.pending.empty() && peer.pending.front().answered) {
    Write(peer, peer.pending.front().text);
    peer.pending.pop_front();
  }
}

void Server::Close(Peer& peer, bool reset) {
  auto* found = peers_.Find(peer.id);
  if (found == nullptr) return;
  const std::unique_ptr<Peer> gone = std::move(*found);
  peers_.Remove(gone->id);
  if (reset) ResetOnClose(bufferevent_getfd(gone->buffer.get()));
  OnClosed(*gone, reset);
}

bool Server::ClosedByRouter(const Peer& peer) {
  pollfd p{bufferevent_getfd(peer.buffer.get()), POLLRDHUP, 0};
  return ::poll(&p, 1, 0) == 1 && (p.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

}  // namespace brasswood::lab
