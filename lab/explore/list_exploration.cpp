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
constexpr Duration kTold = beechledge::ListCalls::kTold;
constexpr Duration kMargin = milliseconds(150);               // a router may be held up for so long
constexpr Duration kAgentMoveTime = std::chrono::seconds(4);  // what it has counts so long after a move
constexpr int kMostCallsIn10s = 14, kAgentMostCallsIn10s = 45;

// What becomes of one call that discovery takes.
enum class Fate {
  kWhole,    // answered whole, at once or when there is news
  kSilent,   // taken and never answered
  kStopped,  // its answer begins and stops
  kReset,    // its connection ends, half of its answer written
  kBusy,     // 503
  kRefused,  // no connection
  kLost,     // a connection that never comes up
  kOld,      // a list older than the one held
  kCount
};
constexpr const char* kFateNames[] = {"whole", "silent",  "stopped", "reset",
                                      "busy",  "refused", "lost",    "old"};

class Run {
 public:
  Run(std::uint64_t seed, const MakeCaller& make, std::ostream* trace)
      : rng_(MakeRng(Mix(seed * 173), Stream::kFaults)), trace_(trace) {
    agent_ = Chance(rng_, 0.4);
    grace_ = Chance(rng_, 0.3) ? milliseconds(500) : milliseconds(1000);
    // Three ways have to fit into a grace.
    const bool near = agent_ || grace_ < std::chrono::seconds(1) || Chance(rng_, 0.5);
    worst_latency_ = milliseconds(near ? 20 : 120);
    faults_ = Chance(rng_, 0.9);
    const int fleet = Chance(rng_, 0.2) ? 300 : 6;
    const int routers = 1 + static_cast<int>(rng_(3));
    for (int r = 0; r < routers; ++r) routers_.push_back(MakeRouter(seed, r, fleet, make));
  }

  ExploreResult Play() {
    for (std::size_t r = 0; r < routers_.size(); ++r) {
      At(Between(milliseconds(0), milliseconds(1000)),
         [this, r] { Act(r, [&](ListCaller& c, ListActions& out) { c.Follow(time_.now(), out); }); });
      for (Time t = Between(milliseconds(2000), milliseconds(9000)); t < kLength - kTold;
           t += Between(milliseconds(200), milliseconds(12000))) {
        At(t, [this, r] { MoveRouter(r); });
      }
    }
    for (Time t = Between(milliseconds(1000), milliseconds(6000)); t < kLength - kTold;
         t += Between(milliseconds(2000), milliseconds(9000))) {
      At(t, [this] { Change(); });
    }
    while (result_.broken.empty() && time_.PlayNext(kLength)) {
    }
    return result_;
  }

 private:
  struct Call {
    SourceId source = 0;
    std::optional<std::int64_t> since;
    Fate fate = Fate::kWhole;
    bool watch = false;
    bool held = false;  // a watch that waits for news
  };
  struct Router {
    std::unique_ptr<CallerDriver> driver;
    std::map<CallId, Call> calls;
    std::int64_t held = 1;
    Time moved{0};  // its last configuration
    SourceId source = 0;
    bool last_bad = false;
    std::deque<Time> opened;  // in the last 10 s
    std::deque<Time> answered;
    std::map<std::int64_t, Time> owed;  // versions to hold, each by that moment
  };

  std::unique_ptr<Router> MakeRouter(std::uint64_t seed, int r, int fleet, const MakeCaller& make) {
    CallerPlan plan;
    plan.seed = Mix(seed * 179 + static_cast<std::uint64_t>(r));
    plan.settings.balancers = fleet;
    plan.settings.list_agent = agent_;
    plan.settings.rules.drain_grace = grace_;
    plan.limits.watch = milliseconds(3000) - Between(milliseconds(0), milliseconds(500));
    plan.limits.watch_grace = plan.limits.connect = milliseconds(1000);
    plan.limits.answer = milliseconds(1500);
    plan.limits.drain_grace = grace_;
    plan.limits.apart = agent_ ? Duration(0) : Between(milliseconds(0), milliseconds(250));
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
  void Break(std::size_t router, const std::string& what) {
    if (!result_.broken.empty()) return;
    std::ostringstream text;
    text << what << ", router " << router << " at " << std::chrono::duration<double>(time_.now()).count()
         << " s";
    result_.broken = text.str();
    Trace(router, "BROKEN:", what);
  }

  // ---- The router's side ----

  void Act(std::size_t r, const CallerDriver::Fact& fact) { routers_[r]->driver->Tell(fact); }
  void Close(std::size_t r, const CloseCall& close) {
    Trace(r, "closes", close.id, kCallEndNames[static_cast<std::size_t>(close.why)]);
    routers_[r]->calls.erase(close.id);
  }
  void MoveRouter(std::size_t r) {
    Router& router = *routers_[r];
    router.source = static_cast<SourceId>(rng_(2));
    router.moved = time_.now();
    Trace(r, "moves to", router.source);
    Act(r, [&](ListCaller& c, ListActions& out) { c.Move(time_.now(), router.source, out); });
  }
  void CountCall(std::size_t r) {
    Router& router = *routers_[r];
    ++result_.calls;
    router.opened.push_back(time_.now());
    for (auto* times : {&router.opened, &router.answered}) {
      while (!times->empty() && times->front() < time_.now() - std::chrono::seconds(10)) times->pop_front();
    }
    const std::size_t most =
        router.answered.size() + static_cast<std::size_t>(agent_ ? kAgentMostCallsIn10s : kMostCallsIn10s);
    if (router.opened.size() > most)
      Break(r, "rate: " + std::to_string(router.opened.size()) + " calls in 10 s");
  }

  // ---- Discovery's side ----

  // Every second call to discovery, at least, is answered whole.
  Fate DrawFate(Router& router, bool on_kept) {
    if (!faults_ || router.last_bad || !Chance(rng_, 0.35)) {
      router.last_bad = false;
      return Fate::kWhole;
    }
    router.last_bad = true;
    const auto fate = static_cast<Fate>(1 + rng_(static_cast<std::uint32_t>(Fate::kCount) - 1));
    const bool of_connection = fate == Fate::kLost || fate == Fate::kRefused;
    return on_kept && of_connection ? Fate::kReset : fate;
  }
  void Open(std::size_t r, const OpenCall& open) {
    Router& router = *routers_[r];
    CountCall(r);
    Call call{open.source, open.since, DrawFate(router, open.reuse != 0), open.wait > Duration(0), false};
    Trace(r, "opens", open.id, "to", open.source,
          open.wait > Duration(0) ? "watch:" : "ask:", kFateNames[static_cast<std::size_t>(call.fate)]);
    router.calls[open.id] = call;
    const Duration there = Between(milliseconds(1), worst_latency_);
    At(time_.now() + there, [this, r, id = open.id, wait = open.wait] { Arrive(r, id, wait); });
  }
  void Arrive(std::size_t r, CallId id, Duration wait) {
    Router& router = *routers_[r];
    const auto it = router.calls.find(id);
    if (it == router.calls.end()) return;
    Call& call = it->second;
    if (call.fate == Fate::kLost) return;
    if (call.fate == Fate::kRefused) return Fail(r, id, CallEnd::kNotConnected);
    Act(r, [&](ListCaller& c, ListActions&) { c.Connected(time_.now(), id); });
    if (call.fate == Fate::kBusy) return Fail(r, id, CallEnd::kRefused);
    const bool news = !call.since || *call.since < version_;
    if (news || wait == Duration(0)) return Answer(r, id);
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
      // What an agent has counts at once, but where a watch has fallen silent.
      Owe(r, version_, time_.now() + (agent_ && !watched ? grace_ - kMargin : kTold));
      for (const CallId id : waiting) Answer(r, id);
    }
  }
  // An answer leaves for a router.
  void Answer(std::size_t r, CallId id) {
    Router& router = *routers_[r];
    const auto it = router.calls.find(id);
    if (it == router.calls.end()) return;
    Call& call = it->second;
    call.held = false;
    const bool news = router.held < version_;
    const Time written = time_.now();
    if (news && (call.fate == Fate::kStopped || call.fate == Fate::kReset) &&
        call.source == router.source) {
      Owe(r, version_, written + grace_ - kMargin);
    }
    At(time_.now() + Between(milliseconds(1), worst_latency_),
       [this, r, id, version = version_] { Deliver(r, id, version); });
  }
  void Deliver(std::size_t r, CallId id, std::int64_t version) {
    Router& router = *routers_[r];
    const auto it = router.calls.find(id);
    if (it == router.calls.end()) return;
    switch (it->second.fate) {
      case Fate::kWhole:
        router.calls.erase(it);
        router.answered.push_back(time_.now());
        Hold(r, version);
        Trace(r, "has", id, "whole, version", version);
        return Act(r, [&](ListCaller& c, ListActions& out) { c.Answered(time_.now(), id, version, out); });
      case Fate::kStopped:
        return Act(r, [&](ListCaller& c, ListActions&) { c.Progress(time_.now(), id); });
      case Fate::kReset:
        return Fail(r, id, CallEnd::kBroken);
      case Fate::kOld:
        return Fail(r, id, CallEnd::kOlderList);
      default:
        return;  // taken, and never answered
    }
  }
  void Fail(std::size_t r, CallId id, CallEnd why) {
    Trace(r, "call", id, "ended:", kCallEndNames[static_cast<std::size_t>(why)]);
    routers_[r]->calls.erase(id);
    Act(r, [&](ListCaller& c, ListActions& out) { c.Failed(time_.now(), id, why, out); });
  }

  // ---- The invariants ----

  void Owe(std::size_t r, std::int64_t version, Time by) {
    Router& router = *routers_[r];
    if (router.held >= version) return;
    const auto [it, fresh] = router.owed.emplace(version, by);
    if (!fresh) it->second = std::min(it->second, by);
    At(by, [this, r, version] { Check(r, version); });
  }
  void Check(std::size_t r, std::int64_t version) {
    Router& router = *routers_[r];
    const auto it = router.owed.find(version);
    if (it == router.owed.end() || it->second > time_.now()) return;
    // A new configuration counts from the last one.
    const Time after_move = router.moved + (agent_ ? kAgentMoveTime + grace_ - kMargin : kTold);
    if (router.moved > Time(0) && time_.now() < after_move) {
      it->second = after_move;
      At(after_move, [this, r, version] { Check(r, version); });
      return;
    }
    // Where a watch that was opened since has fallen silent, that is found later.
    const bool silent = std::any_of(router.calls.begin(), router.calls.end(), [](const auto& call) {
      return call.second.watch && call.second.fate == Fate::kSilent;
    });
    const Time latest = changed_[version] + kTold;
    if (agent_ && silent && time_.now() < latest) {
      it->second = latest;
      At(latest, [this, r, version] { Check(r, version); });
      return;
    }
    Break(r, "unheard: version " + std::to_string(version));
  }
  void Hold(std::size_t r, std::int64_t version) {
    Router& router = *routers_[r];
    router.held = std::max(router.held, version);
    while (!router.owed.empty() && router.owed.begin()->first <= version)
      router.owed.erase(router.owed.begin());
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
  return Run(seed, make, trace).Play();
}

int Explore(std::uint64_t first, std::uint64_t last, const MakeCaller& make, std::ostream& out) {
  int broken = 0;
  std::uint64_t calls = 0;
  for (std::uint64_t seed = first; seed <= last; ++seed) {
    const ExploreResult result = ExploreSeed(seed, make);
    calls += static_cast<std::uint64_t>(result.calls);
    if (result.broken.empty()) continue;
    out << "seed " << seed << ": " << result.broken << '\n';
    if (++broken == 1) ExploreSeed(seed, make, &out);
  }
  out << last - first + 1 << " seeds, " << broken << " broken, " << calls << " calls\n";
  return broken;
}

}  // namespace brasswood::lab
