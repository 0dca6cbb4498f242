#include "lab/world/server.h"

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <unistd.h>

#include <cstring>
#include <stdexcept>

namespace brasswood::lab {
namespace {

constexpr int kBacklog = 1024;

int Socket() { return ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0); }

void ResetOnClose(int fd) {
  const linger hard{1, 0};
  ::setsockopt(fd, SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
}

}  // namespace

Server::Server(Loop& loop, int number, int routers)
    : loop_(loop), doors_(static_cast<std::size_t>(routers)) {
  for (int r = 0; r < routers; ++r) {
    Door& door = doors_[static_cast<std::size_t>(r)];
    door.server = this;
    door.router = r;
    door.address.sin_family = AF_INET;
    const std::uint32_t n = static_cast<std::uint32_t>(number);
    door.address.sin_addr.s_addr =
        htonl(127u << 24 | (20u + static_cast<std::uint32_t>(r)) << 16 | (n / 250) << 8 | (1 + n % 250));
    Open(door);
    char text[INET_ADDRSTRLEN];
    ::inet_ntop(AF_INET, &door.address.sin_addr, text, sizeof text);
    door.endpoint = std::string(text) + ":" + std::to_string(ntohs(door.address.sin_port));
  }
}

Server::~Server() {
  for (Door& door : doors_) Shut(door);
}

void Server::Open(Door& door) {
  door.fd = Socket();
  const int on = 1;
  ::setsockopt(door.fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  socklen_t size = sizeof door.address;
  if (door.fd < 0 || ::bind(door.fd, reinterpret_cast<sockaddr*>(&door.address), size) != 0 ||
      ::listen(door.fd, kBacklog) != 0) {
    throw std::runtime_error(std::string("the emulator cannot listen: ") + std::strerror(errno));
  }
  ::getsockname(door.fd, reinterpret_cast<sockaddr*>(&door.address), &size);
  door.event.reset(event_new(
      loop_.base(), door.fd, EV_READ | EV_PERSIST,
      [](evutil_socket_t, short, void* p) {
        auto* at = static_cast<Door*>(p);
        at->server->Accept(*at);
      },
      &door));
  event_add(door.event.get(), nullptr);
}

void Server::Shut(Door& door) {
  door.event.reset();
  for (const int fd : door.fillers) ::close(fd);
  door.fillers.clear();
  if (door.fd >= 0) ::close(door.fd);
  door.fd = -1;
}

// Nothing on loopback loses packets, but a full queue of the kernel drops what asks to connect, which is
// what a cut network looks like from outside: the queue is made as short as can be and filled.
void Server::Silence(Door& door) {
  event_del(door.event.get());
  ::listen(door.fd, 0);
  for (int i = 0; i < 2; ++i) {
    const int fd = Socket();
    (void)!::connect(fd, reinterpret_cast<const sockaddr*>(&door.address), sizeof door.address);
    door.fillers.push_back(fd);
  }
}

void Server::SetLinks(Link link) {
  for (std::size_t r = 0; r < doors_.size(); ++r) SetLink(static_cast<int>(r), link);
}

void Server::SetLink(int router, Link link) {
  Door& door = doors_[static_cast<std::size_t>(router)];
  if (door.link == link) return;
  const Link before = std::exchange(door.link, link);
  std::vector<std::uint64_t> here;
  peers_.Each([&](std::uint64_t id, auto& p) {
    if (p->router == router) here.push_back(id);
  });
  if (before == Link::kSilent) {
    for (const int fd : door.fillers) ::close(fd);
    door.fillers.clear();
    for (const std::uint64_t id : here) {
      Peer& peer = **peers_.Find(id);
      // What came while the network was cut and was then given up never arrived.
      if (link == Link::kUp && ClosedByRouter(peer)) {
        Break(peer, false);
      } else if (link == Link::kUp) {
        bufferevent_enable(peer.buffer.get(), EV_READ);
        Write(peer, std::exchange(peer.held, {}));
      }
    }
  }
  switch (link) {
    case Link::kUp:
      if (before == Link::kRefused) {
        Open(door);
      } else {
        ::listen(door.fd, kBacklog);
        event_add(door.event.get(), nullptr);
      }
      break;
    case Link::kRefused:
      Shut(door);
      for (const std::uint64_t id : here) {
        if (auto* peer = peers_.Find(id)) Break(**peer, true);
      }
      break;
    case Link::kSilent:
      if (before == Link::kRefused) Open(door);
      Silence(door);
      for (const std::uint64_t id : here) {
        if (auto* peer = peers_.Find(id)) bufferevent_disable((*peer)->buffer.get(), EV_READ);
      }
      break;
  }
}

void Server::Accept(Door& door) {
  for (int i = 0; i < 64; ++i) {
    const int fd = ::accept4(door.fd, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd < 0) return;
    const int on = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    auto owned = std::make_unique<Peer>();
    Peer& peer = *owned;
    peer.server = this;
    peer.router = door.router;
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
    bufferevent_enable(peer.buffer.get(), EV_READ | EV_WRITE);
    OnPeer(peer);
  }
}

void Server::ReadFrom(Peer& peer) {
  if (peer.first == Time(0)) peer.first = loop_.Now();
  const std::uint64_t id = peer.id;
  OnBytes(peer);
  auto* held = peers_.Find(id);
  if (held == nullptr) return;
  // What is left over began to come just now.
  const bool more = evbuffer_get_length(bufferevent_get_input((*held)->buffer.get())) != 0;
  if (!more) (*held)->first = Time(0);
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
  if (doors_[static_cast<std::size_t>(peer.router)].link == Link::kSilent) {
    peer.held += text;
  } else if (!text.empty()) {
    bufferevent_write(peer.buffer.get(), text.data(), text.size());
  }
}

void Server::Answer(Peer& peer, std::size_t claim, std::string text) {
  for (Exchange& e : peer.owed) {
    if (e.claim != claim || e.answered) continue;
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
