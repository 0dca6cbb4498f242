// The emulated discovery service: serves the server list over HTTP, complete or as a long poll for changes.
#ifndef BRASSWOOD_LAB_WORLD_DISCOVERY_H_
#define BRASSWOOD_LAB_WORLD_DISCOVERY_H_

#include <string>
#include <vector>

#include "lab/base/rng.h"
#include "lab/world/http_request.h"
#include "lab/world/server.h"

namespace brasswood::lab {

class World;

enum class ServiceState { kInService, kTerminating, kTerminated };

// Injected faults of discovery, interval from those of its links.
struct DiscoveryFaults {
  Duration call_time{0};       // time to serve a call
  bool one_at_a_time = false;  // serves calls one after the other, also those whose caller has gone
  double truncated = 0;        // share of the answers that stop half-way, the connection left open
  double reset = 0;            // share of the answers that stop half-way with a reset
  double unanswered = 0;       // share of the calls that are accepted and never answered
  double busy = 0;             // share of the calls that are answered with 503
  double stale = 0;            // share of the answers that carry a list older than the one the caller has
  Duration answer_delay{0};    // delay between composing an answer and writing it
  Duration write_time{0};      // time over which an answer is written in equal pieces
  Duration update_lag{0};      // delay until a change of the list is visible at this address
};

class Discovery : public Server {
 public:
  Discovery(World& world, int routers);
  // Lists the server in that state, from now on or, with `update_lag`, once the change is visible at this
  // address. Every other delay is the world's.
  void SetState(int server, ServiceState state);
  // One entry of the list in discovery's form. Each router sees endpoints of its own; the text around the
  // endpoint is the same for all and is formatted once a change, not once a router. FormatList uses nothing
  // but its arguments and may run on any thread.
  struct ListLine {
    std::int64_t rev = 0;
    bool terminated = false;
    std::uint16_t port = 0;
    std::string before, after;  // the text before and after the endpoint
  };
  const std::vector<ListLine>& lines() const { return lines_; }
  std::int64_t rev() const { return rev_; }
  DiscoveryFaults& faults() { return faults_; }
  static std::string FormatList(const std::vector<ListLine>& lines, std::int64_t rev, std::int64_t since,
                                bool full_list, int router);

 private:
  struct Entry {
    int server = 0;
    ServiceState state = ServiceState::kInService;
    std::int64_t rev = 0;
  };
  struct Watch {
    std::uint64_t peer = 0;
    std::int64_t since = 0;
    Deadlines::Id deadline;
  };
  void OnData(Peer& peer) override;
  void OnClosed(Peer& peer, bool reset) override;
  bool AdmitCall();
  void ScheduleCall(std::uint64_t id, const HttpRequest& request);
  void Serve(std::uint64_t id, const HttpRequest& request);
  // Records which servers the written part of an answer notifies the router of as leaving service.
  void RecordNotices(const Peer& peer, std::int64_t since, bool full_list, std::string_view written);
  void ApplyState(int server, ServiceState state);
  void SendList(Peer& peer, std::int64_t since, bool full_list);
  // An answer that is written in pieces, and how much of it has been written.
  struct Outgoing {
    std::uint64_t peer = 0;
    std::int64_t since = 0;
    bool full_list = false;
    std::string text;
    std::size_t written = 0;
  };
  void WriteList(Peer& peer, std::int64_t since, bool full_list, const std::string& text);
  void WriteNextPiece(Outgoing out, Duration interval);
  std::string ListFor(int router, std::int64_t since, bool full_list) const {
    return FormatList(lines_, rev_, since, full_list, router);
  }

  World& world_;
  std::vector<Entry> entries_;
  std::vector<ListLine> lines_;  // by entry
  std::vector<Watch> watches_;
  std::int64_t rev_ = 1;
  double call_tokens_ = 0;  // token bucket of the call rate limit: calls that are admitted now
  Time tokens_filled_{0};   // when the bucket was last filled
  DiscoveryFaults faults_;
  Time visible_at_{0};            // when the latest change is visible at this address
  Time earlier_calls_served_{0};  // with `one_at_a_time`: when all earlier calls are served
  Rng rng_;
};

}  // namespace brasswood::lab

#endif  // BRASSWOOD_LAB_WORLD_DISCOVERY_H_
