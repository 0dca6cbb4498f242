#include "lab/explore/list_exploration.h"

#include <algorithm>
#include <deque>
#include <map>
#include <optional>
#include <ostream>
#include <sstream>
#include <vector>

#include "lab/base/rng.h"
#include "lab/explore/virtual_time.h"

namespace brasswood::lab {
namespace {

using std::chrono::milliseconds;

constexpr Duration kLength = std::chrono::seconds(40);
constexpr Duration kNotifiedWithin = beechledge::ListCallBackoff::kMaxNotifyDelay;
constexpr Duration kMargin = milliseconds(150);  // a router may be delayed this long
// With an agent (a local process to which discovery pushes lists), a change counts as received by the
// router as soon as the agent has it. After a new configuration, which may name another address, it counts
// as received only this long after that configuration.
constexpr Duration kAgentMoveTime = std::chrono::seconds(4);
// How many calls a router may make in any 10 s, to discovery or to an agent, beyond one for each complete
// answer that it got in that time.
constexpr int kMaxCallsIn10s = 14, kAgentMaxCallsIn10s = 45;

// The outcome of one call to discovery.
enum class CallOutcome {
  kWhole,    // answered completely, at once or when there is a change
  kSilent,   // accepted and never answered
  kStopped,  // its answer starts and stops
  kReset,    // its connection is closed after half of its answer
  kBusy,     // 503
  kRefused,  // its connection is refused
  kLost,     // its connection is never established
  kOld,      // answered with a list older than the one held
  kCount
};
constexpr const char* kCallOutcomeNames[] = {"whole", "silent",  "stopped", "reset",
                                             "busy",  "refused", "lost",    "old"};

class ListRun {
 public:
  ListRun(std::uint64_t seed, const MakeCaller& make, std::ostream* trace)
      : rng_(MakeRng(Mix(seed * 173), Stream::kFaults)), trace_(trace) {
    agent_ = Chance(rng_, 0.4);
    grace_ = Chance(rng_, 0.3) ? milliseconds(500) : milliseconds(1000);
    // A router must make up for an answer lost in transit within the grace period of a drain. Three
    // one-way latencies have to fit into it: of the lost answer, of the next call and of the answer to
    // that. So the long latency is drawn only with the long grace period, and never with an agent, which
    // is local.
    const bool near = agent_ || grace_ < std::chrono::seconds(1) || Chance(rng_, 0.5);
    worst_latency_ = milliseconds(near ? 20 : 120);
    faults_ = Chance(rng_, 0.9);
    const int fleet = Chance(rng_, 0.2) ? 300 : 6;
    const int routers = 1 + static_cast<int>(rng_(3));
    for (int r = 0; r < routers; ++r) routers_.push_back(MakeRouter(seed, r, fleet, make));
  }

  ExploreResult Run() {
    for (std::size_t r = 0; r < routers_.size(); ++r) {
      At(Between(milliseconds(0), milliseconds(1000)),
         [this, r] { Dispatch(r, [&](ListCaller& c, ListActions& out) { c.Follow(time_.now(), out); }); });
      for (Time t = Between(milliseconds(2000), milliseconds(9000)); t < kLength - kNotifiedWithin;
           t += Between(milliseconds(200), milliseconds(12000))) {
        At(t, [this, r] { MoveRouter(r); });
      }
    }
    for (Time t = Between(milliseconds(1000), milliseconds(6000)); t < kLength - kNotifiedWithin;
         t += Between(milliseconds(2000), milliseconds(9000))) {
      At(t, [this] { Change(); });
    }
    while (result_.violation.empty() && time_.PlayNext(kLength)) {
    }
    return result_;
  }

 private:
  struct Call {
    SourceId source = 0;
    std::optional<std::int64_t> since;
    CallOutcome outcome = CallOutcome::kWhole;
    bool watch = false;
    bool held = false;  // a watch that waits for a change
  };
  struct Router {
    std::unique_ptr<CallerDriver> driver;
    std::map<CallId, Call> calls;
    std::int64_t held = 1;
    Time moved{0};  // when it got its last configuration
    SourceId source = 0;
    bool last_failed = false;
    std::deque<Time> opened;  // in the last 10 s
    std::deque<Time> answered;
    std::map<std::int64_t, Time> required;  // versions that it has to hold, and by when
  };

  std::unique_ptr<Router> MakeRouter(std::uint64_t seed, int r, int fleet, const MakeCaller& make) {
    CallerPlan plan;
    plan.seed = Mix(seed * 179 + static_cast<std::uint64_t>(r));
    plan.settings.balancers = fleet;
    plan.settings.local_list_agent = agent_;
    plan.settings.rules.drain_grace = grace_;
    plan.limits.watch = milliseconds(3000) - Between(milliseconds(0), milliseconds(500));
    plan.limits.watch_grace = plan.limits.connect = milliseconds(1000);
    plan.limits.answer = milliseconds(1500);
    plan.limits.drain_grace = grace_;
    plan.limits.reopen_offset = agent_ ? Duration(0) : Between(milliseconds(0), milliseconds(250));
    plan.limits.agent = agent_;
    const auto number = static_cast<std::size_t>(r);
    auto router = std::make_unique<Router>();
    router->driver = std::make_unique<CallerDriver>(
        time_, make(plan),
        CallerDriver::Network{[this, number](const OpenCall& open) { Open(number, open); },
                              [this, number](const CloseCall& close) { Close(number, close); }});
    return router;
  }

  Duration Between(Duration low, Duration high) {
    return low + std::chrono::duration_cast<Duration>((high - low) * Unit(rng_));
  }
  void At(Time at, std::function<void()> run) { time_.At(at, std::move(run)); }
  template <class... Words>
  void Trace(std::size_t router, const Words&... words) {
    if (trace_ == nullptr) return;
    *trace_ << std::chrono::duration<double>(time_.now()).count() << " r" << router << ":";
    ((*trace_ << ' ' << words), ...);
    *trace_ << '\n';
  }
  void ReportViolation(std::size_t router, const std::string& what) {
    if (!result_.violation.empty()) return;
    std::ostringstream text;
    text << what << ", router " << router << " at " << std::chrono::duration<double>(time_.now()).count()
         << " s";
    result_.violation = text.str();
    Trace(router, "BROKEN:", what);
  }

  // ---- The router's side ----

  void Dispatch(std::size_t r, const CallerDriver::Event& event) { routers_[r]->driver->Handle(event); }
  void Close(std::size_t r, const CloseCall& close) {
    Trace(r, "closes", close.id, kCallEndReasonNames[static_cast<std::size_t>(close.reason)]);
    routers_[r]->calls.erase(close.id);
  }
  void MoveRouter(std::size_t r) {
    Router& router = *routers_[r];
    router.source = static_cast<SourceId>(rng_(2));
    router.moved = time_.now();
    Trace(r, "moves to", router.source);
    Dispatch(r, [&](ListCaller& c, ListActions& out) { c.Move(time_.now(), router.source, out); });
  }
  void CountCall(std::size_t r) {
    Router& router = *routers_[r];
    ++result_.calls;
    router.opened.push_back(time_.now());
    for (auto* times : {&router.opened, &router.answered}) {
      while (!times->empty() && times->front() < time_.now() - std::chrono::seconds(10)) times->pop_front();
    }
    const std::size_t max =
        router.answered.size() + static_cast<std::size_t>(agent_ ? kAgentMaxCallsIn10s : kMaxCallsIn10s);
    if (router.opened.size() > max)
      ReportViolation(r, "rate: " + std::to_string(router.opened.size()) + " calls in 10 s");
  }

  // ---- Discovery's side ----

  // At least every second call to discovery is answered completely.
  CallOutcome DrawOutcome(Router& router, bool on_reused_connection) {
    if (!faults_ || router.last_failed || !Chance(rng_, 0.35)) {
      router.last_failed = false;
      return CallOutcome::kWhole;
    }
    router.last_failed = true;
    const auto outcome =
        static_cast<CallOutcome>(1 + rng_(static_cast<std::uint32_t>(CallOutcome::kCount) - 1));
    const bool is_connection_failure = outcome == CallOutcome::kLost || outcome == CallOutcome::kRefused;
    return on_reused_connection && is_connection_failure ? CallOutcome::kReset : outcome;
  }
  void Open(std::size_t r, const OpenCall& open) {
    Router& router = *routers_[r];
    CountCall(r);
    Call call{open.source, open.since, DrawOutcome(router, open.reuse != 0), open.wait > Duration(0),
              false};
    Trace(r, "opens", open.id, "to", open.source, open.wait > Duration(0) ? "watch:" : "ask:",
          kCallOutcomeNames[static_cast<std::size_t>(call.outcome)]);
    router.calls[open.id] = call;
    const Duration there = Between(milliseconds(1), worst_latency_);
    At(time_.now() + there, [this, r, id = open.id, wait = open.wait] { Arrive(r, id, wait); });
  }
  void Arrive(std::size_t r, CallId id, Duration wait) {
    Router& router = *routers_[r];
    const auto it = router.calls.find(id);
    if (it == router.calls.end()) return;
    Call& call = it->second;
    if (call.outcome == CallOutcome::kLost) return;
    if (call.outcome == CallOutcome::kRefused) return Fail(r, id, CallEndReason::kNotConnected);
    Dispatch(r, [&](ListCaller& c, ListActions&) { c.Connected(time_.now(), id); });
    if (call.outcome == CallOutcome::kBusy) return Fail(r, id, CallEndReason::kRefused);
    const bool has_change = !call.since || *call.since < version_;
    if (has_change || wait == Duration(0)) return Answer(r, id);
    call.held = true;
    At(time_.now() + wait, [this, r, id] {
      if (routers_[r]->calls.contains(id)) Answer(r, id);
    });
  }
  void Change() {
    changed_[++version_] = time_.now();
    for (std::size_t r = 0; r < routers_.size(); ++r) {
      Trace(r, "version", version_);
      std::vector<CallId> waiting;
      bool watched = false;
      for (const auto& [id, call] : routers_[r]->calls) {
        if (call.held) waiting.push_back(id);
        watched = watched || call.watch;
      }
      // The router must hold the new version by this time. A change counts as received as soon as an agent
      // (a local process to which discovery pushes lists) has it, so the router must get it from there
      // within the grace period of a drain. While a watch (a long poll) is open the usual limit applies,
      // because the watch may be silent and the router needs time to notice that.
      Require(r, version_, time_.now() + (agent_ && !watched ? grace_ - kMargin : kNotifiedWithin));
      for (const CallId id : waiting) Answer(r, id);
    }
  }
  // Discovery sends an answer to a router.
  void Answer(std::size_t r, CallId id) {
    Router& router = *routers_[r];
    const auto it = router.calls.find(id);
    if (it == router.calls.end()) return;
    Call& call = it->second;
    call.held = false;
    const bool has_change = router.held < version_;
    const Time written = time_.now();
    if (has_change && (call.outcome == CallOutcome::kStopped || call.outcome == CallOutcome::kReset) &&
        call.source == router.source) {
      Require(r, version_, written + grace_ - kMargin);
    }
    At(time_.now() + Between(milliseconds(1), worst_latency_),
       [this, r, id, version = version_] { Deliver(r, id, version); });
  }
  void Deliver(std::size_t r, CallId id, std::int64_t version) {
    Router& router = *routers_[r];
    const auto it = router.calls.find(id);
    if (it == router.calls.end()) return;
    switch (it->second.outcome) {
      case CallOutcome::kWhole:
        router.calls.erase(it);
        router.answered.push_back(time_.now());
        RecordHeld(r, version);
        Trace(r, "has", id, "whole, version", version);
        return Dispatch(
            r, [&](ListCaller& c, ListActions& out) { c.Answered(time_.now(), id, version, out); });
      case CallOutcome::kStopped:
        return Dispatch(r, [&](ListCaller& c, ListActions&) { c.Progress(time_.now(), id); });
      case CallOutcome::kReset:
        return Fail(r, id, CallEndReason::kBroken);
      case CallOutcome::kOld:
        return Fail(r, id, CallEndReason::kOlderList);
      default:
        return;  // accepted, and never answered
    }
  }
  void Fail(std::size_t r, CallId id, CallEndReason why) {
    Trace(r, "call", id, "ended:", kCallEndReasonNames[static_cast<std::size_t>(why)]);
    routers_[r]->calls.erase(id);
    Dispatch(r, [&](ListCaller& c, ListActions& out) { c.Failed(time_.now(), id, why, out); });
  }

  // ---- The invariants ----

  void Require(std::size_t r, std::int64_t version, Time by) {
    Router& router = *routers_[r];
    if (router.held >= version) return;
    const auto [it, fresh] = router.required.emplace(version, by);
    if (!fresh) it->second = std::min(it->second, by);
    At(by, [this, r, version] { Check(r, version); });
  }
  void Check(std::size_t r, std::int64_t version) {
    Router& router = *routers_[r];
    const auto it = router.required.find(version);
    if (it == router.required.end() || it->second > time_.now()) return;
    // After a new configuration the router's time to get the version starts again.
    const Time after_move = router.moved + (agent_ ? kAgentMoveTime + grace_ - kMargin : kNotifiedWithin);
    if (router.moved > Time(0) && time_.now() < after_move) {
      it->second = after_move;
      At(after_move, [this, r, version] { Check(r, version); });
      return;
    }
    // If the router has opened a watch (a long poll) since the change and that is never answered, the
    // router detects this only later, so the limit for a silent watch applies.
    const bool silent = std::any_of(router.calls.begin(), router.calls.end(), [](const auto& call) {
      return call.second.watch && call.second.outcome == CallOutcome::kSilent;
    });
    const Time latest = changed_[version] + kNotifiedWithin;
    if (agent_ && silent && time_.now() < latest) {
      it->second = latest;
      At(latest, [this, r, version] { Check(r, version); });
      return;
    }
    ReportViolation(r, "unheard: version " + std::to_string(version));
  }
  void RecordHeld(std::size_t r, std::int64_t version) {
    Router& router = *routers_[r];
    router.held = std::max(router.held, version);
    while (!router.required.empty() && router.required.begin()->first <= version)
      router.required.erase(router.required.begin());
  }

  Rng rng_;
  std::ostream* trace_;
  bool agent_ = false, faults_ = true;
  Duration grace_{0}, worst_latency_{0};
  VirtualTime time_;
  std::int64_t version_ = 1;
  std::map<std::int64_t, Time> changed_;  // when each version was made
  std::vector<std::unique_ptr<Router>> routers_;
  ExploreResult result_;
};

}  // namespace

ExploreResult ExploreSeed(std::uint64_t seed, const MakeCaller& make, std::ostream* trace) {
  return ListRun(seed, make, trace).Run();
}

int Explore(std::uint64_t first, std::uint64_t last, const MakeCaller& make, std::ostream& out) {
  int broken = 0;
  std::uint64_t calls = 0;
  for (std::uint64_t seed = first; seed <= last; ++seed) {
    const ExploreResult result = ExploreSeed(seed, make);
    calls += static_cast<std::uint64_t>(result.calls);
    if (result.violation.empty()) continue;
    out << "seed " << seed << ": " << result.violation << '\n';
    if (++broken == 1) ExploreSeed(seed, make, &out);
  }
  out << last - first + 1 << " seeds, " << broken << " broken, " << calls << " calls\n";
  return broken;
}

}  // namespace brasswood::lab
