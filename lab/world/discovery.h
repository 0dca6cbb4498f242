// Discovery: the list of machines, whole or as a watch on changes, over HTTP.
#ifndef BRASSWOOD_LAB_WORLD_DISCOVERY_H_
#define BRASSWOOD_LAB_WORLD_DISCOVERY_H_

#include <string>
#include <vector>

#include "lab/base/rng.h"
#include "lab/world/http_request.h"
#include "lab/world/server.h"

namespace brasswood::lab {

class World;

enum class Listed { kInService, kTerminating, kTerminated };

// What ails discovery, beside its links: shares of its calls or answers.
struct DiscoveryTrouble {
  Duration each{0};      // it takes for a call
  bool in_turn = false;  // one after the other, forsaken ones too
  double half = 0, reset = 0, deaf = 0, busy = 0, old = 0;
  Duration late{0};    // from taking what is answered at once to writing it
  Duration pieces{0};  // over which an answer is written
  Duration lag{0};     // from a change to this address's hearing of it
};

class Discovery : public Server {
 public:
  Discovery(World& world, int routers);
  // Lists the machine so, from now on, or once this address hears of it; the world sees to other lateness.
  void List(int machine, Listed state);
  // The list in discovery's form takes a router's own endpoints between texts that are the same for all:
  // made once a change, not once a router. Compose is free of the rest, and may run on any thread.
  struct Line {
    std::int64_t rev = 0;
    bool terminated = false;
    std::uint16_t port = 0;
    std::string before, after;  // the endpoint
  };
  const std::vector<Line>& Lines() const { return lines_; }
  std::int64_t rev() const { return rev_; }
  DiscoveryTrouble& trouble() { return trouble_; }
  static std::string Compose(const std::vector<Line>& lines, std::int64_t rev, std::int64_t since,
                             bool whole, int router);

 private:
  struct Entry {
    int machine = 0;
    Listed state = Listed::kInService;
    std::int64_t rev = 0;
  };
  struct Watch {
    std::uint64_t peer = 0;
    std::int64_t since = 0;
    Deadlines::Id deadline;
  };
  void OnBytes(Peer& peer) override;
  void OnGone(Peer& peer, bool reset) override;
  bool Room();
  void TakeCall(std::uint64_t id, const HttpRequest& request);
  void Serve(std::uint64_t id, const HttpRequest& request);
  // Told in the part of the answer that was written, by the judge's terms.
  void NoteTold(const Peer& peer, std::int64_t since, bool whole, std::string_view written);
  void Hear(int machine, Listed state);
  void Tell(Peer& peer, std::int64_t since, bool whole);
  // An answer as it was made, and how far it has been written.
  struct Outgoing {
    std::uint64_t peer = 0;
    std::int64_t since = 0;
    bool whole = false;
    std::string text;
    std::size_t written = 0;
  };
  void Deliver(Peer& peer, std::int64_t since, bool whole, const std::string& text);
  void WriteNextPiece(Outgoing out, Duration apart);
  std::string Text(int router, std::int64_t since, bool whole) const {
    return Compose(lines_, rev_, since, whole, router);
  }

  World& world_;
  std::vector<Entry> entries_;
  std::vector<Line> lines_;  // by entry
  std::vector<Watch> watches_;
  std::int64_t rev_ = 1;
  double room_ = 0;  // calls that may come now
  Time filled_{0};
  DiscoveryTrouble trouble_;
  Time hears_at_{0};  // of the last change
  Time free_{0};      // in turn: when the calls before are served
  Rng rng_;
};

}  // namespace brasswood::lab

#endif  // BRASSWOOD_LAB_WORLD_DISCOVERY_H_
