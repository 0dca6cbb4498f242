#include "lab/explore/discovery_load.h"

#include <algorithm>
#include <deque>
#include <map>
#include <ostream>
#include <set>
#include <vector>

#include "lab/base/rng.h"
#include "lab/explore/virtual_time.h"

namespace brasswood::lab {
namespace {

using std::chrono::milliseconds;

constexpr Duration kMaxLength = std::chrono::seconds(60);
constexpr Duration kFollowedFor = std::chrono::seconds(5);  // before the first new configuration
constexpr Duration kLatency = milliseconds(1);

class DiscoveryLoad {
 public:
  DiscoveryLoad(const DiscoveryLoadPlan& plan, const MakeCaller& make) : plan_(plan) {
    Rng rng = MakeRng(Mix(plan.seed * 197), Stream::kFaults);
    for (int r = 0; r < plan.routers; ++r) {
      const double phase = Unit(rng);
      CallerPlan caller;
      caller.seed = Mix(plan.seed * 199 + static_cast<std::uint64_t>(r));
      caller.settings.balancers = plan.routers;
      caller.settings.rules.drain_grace = milliseconds(1000);
      caller.limits.watch = milliseconds(3000 - static_cast<int>(500 * phase));
      caller.limits.watch_grace = caller.limits.connect = milliseconds(1000);
      caller.limits.answer = milliseconds(1500);
      caller.limits.drain_grace = milliseconds(1000);
      caller.limits.reopen_offset = milliseconds(static_cast<int>(250 * phase));
      const auto number = static_cast<std::size_t>(r);
      auto router = std::make_unique<Router>();
      router->driver = std::make_unique<CallerDriver>(
          time_, make(caller),
          CallerDriver::Network{
              [this, number](const OpenCall& open) { Open(number, open); },
              [this, number](const CloseCall& close) { routers_[number]->calls.erase(close.id); }});
      routers_.push_back(std::move(router));
    }
  }

  DiscoveryLoadFigures Run() {
    for (int n = 0; n < plan_.configurations; ++n) Reconfigure(kFollowedFor + n * plan_.interval, n + 1);
    At(kFollowedFor + kChangeAfter, [this] { Change(); });
    while ((version_ < 2 || RoutersBehind() > 0) && time_.PlayNext(kMaxLength)) {
    }
    if (version_ == 2 && RoutersBehind() == 0)
      figures_.change_received = time_.now() - kFollowedFor - kChangeAfter;
    const double seconds = std::chrono::duration<double>(time_.now() - kFollowedFor).count();
    figures_.calls_per_second = opened_ / seconds / plan_.routers;
    return figures_;
  }

 private:
  struct Router {
    std::unique_ptr<CallerDriver> driver;
    SourceId source = 0;  // the one that its configuration names
    struct Call {
      SourceId source = 0;
      bool waits = false;   // a watch: waits for a change once it was served
      bool served = false;  // it was served and waits for a change
    };
    std::map<CallId, Call> calls;  // open
    int held = 0;                  // the version held
  };

  void Reconfigure(Time at, SourceId to) {
    for (std::size_t r = 0; r < routers_.size(); ++r) {
      At(at, [this, r, to] {
        routers_[r]->source = to;
        routers_[r]->held = 0;
        Dispatch(r, [&](ListCaller& caller, ListActions& out) { caller.Move(time_.now(), to, out); });
      });
    }
    last_configuration_ = at;
  }
  std::size_t RoutersBehind() const {
    return static_cast<std::size_t>(std::count_if(routers_.begin(), routers_.end(),
                                                  [this](const auto& r) { return r->held < version_; }));
  }
  void At(Time at, std::function<void()> run) { time_.At(at, std::move(run)); }
  void Dispatch(std::size_t r, const CallerDriver::Event& event) { routers_[r]->driver->Handle(event); }
  void Open(std::size_t r, const OpenCall& open) {
    ++opened_;
    routers_[r]->calls[open.id] = {open.source, open.wait > Duration(0), false};
    At(time_.now() + kLatency, [this, r, id = open.id, wait = open.wait] {
      if (routers_[r]->calls.contains(id)) {
        Dispatch(r, [&](ListCaller& caller, ListActions&) { caller.Connected(time_.now(), id); });
      }
      if (plan_.max_queue_time > Duration(0) && free_at_ - time_.now() > plan_.max_queue_time)
        return Refuse(r, id);
      free_at_ =
          std::max(free_at_, time_.now()) + plan_.call_time;  // calls are served in order, closed ones too
      At(free_at_, [this, r, id, wait] { Serve(r, id, wait); });
    });
  }
  void Refuse(std::size_t r, CallId id) {
    ++figures_.refused;
    free_at_ = std::max(free_at_, time_.now()) +
               std::chrono::duration_cast<Duration>(plan_.call_time * plan_.refusal_cost);
    std::vector<CallId> ended = {id};
    for (const auto& [other, call] : routers_[r]->calls) {
      if (plan_.refusal_ends_waiting_calls && other != id && !call.served) ended.push_back(other);
    }
    for (const CallId each : ended) {
      if (routers_[r]->calls.erase(each) == 0) continue;
      Dispatch(r, [&](ListCaller& caller, ListActions& out) {
        caller.Failed(time_.now(), each, CallEndReason::kRefused, out);
      });
    }
  }
  void Serve(std::size_t r, CallId id, Duration wait) {
    ++figures_.calls;
    const auto call = routers_[r]->calls.find(id);
    if (call == routers_[r]->calls.end()) {
      ++figures_.abandoned;
      return;
    }
    const bool old_address = call->second.source != 0 && call->second.source != routers_[r]->source;
    if (plan_.old_addresses_silent && old_address) return;
    if (!call->second.waits || routers_[r]->held < version_) return Answer(r, id);
    call->second.served = true;
    At(time_.now() + wait, [this, r, id] { Answer(r, id); });
  }
  void Answer(std::size_t r, CallId id) {
    const auto call = routers_[r]->calls.find(id);
    if (call == routers_[r]->calls.end()) return;
    routers_[r]->held = version_;
    routers_[r]->calls.erase(call);
    if (version_ == 1 && figures_.all_received < Duration(0) && RoutersBehind() == 0) {
      figures_.all_received = time_.now() - last_configuration_;
    }
    Dispatch(
        r, [&](ListCaller& caller, ListActions& out) { caller.Answered(time_.now(), id, version_, out); });
  }
  void Change() {
    ++version_;
    for (std::size_t r = 0; r < routers_.size(); ++r) {
      std::vector<CallId> waiting;
      for (const auto& [id, call] : routers_[r]->calls) {
        if (call.served) waiting.push_back(id);
      }
      for (const CallId id : waiting) Answer(r, id);
    }
  }

  const DiscoveryLoadPlan plan_;
  VirtualTime time_;
  Time free_at_{0};
  Time last_configuration_{0};
  std::vector<std::unique_ptr<Router>> routers_;
  int opened_ = 0, version_ = 1;
  DiscoveryLoadFigures figures_;
};

}  // namespace

DiscoveryLoadFigures MeasureDiscoveryLoad(const DiscoveryLoadPlan& plan, const MakeCaller& make) {
  return DiscoveryLoad(plan, make).Run();
}

void PrintDiscoveryLoad(std::uint64_t seed, std::ostream& out) {
  const std::pair<const char*, MakeCaller> state_machines[] = {{"refresher", MakeRefresher},
                                                               {"chained", MakeChainedTimeouts}};
  // -1e-09 means that it did not happen.
  out << "machine routers each_ms all_heard_s calls forsaken calls_each_s news_heard_s\n";
  for (const auto& [name, make] : state_machines) {
    for (const int routers : {6, 30, 300}) {
      for (const int each : {1, 10, 50}) {
        const DiscoveryLoadFigures f = MeasureDiscoveryLoad({routers, milliseconds(each), seed}, make);
        out << name << ' ' << routers << ' ' << each << ' '
            << std::chrono::duration<double>(f.all_received).count() << ' ' << f.calls << ' ' << f.abandoned
            << ' ' << f.calls_per_second << ' ' << std::chrono::duration<double>(f.change_received).count()
            << '\n';
      }
    }
  }
}

}  // namespace brasswood::lab
