// Base of the emulated servers on loopback sockets: cache servers, the origin and discovery. Each router
// connects to an address of its own, so that the server knows which router a connection belongs to and can
// be cut off from one router alone. Subclasses read requests and write answers; the state of the link to
// each router (up, refused, silent, ...) is kept here.
//
// One listener serves all routers: it is bound to every address of the loopback device and to nothing else,
// and a connection's destination address tells its router. (One listener for each pair of a server and a
// router would need 100,000 sockets at 512 routers and 200 cache servers.) A link whose state differs from
// the others' has a listener of its own for that time; the kernel prefers it as the more specific match.
#ifndef BRASSWOOD_LAB_WORLD_SERVER_H_
#define BRASSWOOD_LAB_WORLD_SERVER_H_

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "core/slots.h"
#include "lab/base/rng.h"
#include "lab/world/http_request.h"
#include "net/loop.h"

namespace brasswood::lab {

enum class Link {
  kUp,
  kRefused,     // like an ended process: connections are reset, new ones refused
  kSilent,      // like a cut network: nothing is read or written, no new connection is established
  kAnswersLost  // cut one way: requests are read, answers are lost, no new connection is established
};

// Injected faults of a link that is up.
struct LinkFault {
  Duration delay{0}, jitter{0};  // added to each answer: at least `delay`, at most `jitter` more
  double lossy = 0;  // share of the answers that are lost: the connection is reset or becomes silent
};

class Server {
 public:
  // A router's address is AddressFor(router), the same at every server; the port, chosen by the system, is
  // different for each server. Throws std::runtime_error if it cannot listen.
  Server(Loop& loop, int routers, std::uint64_t seed);
  virtual ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  static constexpr int kMaxRouters = 512;
  static std::string EndpointOf(std::uint16_t port, int router);
  std::uint16_t port() const { return port_; }
  std::string endpoint(int router) const { return EndpointOf(port_, router); }
  void SetLink(int router, Link link);
  void SetLinks(Link link);
  Link link(int router) const;
  void SetLinkFault(int router, const LinkFault& fault);
  std::size_t listeners() const { return 1 + router_links_.size(); }
  std::size_t peers() const { return peers_.size(); }

 protected:
  struct PendingAnswer {      // an attempt whose answer has not been written yet
    std::size_t attempt = 0;  // index in WorldRecord::attempts
    bool answered = false;
    std::string text;
  };
  struct Peer {
    std::uint64_t id = 0;
    int router = 0;
    BufferPtr buffer;
    Time first_byte{0};       // when the first byte of the message being read arrived; 0: no byte yet
    bool fresh = true;        // has sent no command yet
    bool over_limit = false;  // beyond the number of connections that this server accepts
    std::deque<PendingAnswer> pending;  // in the order of the requests on the connection
    std::string unsent;                 // written while the link was cut; sent when it is up again
    bool stalled = false;               // lost by a lossy link: nothing passes any more
    Time last_arrival{0};               // on a slow link: when the latest answer arrives
    Server* server = nullptr;
  };

  virtual void OnConnected(Peer&) {}
  virtual void OnData(Peer& peer) = 0;
  // Whether data from this peer is read: not while its link is silent or refused, nor once a lossy link has
  // lost its connection.
  bool IsReadable(const Peer& peer) const;
  // The connection has ended; `reset`: this side reset it. The peer's pending answers are still there.
  virtual void OnClosed(Peer&, bool /*reset*/) {}

  // Takes the next complete HTTP request that the peer has sent, if there is one. Closes the connection if
  // it sends anything else.
  bool TakeRequest(std::uint64_t peer, HttpRequest& request);

  Peer* FindPeer(std::uint64_t id);
  void Write(Peer& peer, std::string_view text);
  // Stores the answer of that attempt, and writes every answer whose turn it is.
  void QueueAnswer(Peer& peer, std::size_t attempt, std::string text);
  void Close(Peer& peer, bool reset);
  // Whether the router has closed its side, even if unread bytes are waiting.
  static bool ClosedByRouter(const Peer& peer);
  Loop& loop() { return loop_; }

 private:
  struct Listener {
    Server* server = nullptr;
    int router = -1;  // the only router it serves; -1: all that have no listener of their own
    int fd = -1;
    EventPtr event;
    std::vector<int> fillers;  // connections to itself that fill the accept queue while the link is cut
  };
  int BoundSocket(int router) const;
  void OpenListener(Listener& listener);
  void CloseListener(Listener& listener);
  void BlockConnections(Listener& listener);
  void SetListener(Listener& listener, Link before, Link link);
  void ApplyToPeers(int router, Link before, Link link);
  void Accept(Listener& listener);
  void ReadFrom(Peer& peer);
  Time LastByteArrival(const Peer& peer) const;
  void LoseConnection(Peer& peer);

  Loop& loop_;
  int routers_;
  std::uint16_t port_ = 0;
  int port_holder_ = -1;  // bound and never listening: reserves the port while the listener is closed
  Listener shared_listener_;
  Link shared_link_ = Link::kUp;
  struct RouterLink {  // the link of a router that differs from the others'
    Link link = Link::kUp;
    std::unique_ptr<Listener> listener;
  };
  std::map<int, RouterLink> router_links_;
  std::map<int, LinkFault> link_faults_;
  Rng rng_;
  Slots<std::unique_ptr<Peer>> peers_;
};

}  // namespace brasswood::lab

#endif  // BRASSWOOD_LAB_WORLD_SERVER_H_
