#include "lab/world/world.h"

#include <algorithm>
#include <cmath>

#include "protocol/labels.h"

namespace brasswood::lab {

World::World(const Scenario& scenario)
    : scenario_(scenario),
      routers_(static_cast<int>(scenario.halls.size()) * scenario.routers.per_hall),
      names_(MakeRng(scenario.seed, Stream::kNames)) {
  MachineRecord origin;
  origin.uid = "origin";
  origin.kind = "origin";
  origin.capacity.full = scenario.origin.cores;
  truth_.machines.push_back(origin);
  origin_ = std::make_unique<Origin>(*this, scenario.origin);
  // Discovery is not among the numbered servers, to which replacements are added during the run.
  for (auto& discovery : discoveries_) discovery = std::make_unique<Discovery>(*this, routers_);
  SetState(kOrigin, ServiceState::kInService);
  for (const NodePlan& plan : scenario.nodes) {
    for (int i = 0; i < plan.count; ++i) SetState(Add(plan, Time(0)), ServiceState::kInService);
  }
  WarmUp();
  Publish();
}

World::~World() = default;

int World::Add(const NodePlan& plan, Time started) {
  const int number = static_cast<int>(truth_.machines.size());
  MachineRecord m;
  char uid[16];
  std::snprintf(uid, sizeof uid, "s-%08x", names_());
  m.uid = uid;
  m.kind = plan.kind;
  m.hall = plan.hall;
  m.capacity = {plan.cores * plan.speed, plan.cold_from, started, plan.ramp};
  truth_.machines.push_back(m);
  nodes_.push_back(std::make_unique<CacheServer>(*this, number, plan));
  in_service_.push_back(true);
  return number;
}

// Cache servers that run when the load begins hold the most popular keys, as many as fit.
void World::WarmUp() {
  for (auto& node : nodes_) {
    const double most = node->plan().memory_mb * (1 << 20);
    double held = 0;
    std::vector<std::string> keys;
    for (int rank = 0; rank < scenario_.load.keys; ++rank) {
      keys.push_back(KeyName(rank));
      held += static_cast<double>(SizeOf(scenario_, keys.back()));
      if (held > most) break;
    }
    std::for_each(keys.rbegin(), keys.rend(), [&](const std::string& key) {
      node->store().Put(key, static_cast<double>(SizeOf(scenario_, key)));
    });
  }
}

std::vector<std::string> World::NodeEndpoints(int router) const {
  std::vector<std::string> all;
  for (const auto& node : nodes_) all.push_back(node->endpoint(router));
  return all;
}

std::string World::EndpointOf(int machine, int router) const {
  if (machine == kOrigin) return origin_->endpoint(router);
  return nodes_[static_cast<std::size_t>(machine) - 1]->endpoint(router);
}

std::uint16_t World::PortOf(int machine) const {
  return machine == kOrigin ? origin_->port() : nodes_[static_cast<std::size_t>(machine) - 1]->port();
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

void World::AttemptBegun(RequestId id, BackendServer& machine, std::uint64_t peer) {
  Out& last = last_attempt_[id];
  if (last.machine != nullptr && last.peer != peer) last.machine->CheckClosed(last.peer);
  last = {&machine, peer};
}

bool World::MissedCold(RequestId id) {
  const auto it = missed_.find(id);
  if (it == missed_.end()) return false;
  return std::any_of(it->second.begin(), it->second.end(), [&](int node) {
    return truth_.machines[static_cast<std::size_t>(node)].capacity.Cold(loop_.Now());
  });
}

void World::Stored(RequestId id, const std::string& key) {
  const auto it = missed_.find(id);
  if (it == missed_.end()) return;
  const double size = static_cast<double>(SizeOf(scenario_, key));
  for (std::size_t i = 0; i < it->second.size() && i < 2; ++i) {
    CacheServer& node = *nodes_[static_cast<std::size_t>(it->second[i]) - 1];
    if (node.alive()) node.store().Put(key, size);
  }
  missed_.erase(it);
}

void World::DropCopies(const std::string& key) {
  for (auto& node : nodes_) node->store().Drop(key);
}

// ---- Faults ----

void World::At(Duration from_start, std::function<void()> run) {
  loop_.deadlines().Set(start_ + from_start, std::move(run));
}

std::vector<CacheServer*> World::Pick(const FaultPlan& fault, std::size_t number) {
  std::vector<CacheServer*> all;
  for (std::size_t i = 0; i < nodes_.size(); ++i) {
    const bool hall = fault.hall < 0 || nodes_[i]->plan().hall == fault.hall;
    if (in_service_[i] && nodes_[i]->alive() && hall) all.push_back(nodes_[i].get());
  }
  return Victims(scenario_, number, std::move(all));
}

void World::SetStateLater(int machine, ServiceState state) {
  loop_.deadlines().Set(loop_.Now() + scenario_.discovery.late, [this, machine, state] {
    SetState(machine, state);
    Publish();
  });
}

void World::SetState(int machine, ServiceState state) {
  for (const auto& discovery : discoveries_) discovery->SetState(machine, state);
  if (state == ServiceState::kInService) return;
  // After kNoticeAssumedAfter each router counts as notified, whatever happened to its calls.
  const Time noticed_at = loop_.Now() + kNoticeAssumedAfter;
  for (int r = 0; r < routers_; ++r) truth_.removal_notices.push_back({r, machine, noticed_at, true});
}

void World::Ail(DiscoveryFaults injected, const FaultPlan& fault) {
  for (const auto& discovery : discoveries_) discovery->faults() = injected;
  At(fault.at + fault.length, [this] {
    for (const auto& discovery : discoveries_) discovery->faults() = {};
  });
}

void World::Leave(CacheServer& node, Duration drain) {
  in_service_[static_cast<std::size_t>(node.number()) - 1] = false;
  SetStateLater(node.number(), ServiceState::kTerminating);
  loop_.deadlines().Set(loop_.Now() + drain, [this, &node] {
    node.Kill();
    SetStateLater(node.number(), ServiceState::kTerminated);
  });
}

void World::Replace(const FaultPlan& fault, std::size_t number) {
  const std::vector<CacheServer*> going = Pick(fault, number);
  const auto at_once =
      std::max<std::size_t>(1, static_cast<std::size_t>(fault.batch * static_cast<double>(nodes_.size())));
  const std::size_t batches = (going.size() + at_once - 1) / at_once;
  for (std::size_t b = 0; b < batches; ++b) {
    const std::vector<CacheServer*> batch(
        going.begin() + static_cast<std::ptrdiff_t>(b * at_once),
        going.begin() + static_cast<std::ptrdiff_t>(std::min(going.size(), (b + 1) * at_once)));
    const Duration step = fault.length / static_cast<std::int64_t>(std::max<std::size_t>(1, batches));
    At(fault.at + step * static_cast<std::int64_t>(b), [this, batch, drain = fault.drain] {
      for (CacheServer* old : batch) {
        SetStateLater(Add(old->plan(), loop_.Now()), ServiceState::kInService);
        Leave(*old, drain);
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
  const auto ail = [&](auto set, auto unset) {
    std::vector<BackendServer*> hit;
    if (fault.origin) {
      hit.push_back(origin_.get());
    } else {
      for (CacheServer* node : Pick(fault, number)) hit.push_back(node);
    }
    for (BackendServer* m : hit) set(m->faults());
    later([hit, unset] {
      for (BackendServer* m : hit) unset(m->faults());
    });
  };
  switch (fault.kind) {
    case FaultKind::kHang:
      return ail([](InjectedFaults& a) { a.hang = true; }, [](InjectedFaults& a) { a.hang = false; });
    case FaultKind::kSlow:
      return ail([&](InjectedFaults& a) { a.speed = fault.size; }, [](InjectedFaults& a) { a.speed = 1; });
    case FaultKind::kReset:
      return ail([&](InjectedFaults& a) { a.reset = fault.share; }, [](InjectedFaults& a) { a.reset = 0; });
    case FaultKind::kHalf:
      return ail([&](InjectedFaults& a) { a.half = fault.share; }, [](InjectedFaults& a) { a.half = 0; });
    case FaultKind::kGarbage:
      return ail([&](InjectedFaults& a) { a.garbage = fault.share; },
                 [](InjectedFaults& a) { a.garbage = 0; });
    case FaultKind::kNoLength:
      origin_->faults().no_length = fault.share;
      return later([this] { origin_->faults().no_length = 0; });
    case FaultKind::kRefuse: {
      const std::vector<CacheServer*> hit = Pick(fault, number);
      for (CacheServer* node : hit) node->Kill();
      return later([this, hit] {
        for (CacheServer* node : hit) {
          node->Restart();
          SetStateLater(node->number(), ServiceState::kInService);
        }
      });
    }
    case FaultKind::kHallCut:
    case FaultKind::kSilent: {
      const std::vector<CacheServer*> hit = Pick(fault, number);
      for (CacheServer* node : hit) node->SetLinks(Link::kSilent);
      return later([hit] {
        for (CacheServer* node : hit) {
          if (node->alive()) node->SetLinks(Link::kUp);
        }
      });
    }
    case FaultKind::kLinkCut:
    case FaultKind::kLinkSlow:
    case FaultKind::kLinkLossy:
    case FaultKind::kPartition:
      return ApplyToLinks(fault, number);
    case FaultKind::kMachineDrop: {
      std::vector<CacheServer*> hit;
      for (const auto& [machine, router] : Dropped(scenario_, number)) {
        CacheServer& node = *nodes_[static_cast<std::size_t>(machine) - 1];
        if (node.alive()) hit.push_back(&node);
      }
      for (CacheServer* node : hit) node->SetLinks(Link::kSilent);
      return later([this, hit] {
        for (CacheServer* node : hit) {
          if (!node->alive()) continue;
          node->Kill();
          node->Restart();
          SetStateLater(node->number(), ServiceState::kInService);
        }
      });
    }
    case FaultKind::kCapacityDrop: {
      const std::vector<CacheServer*> hit = Pick(fault, number);
      const auto keep = [&fault](const CacheServer& n) {
        return static_cast<int>(std::lround(n.plan().cores * (1 - fault.share)));
      };
      for (CacheServer* node : hit) node->SetCores(keep(*node));
      return later([hit] {
        for (CacheServer* node : hit) node->SetCores(node->plan().cores);
      });
    }
    case FaultKind::kDrain:
      for (CacheServer* node : Pick(fault, number)) Leave(*node, fault.length);
      return;
    case FaultKind::kDiscovery:
      for (const auto& discovery : discoveries_) discovery->SetLinks(Link::kRefused);
      return later([this] {
        for (const auto& discovery : discoveries_) discovery->SetLinks(Link::kUp);
      });
    case FaultKind::kListSlow:
      return Ail({.call_time = fault.delay}, fault);
    case FaultKind::kListQueue:
      return Ail({.call_time = fault.delay, .one_at_a_time = true}, fault);
    case FaultKind::kListHalf:
      return Ail({.truncated = fault.share}, fault);
    case FaultKind::kListReset:
      return Ail({.reset = fault.share}, fault);
    case FaultKind::kListDeaf:
      return Ail({.unanswered = fault.share}, fault);
    case FaultKind::kListBusy:
      return Ail({.busy = fault.share}, fault);
    case FaultKind::kListOld:
      return Ail({.stale = fault.share}, fault);
    case FaultKind::kListLate:
      return Ail({.answer_delay = fault.delay}, fault);
    case FaultKind::kListPieces:
      return Ail({.write_time = fault.delay}, fault);
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
    const std::vector<int> of_router = Groups(scenario_, number, static_cast<std::size_t>(routers_), 1);
    const std::vector<int> of_node = Groups(scenario_, number, nodes_.size(), 2);
    for (std::size_t n = 0; n < nodes_.size(); ++n) {
      for (int r = 0; r < routers_; ++r) {
        if (of_node[n] != of_router[static_cast<std::size_t>(r)]) pairs.emplace_back(nodes_[n].get(), r);
      }
    }
  } else {
    for (CacheServer* node : Pick(fault, number)) {
      for (const int r : VictimRouters(scenario_, number)) pairs.emplace_back(node, r);
    }
  }
  std::erase_if(pairs, [](const auto& p) { return !p.first->alive(); });
  const bool cut = fault.kind == FaultKind::kLinkCut || fault.kind == FaultKind::kPartition;
  for (const auto& [node, router] : pairs) {
    if (cut) {
      node->SetLink(router, fault.back_only ? Link::kAnswersLost : Link::kSilent);
    } else {
      const bool lossy = fault.kind == FaultKind::kLinkLossy;
      node->SetLinkFault(router, {fault.delay, fault.jitter, lossy ? fault.share : 0});
    }
  }
  At(fault.at + fault.length, [pairs, cut] {
    for (const auto& [node, router] : pairs) {
      if (!cut) node->SetLinkFault(router, {});
      if (cut && node->alive()) node->SetLink(router, Link::kUp);
    }
  });
}

void World::Publish() {
  const std::lock_guard lock(known_lock_);
  known_.push_back({loop_.Now(), discoveries_[0]->lines(), discoveries_[0]->rev()});
}

std::string World::Known(int router) { return KnownThen(router, Duration(0)); }

std::string World::KnownThen(int router, Duration ago) {
  const std::lock_guard lock(known_lock_);
  const Time then = Clock().Now() - ago;
  const KnownList* list = &known_.front();
  for (const KnownList& k : known_) {
    if (k.from <= then) list = &k;
  }
  return Discovery::FormatList(list->lines, list->rev, 0, true, router);
}

void World::Tick() {
  if (stop_) return loop_.Stop();
  if (start_ == Time(0) && asked_start_ != 0) {
    start_ = Time(asked_start_);
    for (std::size_t i = 0; i < scenario_.faults.size(); ++i) Schedule(scenario_.faults[i], i);
    lag_.Start(loop_);
  }
  loop_.deadlines().Set(loop_.Now() + std::chrono::milliseconds(20), [this] { Tick(); });
}

void World::Run() {
  Tick();
  loop_.Run();
  lag_.Stop();
  truth_.lag = lag_.most();
  truth_.late = lag_.late();
  truth_.cpu = ThreadCpu();
}

WorldTruth World::TakeTruth() { return std::move(truth_); }

}  // namespace brasswood::lab
