// The router program: creates the parts of one router, connects them and handles signals.
#include <pthread.h>
#include <signal.h>

#include <chrono>
#include <cstdlib>
#include <exception>
#include <iostream>
#include <memory>
#include <optional>
#include <thread>

#include "admin/operator_state_file.h"
#include "admin/router_operations.h"
#include "base/counters.h"
#include "base/log.h"
#include "base/stable_hash.h"
#include "config/config.h"
#include "core/engine.h"
#include "net/admin_server.h"
#include "net/attempt_pool.h"
#include "net/client_front_end.h"
#include "net/discovery_client.h"
#include "net/loop.h"
#include "net/startup.h"
#include "state/snapshot_keeper.h"

namespace {

// Blocks the signals that the router handles while no handler is installed. Guards against a signal that
// arrives while the process is still starting (SIGHUP for a new configuration, while a fleet is being
// restarted) or while it is exiting: its default action would end the process at once.
class SignalBlock {
 public:
  SignalBlock() {
    sigemptyset(&signals_);
    for (const int number : {SIGHUP, SIGTERM, SIGINT, SIGUSR1}) sigaddset(&signals_, number);
    Block();
  }
  void Block() { pthread_sigmask(SIG_BLOCK, &signals_, nullptr); }
  // Signals that arrived meanwhile are delivered at once. Threads that were started while the signals were
  // blocked keep them blocked.
  void Unblock() { pthread_sigmask(SIG_UNBLOCK, &signals_, nullptr); }

 private:
  sigset_t signals_;
};

void Run(const brasswood::Config& config, SignalBlock& signals) {
  using namespace brasswood;
  Loop loop;
  Counters counters;
  // The limits of a process that runs alone. `limits`, which all parts refer to, are the limits in force:
  // this process's share while two processes run during a replacement.
  const Limits full_limits = config.limits;
  Limits limits = full_limits;
  const SettingNames& names = config.settings.names;
  Engine engine(
      config.settings.module, config.seed, limits, [&loop] { return loop.Now(); }, loop.deadlines(),
      counters);
  ConnectionBudget budget;
  CacheServerPool cache_servers(loop, engine, limits, counters, budget);
  OriginClient origin(loop, engine, limits, counters, budget);
  DiscoveryClient watch(loop, engine, limits, config.settings, config.discovery, config.known.version,
                        beechledge::ToUnitInterval(beechledge::StableHash(config.name)));
  engine.Attach(cache_servers, origin, watch);
  ClientFrontEnd* front_pointer = nullptr;  // the front is created last, as it starts listening at once
  ClientFrontHooks hooks{[&front_pointer] { return front_pointer != nullptr && front_pointer->Ready(); },
                         [&front_pointer](bool on) {
                           if (front_pointer != nullptr) front_pointer->SetDraining(on);
                         },
                         [&](std::size_t processes) {
                           limits = LimitsPerProcess(full_limits, processes);
                           cache_servers.CloseExcessIdle();
                           if (front_pointer != nullptr) front_pointer->ApplyLimits();
                         }};
  // Operator state is stored only if there is an admin interface to change it. Older deployments have
  // neither.
  const bool has_admin = !config.admin.empty();
  RouterOperations operations(
      engine, counters, names, hooks, limits, loop.deadlines(), [&loop] { return loop.Now(); },
      has_admin ? std::make_unique<OperatorStateFile>(StateDirectory(), config.name) : nullptr,
      has_admin ? std::make_unique<HeartbeatFiles>(StateDirectory(), config.name, limits.heartbeat_timeout)
                : nullptr);
  // Restores the snapshot of an earlier process, if the installation has a disk for it. Suspensions are
  // applied before any server list, so that no attempt goes to a suspended server.
  std::unique_ptr<SnapshotKeeper> keeper;
  std::optional<Snapshot> snapshot;
  if (const auto settings = LoadStateSettings()) {
    keeper = std::make_unique<SnapshotKeeper>(*settings, config.name, engine, loop.deadlines(),
                                              [&loop] { return loop.Now(); });
    snapshot = keeper->Load();
    watch.MakeFirstCallImmediate();
  }
  operations.Restore(snapshot ? snapshot->suspended : std::set<std::string>());
  if (snapshot && !snapshot->list.entries.empty() && snapshot->list.version > config.known.version) {
    engine.SetInitialList(snapshot->list,
                          loop.Now() - snapshot->taken_at > keeper->settings().old_list_age);
  } else {
    engine.SetInitialList(config.known);
  }
  if (snapshot) {
    const double confidence = SnapshotConfidence(loop.Now() - snapshot->taken_at,
                                                 keeper->settings().half_life, keeper->settings().max_age);
    if (confidence > 0) engine.RestoreSnapshot(std::move(*snapshot), confidence);
  }
  if (keeper) keeper->Start();
  // SIGHUP applies a new configuration without a restart: open requests and the listener are not affected.
  // Only the address of discovery is applied; the router's own address, its limits and settings change at
  // its next start.
  loop.OnSignal(SIGHUP, [&watch] {
    try {
      const Config reloaded = ReloadConfig();
      LogLine(Level::kInfo) << "configuration reloaded; discovery at " << reloaded.discovery;
      watch.SwitchTo(reloaded.discovery);
    } catch (const std::exception& e) {
      LogLine(Level::kError) << "configuration kept as it was: " << e.what();
    }
  });
  ClientFrontEnd front(loop, engine, limits, names, counters, config.listen);
  front_pointer = &front;
  std::unique_ptr<AdminServer> admin_server;
  if (!config.admin.empty()) {
    admin_server = std::make_unique<AdminServer>(loop, limits, config.admin, operations);
    operations.StartPolling();
    LogLine(Level::kInfo) << "operators' door on " << config.admin.substr(0, config.admin.rfind(':') + 1)
                          << admin_server->port();
  }
  loop.OnSignal(SIGUSR1, [&] {
    LogLine(Level::kInfo) << counters << "; now open: requests=" << engine.open_requests()
                          << " clients=" << front.clients() << " server_connections=" << budget.open;
    LogLine(Level::kInfo) << front.answer_memory();
    LogLine(Level::kInfo) << watch;
  });
  const auto stop = [&] {
    LogLine(Level::kInfo) << config.name << " stops; open requests: " << engine.open_requests();
    if (keeper) keeper->Save();
    front.Stop([&loop] { loop.Stop(); });
  };
  loop.OnSignal(SIGTERM, stop);
  loop.OnSignal(SIGINT, stop);
  LogLine(Level::kInfo) << config.name << " listens on "
                        << config.listen.substr(0, config.listen.rfind(':') + 1) << front.port();
  signals.Unblock();  // all handlers are installed
  loop.Run();
  signals.Block();
  counters.invariants.Expect(engine.open_requests() == 0, Invariant::kAnsweredBeforeClose, "exit");
  LogLine(Level::kInfo) << counters;
  LogLine(Level::kInfo) << front.answer_memory();
  LogLine(Level::kInfo) << watch;
}

// Guards against a start that fails because the system is short of something for a moment, such as
// descriptors or memory. Such a start is retried for kStartRetryLimit.
void RunWithStartRetries(const brasswood::Config& config, SignalBlock& signals) {
  using namespace brasswood;
  const auto deadline = std::chrono::steady_clock::now() + kStartRetryLimit;
  for (;;) {
    try {
      CheckDescriptorsAvailable();
      return Run(config, signals);
    } catch (const StartError& e) {
      if (!e.transient() || std::chrono::steady_clock::now() >= deadline) throw;
      LogLine(Level::kWarn) << "cannot start yet, retrying: " << e.what();
    }
    std::this_thread::sleep_for(kStartRetryPause);
  }
}

}  // namespace

int main() {
  SignalBlock signals;
  const char* level = std::getenv("BRASSWOOD_LOG");
  brasswood::SetLog(std::cerr,
                    brasswood::ParseLevel(level == nullptr ? "" : level).value_or(brasswood::Level::kInfo));
  signal(SIGPIPE, SIG_IGN);
  try {
    RunWithStartRetries(brasswood::LoadConfig(), signals);
    return 0;
  } catch (const std::exception& e) {
    std::cerr << "brasswood: " << e.what() << '\n';
    return 1;
  }
}
