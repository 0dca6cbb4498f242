// brasswood: one real router. Wiring and signals only.
#include <pthread.h>
#include <signal.h>

#include <chrono>
#include <cstdlib>
#include <exception>
#include <iostream>
#include <memory>
#include <optional>
#include <thread>

#include "admin/operator.h"
#include "admin/state_file.h"
#include "base/counters.h"
#include "base/log.h"
#include "base/stable_hash.h"
#include "config/config.h"
#include "core/engine.h"
#include "net/attempt_pool.h"
#include "net/client_front.h"
#include "net/discovery_watch.h"
#include "net/door.h"
#include "net/loop.h"
#include "net/startup.h"
#include "state/keeper.h"

namespace {

// The signals that are answered, held back while there is nothing to answer them. Guards against one that
// comes while the process still starts (a new configuration for a fleet that is being restarted), or once
// it has done its work and ends: by default it would end the process there and then.
class HeldSignals {
 public:
  HeldSignals() {
    sigemptyset(&held_);
    for (const int number : {SIGHUP, SIGTERM, SIGINT, SIGUSR1}) sigaddset(&held_, number);
    Hold();
  }
  void Hold() { pthread_sigmask(SIG_BLOCK, &held_, nullptr); }
  // From now on they come, those that came before at once. Threads begun before never get any.
  void Release() { pthread_sigmask(SIG_UNBLOCK, &held_, nullptr); }

 private:
  sigset_t held_;
};

void Run(const brasswood::Config& config, HeldSignals& signals) {
  using namespace brasswood;
  Loop loop;
  Counters counters;
  // What one process may hold; `limits`, which all parts read, is its share while a replacement runs.
  const Limits whole = config.limits;
  Limits limits = whole;
  const Names& names = config.settings.names;
  Engine engine(
      config.settings.module, config.seed, limits, [&loop] { return loop.Now(); }, loop.deadlines(),
      counters);
  ConnBudget budget;
  CacheServerPool nodes(loop, engine, limits, counters, budget);
  OriginClient origin(loop, engine, limits, counters, budget);
  DiscoveryWatch watch(loop, engine, limits, config.settings, config.discovery, config.known.rev,
                       beechledge::Unit(beechledge::StableHash(config.name)));
  engine.Attach(nodes, origin, watch);
  ClientFront* front_at = nullptr;  // the front listens last, once all that it needs is there
  ClientFrontHooks hooks{[&front_at] { return front_at != nullptr && front_at->Ready(); },
                         [&front_at](bool on) {
                           if (front_at != nullptr) front_at->SendAway(on);
                         },
                         [&](std::size_t processes) {
                           limits = LimitsPerProcess(whole, processes);
                           nodes.Trim();
                           if (front_at != nullptr) front_at->Reshare();
                         }};
  // Operator state is kept only where there is a door to say it: older deployments have neither.
  const bool door_here = !config.admin.empty();
  RouterOperations operations(
      engine, counters, names, hooks, limits, loop.deadlines(), [&loop] { return loop.Now(); },
      door_here ? std::make_unique<StateFile>(StateDirectory(), config.name) : nullptr,
      door_here ? std::make_unique<HeartbeatFiles>(StateDirectory(), config.name, limits.heartbeat_timeout)
                : nullptr);
  // What an earlier process left, where the installation has a disk for it: bans before any list.
  std::unique_ptr<Keeper> keeper;
  std::optional<Snapshot> kept;
  if (const auto settings = LoadStateSettings()) {
    keeper = std::make_unique<Keeper>(*settings, config.name, engine, loop.deadlines(),
                                      [&loop] { return loop.Now(); });
    kept = keeper->Read();
    watch.AskFirst();
  }
  if (kept) {
    for (const std::string& uid : kept->suspended) engine.Suspend(uid, true);
  }
  operations.Restore();
  if (kept && !kept->list.entries.empty() && kept->list.rev > config.known.rev) {
    engine.Remember(kept->list, loop.Now() - kept->taken > keeper->settings().old);
  } else {
    engine.Remember(config.known);
  }
  if (kept) {
    const double faith = Faith(loop.Now() - kept->taken, keeper->settings().half, keeper->settings().most);
    if (faith > 0) engine.Recall(std::move(*kept), faith);
  }
  if (keeper) keeper->Begin();
  // Guards against a restart for a new configuration: open requests and the listener stay as they are. What
  // a router cannot change while it serves (its address, limits, settings) waits for its next start.
  loop.OnSignal(SIGHUP, [&watch] {
    try {
      const Config fresh = ReloadConfig();
      LogLine(Level::kInfo) << "configuration read again; discovery at " << fresh.discovery;
      watch.MoveTo(fresh.discovery);
    } catch (const std::exception& e) {
      LogLine(Level::kError) << "configuration kept as it was: " << e.what();
    }
  });
  ClientFront front(loop, engine, limits, names, counters, config.listen);
  front_at = &front;
  std::unique_ptr<Door> door;
  if (!config.admin.empty()) {
    door = std::make_unique<Door>(loop, limits, config.admin, operations);
    operations.StartPolling();
    LogLine(Level::kInfo) << "operators' door on " << config.admin.substr(0, config.admin.rfind(':') + 1)
                          << door->port();
  }
  loop.OnSignal(SIGUSR1, [&] {
    LogLine(Level::kInfo) << counters << "; now open: requests=" << engine.open_requests()
                          << " clients=" << front.clients() << " server_connections=" << budget.open;
    LogLine(Level::kInfo) << watch;
  });
  const auto stop = [&] {
    LogLine(Level::kInfo) << config.name << " stops; open requests: " << engine.open_requests();
    if (keeper) keeper->Take();
    front.Stop([&loop] { loop.Stop(); });
  };
  loop.OnSignal(SIGTERM, stop);
  loop.OnSignal(SIGINT, stop);
  LogLine(Level::kInfo) << config.name << " listens on "
                        << config.listen.substr(0, config.listen.rfind(':') + 1) << front.port();
  signals.Release();  // every one of them is answered now
  loop.Run();
  signals.Hold();
  counters.invariants.Expect(engine.open_requests() == 0, Invariant::kAnsweredBeforeEnd, "exit");
  LogLine(Level::kInfo) << counters;
  LogLine(Level::kInfo) << watch;
}

// Guards against a start that is refused for a lack that passes.
void RunOnceItCan(const brasswood::Config& config, HeldSignals& signals) {
  using namespace brasswood;
  const auto until = std::chrono::steady_clock::now() + kStartPatience;
  for (;;) {
    try {
      ProbeDescriptors();
      return Run(config, signals);
    } catch (const StartError& e) {
      if (!e.passing() || std::chrono::steady_clock::now() >= until) throw;
      LogLine(Level::kWarn) << "start put off: " << e.what();
    }
    std::this_thread::sleep_for(kStartPause);
  }
}

}  // namespace

int main() {
  HeldSignals signals;
  const char* level = std::getenv("BRASSWOOD_LOG");
  brasswood::SetLog(std::cerr,
                    brasswood::ParseLevel(level == nullptr ? "" : level).value_or(brasswood::Level::kInfo));
  signal(SIGPIPE, SIG_IGN);
  try {
    RunOnceItCan(brasswood::LoadConfig(), signals);
    return 0;
  } catch (const std::exception& e) {
    std::cerr << "brasswood: " << e.what() << '\n';
    return 1;
  }
}
