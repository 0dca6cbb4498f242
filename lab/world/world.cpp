#include "lab/world/world.h"

#include <algorithm>
#include <cmath>

#include "protocol/labels.h"

namespace brasswood::lab {

World::World(const Scenario& scenario)
    : scenario_(scenario),
      routers_(static_cast<int>(scenario.halls.size()) * scenario.routers.per_hall),
      uid_rng_(MakeRng(scenario.seed, Stream::kNames)) {
  ServerRecord origin;
  origin.uid = "origin";
  origin.kind = "origin";
  origin.capacity.full = scenario.origin.cores;
  truth_.servers.push_back(origin);
  origin_ = std::make_unique<Origin>(*this, scenario.origin);
  // Discovery is not among the numbered servers, to which replacements are added during the run.
  for (auto& discovery : discoveries_) discovery = std::make_unique<Discovery>(*this, routers_);
  SetState(kOrigin, ServiceState::kInService);
  for (const NodePlan& plan : scenario.nodes) {
    for (int i = 0; i < plan.count; ++i) SetState(AddServer(plan, Time(0)), ServiceState::kInService);
  }
  WarmUp();
  RecordList();
}

World::~World() = default;

int World::AddServer(const NodePlan& plan, Time started) {
  const int number = static_cast<int>(truth_.servers.size());
  ServerRecord m;
  char uid[16];
  std::snprintf(uid, sizeof uid, "s-%08x", uid_rng_());
  m.uid = uid;
  m.kind = plan.kind;
  m.hall = plan.hall;
  m.capacity = {plan.cores * plan.speed, plan.cold_from, started, plan.ramp};
  truth_.servers.push_back(m);
  cache_servers_.push_back(std::make_unique<CacheServer>(*this, number, plan));
  in_service_.push_back(true);
  return number;
}

// Cache servers that run when the load begins hold the most popular keys, as many as fit.
void World::WarmUp() {
  for (auto& server : cache_servers_) {
    const double limit = server->plan().memory_mb * (1 << 20);
    double used = 0;
    std::vector<std::string> keys;
    for (int rank = 0; rank < scenario_.load.keys; ++rank) {
      keys.push_back(KeyName(rank));
      used += static_cast<double>(SizeOf(scenario_, keys.back()));
      if (used > limit) break;
    }
    std::for_each(keys.rbegin(), keys.rend(), [&](const std::string& key) {
      server->store().Put(key, static_cast<double>(SizeOf(scenario_, key)));
    });
  }
}

std::vector<std::string> World::CacheServerEndpoints(int router) const {
  std::vector<std::string> all;
  for (const auto& server : cache_servers_) all.push_back(server->endpoint(router));
  return all;
}

std::string World::EndpointOf(int server, int router) const {
  if (server == kOrigin) return origin_->endpoint(router);
  return cache_servers_[static_cast<std::size_t>(server) - 1]->endpoint(router);
}

std::uint16_t World::PortOf(int server) const {
  return server == kOrigin ? origin_->port() : cache_servers_[static_cast<std::size_t>(server) - 1]->port();
}

std::size_t World::ClassOf(std::string_view labels) const {
  std::size_t found = 0;
  EachLabel(labels, [&](std::string_view name, std::string_view value) {
    for (std::size_t i = 0; name == "c" && i < scenario_.classes.size(); ++i) {
      if (scenario_.classes[i].name == value) found = i;
    }
  });
  return found;
}

void World::OnAttempt(RequestId id, BackendServer& server, std::uint64_t peer) {
  LastAttempt& last = last_attempt_[id];
  if (last.server != nullptr && last.peer != peer) last.server->CheckClosed(last.peer);
  last = {&server, peer};
}

bool World::MissedAtColdServer(RequestId id) {
  const auto it = missed_.find(id);
  if (it == missed_.end()) return false;
  return std::any_of(it->second.begin(), it->second.end(), [&](int server) {
    return truth_.servers[static_cast<std::size_t>(server)].capacity.IsCold(loop_.Now());
  });
}

void World::StoreFetched(RequestId id, const std::string& key) {
  const auto it = missed_.find(id);
  if (it == missed_.end()) return;
  const double size = static_cast<double>(SizeOf(scenario_, key));
  for (std::size_t i = 0; i < it->second.size() && i < 2; ++i) {
    CacheServer& server = *cache_servers_[static_cast<std::size_t>(it->second[i]) - 1];
    if (server.alive()) server.store().Put(key, size);
  }
  missed_.erase(it);
}

void World::DropCopies(const std::string& key) {
  for (auto& server : cache_servers_) server->store().Drop(key);
}

// ---- Faults ----

void World::At(Duration from_start, std::function<void()> run) {
  loop_.deadlines().Set(start_ + from_start, std::move(run));
}

std::vector<CacheServer*> World::PickVictims(const FaultPlan& fault, std::size_t number) {
  std::vector<CacheServer*> all;
  for (std::size_t i = 0; i < cache_servers_.size(); ++i) {
    const bool in_zone = fault.hall < 0 || cache_servers_[i]->plan().hall == fault.hall;
    if (in_service_[i] && cache_servers_[i]->alive() && in_zone) all.push_back(cache_servers_[i].get());
  }
  return Victims(scenario_, number, std::move(all));
}

void World::SetStateLater(int server, ServiceState state) {
  loop_.deadlines().Set(loop_.Now() + scenario_.discovery.late, [this, server, state] {
    SetState(server, state);
    RecordList();
  });
}

void World::SetState(int server, ServiceState state) {
  for (const auto& discovery : discoveries_) discovery->SetState(server, state);
  if (state == ServiceState::kInService) return;
  // After kNoticeAssumedAfter each router counts as notified, whatever happened to its calls.
  const Time noticed_at = loop_.Now() + kNoticeAssumedAfter;
  for (int r = 0; r < routers_; ++r) truth_.removal_notices.push_back({r, server, noticed_at, true});
}

void World::InjectIntoDiscovery(DiscoveryFaults injected, const FaultPlan& fault) {
  for (const auto& discovery : discoveries_) discovery->faults() = injected;
  At(fault.at + fault.length, [this] {
    for (const auto& discovery : discoveries_) discovery->faults() = {};
  });
}

void World::Drain(CacheServer& server, Duration drain) {
  in_service_[static_cast<std::size_t>(server.number()) - 1] = false;
  SetStateLater(server.number(), ServiceState::kTerminating);
  loop_.deadlines().Set(loop_.Now() + drain, [this, &server] {
    server.Kill();
    SetStateLater(server.number(), ServiceState::kTerminated);
  });
}

void World::Replace(const FaultPlan& fault, std::size_t number) {
  const std::vector<CacheServer*> leaving = PickVictims(fault, number);
  const auto at_once = std::max<std::size_t>(
      1, static_cast<std::size_t>(fault.batch * static_cast<double>(cache_servers_.size())));
  const std::size_t batches = (leaving.size() + at_once - 1) / at_once;
  for (std::size_t b = 0; b < batches; ++b) {
    const std::vector<CacheServer*> batch(
        leaving.begin() + static_cast<std::ptrdiff_t>(b * at_once),
        leaving.begin() + static_cast<std::ptrdiff_t>(std::min(leaving.size(), (b + 1) * at_once)));
    const Duration step = fault.length / static_cast<std::int64_t>(std::max<std::size_t>(1, batches));
    At(fault.at + step * static_cast<std::int64_t>(b), [this, batch, drain = fault.drain] {
      for (CacheServer* old : batch) {
        SetStateLater(AddServer(old->plan(), loop_.Now()), ServiceState::kInService);
        Drain(*old, drain);
      }
    });
  }
}

// Faults of the load (hot keys, bursts, floods) are injected by the load, faults of the routers by the run.
void World::Schedule(const FaultPlan& fault, std::size_t number) {
  if (fault.kind == FaultKind::kReplace) {
    At(fault.at, [this, &fault, number] { Replace(fault, number); });
  } else {
    At(fault.at, [this, &fault, number] { Apply(fault, number); });
  }
}

void World::Apply(const FaultPlan& fault, std::size_t number) {
  const auto later = [&](std::function<void()> run) { At(fault.at + fault.length, std::move(run)); };
  const auto inject = [&](auto set, auto unset) {
    std::vector<BackendServer*> victims;
    if (fault.origin) {
      victims.push_back(origin_.get());
    } else {
      for (CacheServer* server : PickVictims(fault, number)) victims.push_back(server);
    }
    for (BackendServer* server : victims) set(server->faults());
    later([victims, unset] {
      for (BackendServer* server : victims) unset(server->faults());
    });
  };
  switch (fault.kind) {
    case FaultKind::kHang:
      return inject([](InjectedFaults& f) { f.hang = true; }, [](InjectedFaults& f) { f.hang = false; });
    case FaultKind::kSlow:
      return inject([&](InjectedFaults& f) { f.speed = fault.size; },
                    [](InjectedFaults& f) { f.speed = 1; });
    case FaultKind::kReset:
      return inject([&](InjectedFaults& f) { f.reset = fault.share; },
                    [](InjectedFaults& f) { f.reset = 0; });
    case FaultKind::kHalf:
      return inject([&](InjectedFaults& f) { f.half = fault.share; },
                    [](InjectedFaults& f) { f.half = 0; });
    case FaultKind::kGarbage:
      return inject([&](InjectedFaults& f) { f.garbage = fault.share; },
                    [](InjectedFaults& f) { f.garbage = 0; });
    case FaultKind::kNoLength:
      origin_->faults().no_length = fault.share;
      return later([this] { origin_->faults().no_length = 0; });
    case FaultKind::kRefuse: {
      const std::vector<CacheServer*> victims = PickVictims(fault, number);
      for (CacheServer* server : victims) server->Kill();
      return later([this, victims] {
        for (CacheServer* server : victims) {
          server->Restart();
          SetStateLater(server->number(), ServiceState::kInService);
        }
      });
    }
    case FaultKind::kHallCut:
    case FaultKind::kSilent: {
      const std::vector<CacheServer*> victims = PickVictims(fault, number);
      for (CacheServer* server : victims) server->SetLinks(Link::kSilent);
      return later([victims] {
        for (CacheServer* server : victims) {
          if (server->alive()) server->SetLinks(Link::kUp);
        }
      });
    }
    case FaultKind::kLinkCut:
    case FaultKind::kLinkSlow:
    case FaultKind::kLinkLossy:
    case FaultKind::kPartition:
      return ApplyToLinks(fault, number);
    case FaultKind::kMachineDrop: {
      std::vector<CacheServer*> victims;
      for (const auto& [server_number, router] : Dropped(scenario_, number)) {
        CacheServer& server = *cache_servers_[static_cast<std::size_t>(server_number) - 1];
        if (server.alive()) victims.push_back(&server);
      }
      for (CacheServer* server : victims) server->SetLinks(Link::kSilent);
      return later([this, victims] {
        for (CacheServer* server : victims) {
          if (!server->alive()) continue;
          server->Kill();
          server->Restart();
          SetStateLater(server->number(), ServiceState::kInService);
        }
      });
    }
    case FaultKind::kCapacityDrop: {
      const std::vector<CacheServer*> victims = PickVictims(fault, number);
      const auto keep = [&fault](const CacheServer& n) {
        return static_cast<int>(std::lround(n.plan().cores * (1 - fault.share)));
      };
      for (CacheServer* server : victims) server->SetCores(keep(*server));
      return later([victims] {
        for (CacheServer* server : victims) server->SetCores(server->plan().cores);
      });
    }
    case FaultKind::kDrain:
      for (CacheServer* server : PickVictims(fault, number)) Drain(*server, fault.length);
      return;
    case FaultKind::kDiscovery:
      for (const auto& discovery : discoveries_) discovery->SetLinks(Link::kRefused);
      return later([this] {
        for (const auto& discovery : discoveries_) discovery->SetLinks(Link::kUp);
      });
    case FaultKind::kListSlow:
      return InjectIntoDiscovery({.call_time = fault.delay}, fault);
    case FaultKind::kListQueue:
      return InjectIntoDiscovery({.call_time = fault.delay, .one_at_a_time = true}, fault);
    case FaultKind::kListHalf:
      return InjectIntoDiscovery({.truncated = fault.share}, fault);
    case FaultKind::kListReset:
      return InjectIntoDiscovery({.reset = fault.share}, fault);
    case FaultKind::kListDeaf:
      return InjectIntoDiscovery({.unanswered = fault.share}, fault);
    case FaultKind::kListBusy:
      return InjectIntoDiscovery({.busy = fault.share}, fault);
    case FaultKind::kListOld:
      return InjectIntoDiscovery({.stale = fault.share}, fault);
    case FaultKind::kListLate:
      return InjectIntoDiscovery({.answer_delay = fault.delay}, fault);
    case FaultKind::kListPieces:
      return InjectIntoDiscovery({.write_time = fault.delay}, fault);
    case FaultKind::kListLag: {
      Discovery& last = *discoveries_.back();
      last.faults().update_lag = fault.delay;
      return later([&last] { last.faults().update_lag = Duration(0); });
    }
    case FaultKind::kOriginStop:
      return origin_->Stop(fault.length);
    default:
      return;
  }
}

// Faults of the links between some routers and some cache servers; those to the origin and to discovery are
// not affected.
void World::ApplyToLinks(const FaultPlan& fault, std::size_t number) {
  std::vector<std::pair<CacheServer*, int>> pairs;
  if (fault.kind == FaultKind::kPartition) {
    const std::vector<int> group_of_router =
        Groups(scenario_, number, static_cast<std::size_t>(routers_), 1);
    const std::vector<int> group_of_server = Groups(scenario_, number, cache_servers_.size(), 2);
    for (std::size_t n = 0; n < cache_servers_.size(); ++n) {
      for (int r = 0; r < routers_; ++r) {
        if (group_of_server[n] != group_of_router[static_cast<std::size_t>(r)])
          pairs.emplace_back(cache_servers_[n].get(), r);
      }
    }
  } else {
    for (CacheServer* server : PickVictims(fault, number)) {
      for (const int r : VictimRouters(scenario_, number)) pairs.emplace_back(server, r);
    }
  }
  std::erase_if(pairs, [](const auto& p) { return !p.first->alive(); });
  const bool cut = fault.kind == FaultKind::kLinkCut || fault.kind == FaultKind::kPartition;
  for (const auto& [server, router] : pairs) {
    if (cut) {
      server->SetLink(router, fault.back_only ? Link::kAnswersLost : Link::kSilent);
    } else {
      const bool lossy = fault.kind == FaultKind::kLinkLossy;
      server->SetLinkFault(router, {fault.delay, fault.jitter, lossy ? fault.share : 0});
    }
  }
  At(fault.at + fault.length, [pairs, cut] {
    for (const auto& [server, router] : pairs) {
      if (!cut) server->SetLinkFault(router, {});
      if (cut && server->alive()) server->SetLink(router, Link::kUp);
    }
  });
}

void World::RecordList() {
  const std::lock_guard lock(list_history_lock_);
  list_history_.push_back({loop_.Now(), discoveries_[0]->lines(), discoveries_[0]->rev()});
}

std::string World::CurrentList(int router) { return ListAt(router, Duration(0)); }

std::string World::ListAt(int router, Duration ago) {
  const std::lock_guard lock(list_history_lock_);
  const Time then = Clock().Now() - ago;
  const ListSnapshot* list = &list_history_.front();
  for (const ListSnapshot& k : list_history_) {
    if (k.from <= then) list = &k;
  }
  return Discovery::FormatList(list->lines, list->rev, 0, true, router);
}

void World::Tick() {
  if (stop_) return loop_.Stop();
  if (start_ == Time(0) && requested_start_ != 0) {
    start_ = Time(requested_start_);
    for (std::size_t i = 0; i < scenario_.faults.size(); ++i) Schedule(scenario_.faults[i], i);
    lag_.Start(loop_);
  }
  loop_.deadlines().Set(loop_.Now() + std::chrono::milliseconds(20), [this] { Tick(); });
}

void World::Run() {
  Tick();
  loop_.Run();
  lag_.Stop();
  truth_.max_lag = lag_.most();
  truth_.late_ticks = lag_.late();
  truth_.cpu = ThreadCpu();
}

WorldRecord World::TakeRecord() { return std::move(truth_); }

}  // namespace brasswood::lab
