// A party of the emulated platform on loopback sockets: a cache server, the origin or discovery. Each
// router reaches it at an address of its own, so that it knows who speaks and can be cut off from one of
// them alone. Subclasses read and write; the state of each link (up, refused, silent) is kept here.
//
// One listener serves all routers: it is bound to every address of the loopback device and to nothing else,
// and the address that a connection came to names its router. (A listener for each pair of a server and a
// router grows with their product: 100,000 sockets at 512 routers and 200 nodes.) A link that differs from
// the others' gets a listener of its own for as long as it does; the kernel prefers it as the closer match.
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
  kRefused,  // as of a process that is gone: connections reset, new ones refused
  kSilent,   // as of a cut network: nothing is read or written, new connections never come up
  kDeaf      // cut one way: what comes is read, what is written and what answers a connection is lost
};

// What ails a link that is up.
struct LinkTrouble {
  Duration delay{0}, jitter{0};  // added to each answer: at least `delay`, at most `jitter` more
  double lossy = 0;              // share of the answers with which the connection is reset or falls silent
};

class Server {
 public:
  // A router's address is AddressFor(router), the same at every server; the port, the system's pick, tells
  // the servers apart. Throws std::runtime_error where it cannot listen.
  Server(Loop& loop, int routers, std::uint64_t seed);
  virtual ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  static constexpr int kMostRouters = 512;
  static std::string EndpointOf(std::uint16_t port, int router);
  std::uint16_t port() const { return port_; }
  std::string endpoint(int router) const { return EndpointOf(port_, router); }
  void SetLink(int router, Link link);
  void SetLinks(Link link);
  Link link(int router) const;
  void SetTrouble(int router, const LinkTrouble& trouble);
  std::size_t listeners() const { return 1 + doors_.size(); }
  std::size_t peers() const { return peers_.size(); }

 protected:
  struct Exchange {           // an attempt whose answer is owed, in the order of the connection
    std::size_t attempt = 0;  // its place among the truth's attempts
    bool answered = false;
    std::string text;
  };
  struct Peer {
    std::uint64_t id = 0;
    int router = 0;
    BufferPtr buffer;
    Time first{0};         // when the first byte of the message being read came; 0: none has
    bool fresh = true;     // has sent no command yet
    bool surplus = false;  // beyond the connections that this server takes
    std::deque<Exchange> owed;
    std::string held;      // written while the link was silent
    bool stalled = false;  // a lossy link has lost it: nothing passes any more
    Time free{0};          // of a slow link: when what was written last arrives
    Server* server = nullptr;
  };

  virtual void OnPeer(Peer&) {}
  virtual void OnBytes(Peer& peer) = 0;
  // Whether what this peer sends is read: a cut one's is not, nor that of one that has gone.
  bool Heard(const Peer& peer) const;
  // The peer is gone, for `reset` by this side's doing. Its exchanges are still there.
  virtual void OnGone(Peer&, bool /*reset*/) {}

  // The next HTTP request that the peer has sent whole, if there is one. Breaks with a peer that sends
  // something else.
  bool TakeRequest(std::uint64_t peer, HttpRequest& request);

  Peer* FindPeer(std::uint64_t id);
  void Write(Peer& peer, std::string_view text);
  // Puts the answer of that exchange down and writes what is due in order.
  void Answer(Peer& peer, std::size_t attempt, std::string text);
  void Break(Peer& peer, bool reset);
  // Has the router closed its side, read or not?
  static bool ClosedByRouter(const Peer& peer);
  Loop& loop() { return loop_; }

 private:
  struct Listener {
    Server* server = nullptr;
    int router = -1;  // of one router alone; -1: of all that have none of their own
    int fd = -1;
    EventPtr event;
    std::vector<int> fillers;  // own connections that fill the kernel's queue while silent
  };
  int Bound(int router) const;
  void Open(Listener& at);
  void Shut(Listener& at);
  void Silence(Listener& at);
  void Set(Listener& at, Link before, Link link);
  void SetPeers(int router, Link before, Link link);
  void Accept(Listener& at);
  void ReadFrom(Peer& peer);
  Time LastByteCame(const Peer& peer) const;
  void Lose(Peer& peer);

  Loop& loop_;
  int routers_;
  std::uint16_t port_ = 0;
  int reserve_ = -1;  // bound and never listening: the port stays this server's while it refuses
  Listener all_;
  Link all_link_ = Link::kUp;
  struct Door {  // of a router whose link differs from the others'
    Link link = Link::kUp;
    std::unique_ptr<Listener> listener;
  };
  std::map<int, Door> doors_;
  std::map<int, LinkTrouble> troubles_;
  Rng rng_;
  Slots<std::unique_ptr<Peer>> peers_;
};

}  // namespace brasswood::lab

#endif  // BRASSWOOD_LAB_WORLD_SERVER_H_
