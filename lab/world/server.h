// A party of the emulated platform on loopback sockets: an execute node, the origin or discovery. It
// listens at one address for each router, so that it knows who speaks and can be cut off from one of them
// alone. Subclasses read and write; the state of each link (up, refused, silent) is kept here.
#ifndef BRASSWOOD_LAB_WORLD_SERVER_H_
#define BRASSWOOD_LAB_WORLD_SERVER_H_

#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "core/slots.h"
#include "lab/world/http_request.h"
#include "net/loop.h"

namespace brasswood::lab {

enum class Link {
  kUp,
  kRefused,  // as of a process that is gone: connections reset, new ones refused
  kSilent    // as of a cut network: nothing is read or written, new connections never come up
};

class Server {
 public:
  // Addresses are 127.(20 + router).(number / 250).(1 + number % 250), at ports that the system picks.
  // Throws std::runtime_error where it cannot listen.
  Server(Loop& loop, int number, int routers);
  virtual ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  const std::string& endpoint(int router) const {
    return doors_[static_cast<std::size_t>(router)].endpoint;
  }
  void SetLink(int router, Link link);
  void SetLinks(Link link);
  std::size_t peers() const { return peers_.size(); }

 protected:
  struct Exchange {         // a claim whose answer is owed, in the order of the connection
    std::size_t claim = 0;  // its place among the truth's claims
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
    std::string held;  // written while the link was silent
    Server* server = nullptr;
  };

  virtual void OnPeer(Peer&) {}
  virtual void OnBytes(Peer& peer) = 0;
  // The peer is gone, for `reset` by this side's doing. Its exchanges are still there.
  virtual void OnGone(Peer&, bool /*reset*/) {}

  // The next HTTP request that the peer has sent whole, if there is one. Breaks with a peer that sends
  // something else.
  bool TakeRequest(std::uint64_t peer, HttpRequest& request);

  Peer* FindPeer(std::uint64_t id);
  void Write(Peer& peer, std::string_view text);
  // Puts the answer of that exchange down and writes what is due in order.
  void Answer(Peer& peer, std::size_t claim, std::string text);
  void Break(Peer& peer, bool reset);
  // Has the router closed its side, read or not?
  static bool ClosedByRouter(const Peer& peer);
  Loop& loop() { return loop_; }

 private:
  struct Door {  // for one router
    std::string endpoint;
    sockaddr_in address{};
    int fd = -1;
    EventPtr event;
    Link link = Link::kUp;
    std::vector<int> fillers;  // own connections that fill the kernel's queue while silent
    Server* server = nullptr;
    int router = 0;
  };
  void Open(Door& door);
  void Shut(Door& door);
  void Silence(Door& door);
  void Accept(Door& door);
  void ReadFrom(Peer& peer);

  Loop& loop_;
  std::vector<Door> doors_;
  Slots<std::unique_ptr<Peer>> peers_;
};

}  // namespace brasswood::lab

#endif  // BRASSWOOD_LAB_WORLD_SERVER_H_
