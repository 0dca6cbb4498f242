#include "lab/run/experiment.h"

#include <sys/resource.h>

#include <algorithm>
#include <cmath>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <map>
#include <memory>
#include <set>
#include <thread>

#include "lab/base/plan.h"
#include "lab/load/load.h"
#include "lab/world/world.h"

namespace brasswood::lab {
namespace {

using std::chrono::milliseconds;

// The largest lag of the emulator's loop with which a run is still valid; the measured lag is added to the
// time limits of the rules.
constexpr Duration kMaxLag = milliseconds(250);
// Beyond these limits the figures describe the laboratory rather than the router.
constexpr double kMaxLateShare = 0.02;     // of the loop's ticks that are more than 20 ms late
constexpr double kMaxOwnCoreShare = 0.85;  // of a core, used by the emulator or the load generator
constexpr double kMinIdleShare = 0.04;     // of the host's cores, left idle
constexpr Duration kReadyTimeout = std::chrono::seconds(20);

// CPU time of all cores, in clock ticks since the machine started.
struct MachineTime {
  double idle = 0, all = 0;
  static MachineTime Read() {
    MachineTime t;
    std::ifstream in("/proc/stat");
    std::string cpu;
    in >> cpu;
    double ticks = 0;
    for (int i = 0; i < 8 && in >> ticks; ++i) {
      t.all += ticks;
      if (i == 3 || i == 4) t.idle += ticks;  // the columns idle and iowait
    }
    return t;
  }
};

class Experiment {
 public:
  Experiment(const Scenario& scenario, const RunOptions& options) : options_(options), world_(scenario) {
    out_.record.scenario = scenario;
    std::filesystem::create_directories(options.folder);
    RaiseDescriptorLimit();
  }

  Outcome Execute() {
    const Scenario& s = out_.record.scenario;
    std::vector<std::string> entries;
    if (options_.direct) {
      entries.assign(static_cast<std::size_t>(world_.routers()), world_.CacheServerEndpoints(0).front());
    } else {
      for (int r = 0; r < world_.routers(); ++r) {
        routers_.push_back(std::make_unique<RouterProcess>(s, r, options_.router, options_.folder));
        entries.push_back(routers_.back()->listen());
        out_.record.router_logs.push_back(routers_.back()->log());
      }
    }
    Load load(s, entries);
    // Started before the routers, because they call discovery immediately.
    std::thread platform([&] { world_.Run(); });
    const Time launched = clock_.Now();
    for (const auto& router : routers_) StartRouter(*router);
    std::thread clients;
    bool ready = true;
    const Time deadline = clock_.Now() + kReadyTimeout;
    for (std::size_t r = 0; r < routers_.size(); ++r) {
      ready = AwaitReady(*routers_[r], deadline);
      if (!ready) {
        out_.troubles.push_back("router " + std::to_string(r) + " is not ready; its log is " +
                                routers_[r]->log());
        break;
      }
    }
    out_.ready_s = static_cast<double>((clock_.Now() - launched).count()) / 1e9;
    if (ready) {
      const Time start = clock_.Now() + milliseconds(200);
      out_.record.start = start;
      world_.Start(start);
      std::atomic<bool> done{false};
      clients = std::thread([&] {
        load.Run(start);
        done = true;
      });
      const MachineTime before = MachineTime::Read();
      RunTimeline(load, done);
      const MachineTime after = MachineTime::Read();
      if (after.all > before.all) idle_share_ = (after.idle - before.idle) / (after.all - before.all);
      load_duration_ = Elapsed();
      load.Stop();
      clients.join();
    }
    StopRouters();
    ReadViolations();
    world_.Stop();
    platform.join();
    out_.record.world = world_.TakeRecord();
    out_.record.load = load.TakeRecord();
    if (!ready) return std::move(out_);
    CheckRunValidity(out_, {idle_share_, static_cast<double>(load_duration_.count()) / 1e9});
    if (!options_.direct) out_.violations = CheckRules(out_.record);
    return std::move(out_);
  }

 private:
  // The emulator holds both ends of several thousand connections.
  static void RaiseDescriptorLimit() {
    rlimit limit{};
    if (::getrlimit(RLIMIT_NOFILE, &limit) != 0) return;
    // A privileged user may raise the hard limit; other users get at most the hard limit.
    const rlimit more{std::max<rlim_t>(limit.rlim_max, 200000), std::max<rlim_t>(limit.rlim_max, 200000)};
    if (::setrlimit(RLIMIT_NOFILE, &more) == 0) return;
    limit.rlim_cur = limit.rlim_max;
    ::setrlimit(RLIMIT_NOFILE, &limit);
  }

  Duration Elapsed() const { return clock_.Now() - out_.record.start; }

  void StartRouter(RouterProcess& router) { StartRouterWith(router, KnownAs::kFresh, Duration(0)); }

  // Guards against a second process of the same router when two overlapping faults both restart it: the
  // laboratory would lose track of the first process, and clients would still reach it.
  void StartRouterWith(RouterProcess& router, KnownAs known, Duration age) {
    if (router.Running()) return;
    const int number = static_cast<int>(
        std::find_if(routers_.begin(), routers_.end(), [&](const auto& r) { return r.get() == &router; }) -
        routers_.begin());
    const std::string list = known == KnownAs::kEmpty ? R"({"rev":0,"all":true,"targets":[]})"
                             : known == KnownAs::kOld ? world_.ListAt(number, age)
                                                      : world_.CurrentList(number);
    for (RouterOutage& a : out_.record.outages) {
      if (a.router == number && a.until == Time::max()) a.launched = clock_.Now();
    }
    stop_requested_at_.erase(number);  // that request was for the previous process
    router.Start(world_.DiscoveryEndpoint(number), list);
  }

  bool AwaitReady(RouterProcess& router, Time deadline) {
    while (clock_.Now() < deadline && !router.PollExitCode()) {
      if (router.Ready(milliseconds(200))) return true;
    }
    return false;
  }

  struct TimedAction {
    Duration at{0};
    std::function<void()> run;
  };

  // Schedules the restarts of a kRestart fault: in waves, each router as often as the fault states.
  void ScheduleRestarts(const FaultPlan& f, std::size_t number, std::vector<TimedAction>& actions) {
    const std::vector<int> victims = AffectedRouters(f, number);
    const auto times = std::max<std::int64_t>(1, std::llround(f.size));
    const auto at_once = std::max<std::size_t>(
        1, f.length == Duration(0)
               ? victims.size()
               : static_cast<std::size_t>(f.batch * static_cast<double>(routers_.size())));
    const std::size_t waves = (victims.size() + at_once - 1) / at_once;
    for (std::size_t v = 0; v < victims.size(); ++v) {
      const int r = victims[v];
      RouterProcess* router = routers_[static_cast<std::size_t>(r)].get();
      const std::string other_state_file =
          routers_[(static_cast<std::size_t>(r) + 1) % routers_.size()]->state_file();
      const Duration wave =
          f.length / static_cast<std::int64_t>(waves) * static_cast<std::int64_t>(v / at_once);
      if (f.kept == KeptAs::kOld) {
        actions.push_back(
            {std::max(Duration(0), f.at + wave - f.age), [router] { router->SaveStateForLater(); }});
      }
      for (std::int64_t n = 0; n < times; ++n) {
        const Duration at = f.at + wave + f.every * n;
        actions.push_back({at, [this, r, router, term = f.term] {
                             stopping_.insert(r);
                             if (term && router->Running()) stop_requested_at_[r] = clock_.Now();
                             if (term) return router->Terminate();
                             out_.record.outages.push_back({r, clock_.Now(), Time::max(), Time(0)});
                             router->Kill();
                           }});
        actions.push_back(
            {at + f.down, [this, r, router, &f, other_state_file] {
               // A router that got SIGTERM counts as absent from now on, when it is killed.
               if (f.term) {
                 out_.record.outages.push_back({r, clock_.Now(), Time::max(), Time(0), StopRequestedAt(r)});
               }
               router->Kill();
               router->PrepareState(f.kept, other_state_file);
               StartRouterWith(*router, f.known, f.age);
               stopping_.erase(r);
               restarting_.push_back(r);
             }});
      }
    }
  }

  // When the router's current process was asked to stop; 0: never.
  Time StopRequestedAt(int router) const {
    const auto it = stop_requested_at_.find(router);
    return it == stop_requested_at_.end() ? Time(0) : it->second;
  }

  // Schedules repeated short pauses of routers.
  void SchedulePauses(const FaultPlan& f, std::size_t number, std::vector<TimedAction>& actions) {
    for (const int r : AffectedRouters(f, number)) {
      RouterProcess* router = routers_[static_cast<std::size_t>(r)].get();
      for (Duration at = f.at; at < f.at + f.length; at += f.every) {
        actions.push_back({at, [this, r, router] {
                             if (stopping_.contains(r)) return;
                             out_.record.pauses.push_back({r, clock_.Now(), Time::max()});
                             router->Pause();
                           }});
        actions.push_back({at + f.hold, [this, r, router] {
                             router->Resume();
                             for (RouterPause& h : out_.record.pauses) {
                               if (h.router == r && h.until == Time::max()) h.until = clock_.Now();
                             }
                           }});
      }
    }
  }

  // Schedules failing socket calls or a wrong wall clock.
  void ScheduleCallAndClockFaults(const FaultPlan& f, std::size_t number,
                                  std::vector<TimedAction>& actions) {
    for (const int r : AffectedRouters(f, number)) {
      RouterProcess* router = routers_[static_cast<std::size_t>(r)].get();
      if (f.kind == FaultKind::kCalls) {
        const auto per_mille = static_cast<std::uint32_t>(std::lround(f.share * 1000));
        actions.push_back({f.at, [router, per_mille] { router->SetCallFailures(per_mille); }});
        actions.push_back({f.at + f.length, [router] { router->SetCallFailures(0); }});
      } else {
        actions.push_back({f.at, [router, off = f.step] { router->SetClockOffset(off); }});
        actions.push_back({f.at + f.length, [router] { router->SetClockOffset(Duration(0)); }});
      }
    }
  }

  // Schedules repeated reloads that alternate between two addresses of discovery, also while a router is
  // stopping.
  void ScheduleReloads(const FaultPlan& f, std::size_t number, std::vector<TimedAction>& actions) {
    for (const int r : AffectedRouters(f, number)) {
      RouterProcess* router = routers_[static_cast<std::size_t>(r)].get();
      std::size_t which = 1;
      for (Duration at = f.at; at <= f.at + f.length; at += f.every, which = 1 - which) {
        actions.push_back({at, [this, r, router, which] {
                             out_.record.reloads.push_back({r, clock_.Now()});
                             router->Reload(world_.DiscoveryEndpoint(r, which));
                           }});
      }
    }
  }

  // Collects violations reported by the routers' own run-time checks from the logs of all their processes.
  void ReadViolations() {
    for (const std::string& file : out_.record.router_logs) {
      std::ifstream log(file);
      int lines = 0;
      for (std::string line; std::getline(log, line) && lines < 5;) {
        if (line.find(" invariant violated: ") == line.npos) continue;
        out_.troubles.push_back(file + ": " + line);
        ++lines;
      }
    }
  }

  // Executes the faults that affect routers at their times, samples resource usage and reports progress.
  void RunTimeline(Load& load, const std::atomic<bool>& done) {
    std::vector<TimedAction> actions;
    for (std::size_t i = 0; i < out_.record.scenario.faults.size(); ++i) {
      const FaultPlan& f = out_.record.scenario.faults[i];
      if (f.kind == FaultKind::kMachineDrop) {
        for (const auto& [machine, r] : Dropped(out_.record.scenario, i)) {
          RouterProcess* router = routers_.empty() ? nullptr : routers_[static_cast<std::size_t>(r)].get();
          if (router == nullptr) continue;
          actions.push_back({f.at, [this, r, router] {
                               out_.record.outages.push_back({r, clock_.Now(), Time::max(), Time(0)});
                               router->Pause();
                             }});
          actions.push_back({f.at + f.length, [this, r, router] {
                               router->Kill();
                               StartRouter(*router);
                               restarting_.push_back(r);
                             }});
        }
      }
      if (f.kind == FaultKind::kRestart && !routers_.empty()) ScheduleRestarts(f, i, actions);
      if (f.kind == FaultKind::kReload && !routers_.empty()) ScheduleReloads(f, i, actions);
      if (f.kind == FaultKind::kHeldUp && !routers_.empty()) SchedulePauses(f, i, actions);
      if ((f.kind == FaultKind::kCalls || f.kind == FaultKind::kClock) && !routers_.empty()) {
        ScheduleCallAndClockFaults(f, i, actions);
      }
      if (f.kind == FaultKind::kDisk && !routers_.empty()) {
        for (const int r : AffectedRouters(f, i)) {
          RouterProcess* router = routers_[static_cast<std::size_t>(r)].get();
          actions.push_back({f.at, [router, mode = f.disk] { router->SetDiskMode(mode); }});
          actions.push_back({f.at + f.length, [router] { router->SetDiskMode(DiskMode::kHealthy); }});
        }
      }
      if (f.kind != FaultKind::kKill) continue;
      for (const int r : AffectedRouters(f, i)) {
        actions.push_back({f.at, [this, r] {
                             out_.record.outages.push_back({r, clock_.Now(), Time::max(), Time(0)});
                             routers_[static_cast<std::size_t>(r)]->Kill();
                           }});
        actions.push_back({f.at + f.length, [this, r] {
                             StartRouter(*routers_[static_cast<std::size_t>(r)]);
                             restarting_.push_back(r);
                           }});
      }
    }
    std::stable_sort(actions.begin(), actions.end(),
                     [](const TimedAction& a, const TimedAction& b) { return a.at < b.at; });
    std::size_t next = 0;
    Duration sampled{-1000000000};
    while (!done) {
      if (options_.interrupted != nullptr && *options_.interrupted) {
        out_.partial = true;
        return;
      }
      for (; next < actions.size() && actions[next].at <= Elapsed(); ++next) actions[next].run();
      std::erase_if(restarting_, [this](int r) {
        if (!routers_[static_cast<std::size_t>(r)]->Ready(milliseconds(5))) return false;
        for (RouterOutage& a : out_.record.outages) {
          if (a.router == r && a.until == Time::max()) a.until = clock_.Now();
        }
        return true;
      });
      if (Elapsed() - sampled >= milliseconds(250)) {
        sampled = Elapsed();
        if (options_.progress) options_.progress(Elapsed(), load.sent(), load.served());
      }
      SampleRouters();
      std::this_thread::sleep_for(milliseconds(5));
    }
  }

  std::vector<int> AffectedRouters(const FaultPlan& f, std::size_t number) {
    std::vector<int> all;
    for (int r = 0; r < world_.routers(); ++r) {
      if (f.hall < 0 || r / out_.record.scenario.routers.per_hall == f.hall) all.push_back(r);
    }
    return Victims(out_.record.scenario, number, std::move(all));
  }

  // Samples each router twice a second, a few routers per call: sampling hundreds at once would delay the
  // scheduled faults.
  void SampleRouters() {
    const auto slot = static_cast<std::size_t>(Elapsed() / milliseconds(5)) % 100;
    if (slot == last_slot_) return;
    const std::size_t from = last_slot_ < slot ? last_slot_ + 1 : 0;
    last_slot_ = slot;
    for (std::size_t r = 0; r < routers_.size(); ++r) {
      if (r % 100 < from || r % 100 > slot || stopping_.contains(static_cast<int>(r))) continue;
      if (const auto code = routers_[r]->PollExitCode()) {
        out_.troubles.push_back("router " + std::to_string(r) +
                                " exited unexpectedly: " + std::to_string(*code));
      } else if (const auto usage = routers_[r]->SampleUsage()) {
        out_.samples.push_back({Elapsed(), static_cast<int>(r), *usage});
      }
    }
  }

  void StopRouters() {
    for (const auto& router : routers_) {
      router->SetCallFailures(0);
      router->Resume();
      router->Terminate();
    }
    for (std::size_t r = 0; r < routers_.size(); ++r) {
      const auto code = routers_[r]->Wait(std::chrono::seconds(15));
      if (!code && routers_[r]->SampleUsage())
        out_.troubles.push_back("router " + std::to_string(r) + " does not stop");
      // Guards against reporting a crash on a slow machine: a process that gets SIGTERM before its program
      // has started ends by the signal's default action, which is no crash.
      const bool starting =
          std::find(restarting_.begin(), restarting_.end(), static_cast<int>(r)) != restarting_.end();
      if (code && *code != 0 && !(starting && *code == -SIGTERM)) {
        out_.troubles.push_back("router " + std::to_string(r) + " stopped with " + std::to_string(*code));
      }
      routers_[r]->Kill();
      out_.router_cpu_s += routers_[r]->cpu_s();
    }
  }

  const RunOptions& options_;
  Clock clock_;
  World world_;
  Outcome out_;
  std::vector<std::unique_ptr<RouterProcess>> routers_;
  std::vector<int> restarting_;            // restarted and not ready yet
  std::map<int, Time> stop_requested_at_;  // when each was last asked to stop
  std::set<int> stopping_;                 // stopped by a scheduled fault and not restarted yet
  std::size_t last_slot_ = 99;             // the last 5 ms slot handled by SampleRouters
  double idle_share_ = 1;                  // of the host's cores while the load ran
  Duration load_duration_{0};
};

}  // namespace

void CheckRunValidity(Outcome& out, const HostHeadroom& headroom) {
  const RunRecord& t = out.record;
  if (t.load.late_p999 > t.scenario.load.late_limit) {
    out.void_because.push_back("the load ran " + FormatMs(t.load.late_p999) +
                               " behind its schedule (99.9th percentile; " +
                               FormatMs(t.scenario.load.late_limit) + " allowed)");
  }
  const double duration_s = headroom.duration_s;
  const auto share = [](double part) { return std::to_string(static_cast<int>(part * 100)) + "%"; };
  const double ticks = std::max(1.0, duration_s / 0.005);
  if (static_cast<double>(t.world.late_ticks) / ticks > kMaxLateShare) {
    out.void_because.push_back("the emulator's loop was late " + std::to_string(t.world.late_ticks) +
                               " times (" + share(kMaxLateShare) + " of its ticks allowed)");
  }
  for (const auto& [who, cpu] : {std::pair("emulator", t.world.cpu), std::pair("load", t.load.cpu)}) {
    const double of_core = static_cast<double>(cpu.count()) / 1e9 / std::max(0.1, duration_s);
    if (of_core <= kMaxOwnCoreShare) continue;
    out.void_because.push_back(std::string("the ") + who + " used " + share(of_core) + " of its core (" +
                               share(kMaxOwnCoreShare) + " allowed)");
  }
  if (headroom.idle_share < kMinIdleShare) {
    out.void_because.push_back("the machine's cores stood idle for " + share(headroom.idle_share) +
                               " of the run (" + share(kMinIdleShare) + " at least)");
  }
  if (t.world.max_lag > kMaxLag) {
    out.void_because.push_back("the emulator's loop ran " + FormatMs(t.world.max_lag) + " late (" +
                               FormatMs(kMaxLag) + " allowed)");
  }
}

Outcome RunOnce(const Scenario& scenario, const RunOptions& options) {
  return Experiment(scenario, options).Execute();
}

}  // namespace brasswood::lab
