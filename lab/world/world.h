// The emulated platform of one run: the cache servers, the origin and discovery on one event loop, the
// faults that are injected into them, and the record of what reached them. All of it is used from the
// thread that runs the loop, except where stated otherwise.
#ifndef BRASSWOOD_LAB_WORLD_WORLD_H_
#define BRASSWOOD_LAB_WORLD_WORLD_H_

#include <array>
#include <atomic>
#include <memory>
#include <mutex>
#include <unordered_map>
#include <vector>

#include "lab/base/lag_meter.h"
#include "lab/truth/truth.h"
#include "lab/world/cache_server.h"
#include "lab/world/discovery.h"
#include "lab/world/origin.h"

namespace brasswood::lab {

class World {
 public:
  // Opens the listeners of all servers; throws std::runtime_error if that fails.
  explicit World(const Scenario& scenario);
  ~World();

  // To be called before Run: what a router needs at its start.
  int routers() const { return routers_; }
  // `which`: 0 or 1, for the two addresses of the service.
  std::string DiscoveryEndpoint(int router, std::size_t which = 0) const {
    return discoveries_[which]->endpoint(router);
  }
  // From any thread, also during Run: the list as this router would receive it now.
  std::string CurrentList(int router);
  // The same as it was `ago`, but not before the start.
  std::string ListAt(int router, Duration ago);
  std::vector<std::string> CacheServerEndpoints(int router) const;

  // Serves until Stop. To be called on a thread of its own.
  void Run();
  // From any thread: states when the load begins, at least 50 ms from now; the faults' times count from it.
  void Start(Time at) { requested_start_ = at.count(); }
  // From any thread: Run returns soon.
  void Stop() { stop_ = true; }
  // After Run.
  WorldRecord TakeRecord();

  // ---- For the servers ----
  const Scenario& scenario() const { return scenario_; }
  Loop& loop() { return loop_; }
  WorldRecord& record() { return truth_; }
  // Below 0 until the load has begun.
  Duration SinceStart() const { return start_ == Time(0) ? Duration(-1) : loop_.Now() - start_; }
  std::size_t ClassOf(std::string_view labels) const;
  std::uint32_t NextSerial() { return ++serial_; }
  // To be called by `server` when it has received an attempt of request `id` completely, on its connection
  // `peer`. If the router has already closed the connection of the previous attempt of that request, that
  // attempt is recorded as ended now, even if the event loop has not read the close yet: otherwise the two
  // attempts would seem to overlap.
  void OnAttempt(RequestId id, BackendServer& server, std::uint64_t peer);
  void RecordMiss(RequestId id, int server) { missed_[id].push_back(server); }
  bool MissedAtColdServer(RequestId id);
  // The origin has served a fetch: the cache servers that missed store the value.
  void StoreFetched(RequestId id, const std::string& key);
  void DropCopies(const std::string& key);
  std::string EndpointOf(int server, int router) const;
  std::uint16_t PortOf(int server) const;

 private:
  void Schedule(const FaultPlan& fault, std::size_t number);
  void Apply(const FaultPlan& fault, std::size_t number);
  void At(Duration from_start, std::function<void()> run);
  // The cache servers that a fault affects, drawn from those in service.
  std::vector<CacheServer*> PickVictims(const FaultPlan& fault, std::size_t number);
  void ApplyToLinks(const FaultPlan& fault, std::size_t number);
  void SetState(int server, ServiceState state);
  void SetStateLater(int server, ServiceState state);
  void InjectIntoDiscovery(DiscoveryFaults injected, const FaultPlan& fault);
  void Drain(CacheServer& server, Duration drain);
  int AddServer(const NodePlan& plan, Time started);
  void Replace(const FaultPlan& fault, std::size_t number);
  void WarmUp();
  void Tick();
  void RecordList();

  const Scenario scenario_;
  const int routers_;
  Loop loop_{true};
  WorldRecord truth_;
  Time start_{0};
  Rng uid_rng_;
  std::unique_ptr<Origin> origin_;
  std::array<std::unique_ptr<Discovery>, 2> discoveries_;
  std::vector<std::unique_ptr<CacheServer>> cache_servers_;  // by server number minus 1
  std::vector<bool> in_service_;                             // likewise
  std::uint32_t serial_ = 0;
  struct LastAttempt {
    BackendServer* server = nullptr;
    std::uint64_t peer = 0;
  };
  std::unordered_map<RequestId, LastAttempt> last_attempt_;
  std::unordered_map<RequestId, std::vector<int>> missed_;
  std::mutex list_history_lock_;
  struct ListSnapshot {  // a state of the server list, without the endpoints, which differ by router
    Time from{0};
    std::vector<Discovery::ListLine> lines;
    std::int64_t rev = 0;
  };
  std::vector<ListSnapshot> list_history_;  // all states of the list, in order of time
  LagMeter lag_;
  std::atomic<bool> stop_{false};
  std::atomic<std::int64_t> requested_start_{0};
};

}  // namespace brasswood::lab

#endif  // BRASSWOOD_LAB_WORLD_WORLD_H_
